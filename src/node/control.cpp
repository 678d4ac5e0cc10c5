/// \file
/// What the node does about membership, roster, leases and configuration.
#include "control.h"
#include "../core/log.h"
#include "node_clock.h"
#include "wire.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

/// A better owner must stay so for this long before it is handed a subject.
constexpr duration HandOverDelay = std::chrono::seconds(2);

/// Peers of other regions are called this many times less often.
constexpr int FarHeartbeatFactor = 4;

lease_settings leaseSettings(const settings &Settings) {
  lease_settings Lease;
  Lease.LeaseTime = Settings.Timing.Lease;
  Lease.RenewalInterval = Settings.Timing.Heartbeat;
  Lease.ClaimTimeout = 3 * Settings.Timing.Heartbeat;
  return Lease;
}

} // namespace

lease_subject keyPartition(std::string_view Region, std::string_view Account,
                           std::string_view Key) {
  const std::uint64_t Hash = stableHash(fmt::format("{}\n{}", Account, Key));
  return fmt::format("{}/{}/{}", KeyService, Region, Hash % KeyPartitionCount);
}

control::control(const settings &Settings, const entry_vm &Self,
                 event_log &Events)
    : Settings(Settings), Self(Self), Events(Events),
      Members(member_view::create(Self, Settings.Timing.HeartbeatTimeout)),
      Terminations(termination_tracker::create(Settings.Timing.Lease)),
      Voter(lease_voter::create(Settings.Timing.Lease)),
      Holder(lease_holder::create(Self.Id, leaseSettings(Settings),
                                  stableHash(Self.Id.Name))),
      Configuration(
          configuration_state::create(Settings.Timing.ConfigurationLease)) {}

void control::heard(const entry_vm &Vm, bool Retired, std::uint64_t RosterEpoch,
                    std::uint64_t Version, time_point Now) {
  Members.recordHeartbeat(Vm, Now);
  Terminations.onIncarnationSeen(Vm.Id, Now);
  if (Retired)
    Terminations.onRetired(Vm.Id, Now);
  if (isNear(Vm)) {
    Adoption.recordEpoch(Vm.Id, RosterEpoch, Now);
    PeerEpochs[Vm.Id.Name] = RosterEpoch;
  }
  PeerVersions[Vm.Id.Name] = Version;
  Configuration.onPeerResponse(Vm.Ready, Version, Now);
}

std::optional<entry_vm> control::identify(const wire::Vm &Message) const {
  entry_vm Vm = fromWire(Message);
  if (!Vm.Zone.empty())
    return Vm;
  const auto Known = Members.findByName(Vm.Id.Name);
  if (!Known || Known->Id != Vm.Id)
    return std::nullopt;
  Vm.Ip = Known->Ip;
  Vm.Zone = Known->Zone;
  Vm.Region = Known->Region;
  return Vm;
}

wire::ExchangeReply control::answer(const wire::ExchangeRequest &Request,
                                    time_point Now) {
  const std::lock_guard Guard(Lock);
  const std::optional<entry_vm> Known = identify(Request.sender());
  if (!Known) {
    wire::ExchangeReply Unknown;
    Unknown.set_needs_introduction(true);
    return Unknown;
  }
  const entry_vm &Sender = *Known;
  heard(Sender, Request.retired(), Request.roster_epoch(),
        Request.configuration_version(), Now);
  wire::ExchangeReply Reply;
  toWire(Members.self(), *Reply.mutable_sender(),
         !Request.sender().zone().empty());
  Reply.set_configuration_version(Configuration.version());
  if (!isNear(Sender))
    return Reply;
  if (Request.has_roster()) {
    const roster Roster = fromWire(Request.roster());
    Holder.setRoster(Roster, Terminations, Now);
    Voter.setEpoch(Roster.Epoch);
  }
  const roster &Roster = Holder.currentRoster();
  Reply.set_roster_epoch(Roster.Epoch);
  if (Request.roster_epoch() < Roster.Epoch)
    toWire(Roster, *Reply.mutable_roster());
  if (Request.has_lease())
    toWire(Voter.handleRequest(fromWire(Request.lease(), Sender.Id), Now),
           *Reply.mutable_lease());
  const std::vector<lease_record> Held = Voter.activeLeases(Now);
  const std::uint64_t Digest = digestOf(Held);
  Reply.set_holdings_digest(Digest);
  Reply.set_has_holdings(Digest != Request.holdings_digest());
  if (Reply.has_holdings())
    toWire(Held, *Reply.mutable_holdings());
  return Reply;
}

void control::onReply(const entry_vm &Peer, const wire::ExchangeReply *Reply,
                      time_point AskedAt, time_point Now) {
  if (!Reply)
    return;
  const std::lock_guard Guard(Lock);
  const std::optional<entry_vm> Known = identify(Reply->sender());
  if (Reply->needs_introduction() || !Known) {
    Introduced.erase(Peer.Id.Name);
    return;
  }
  const entry_vm &Sender = *Known;
  Introduced[Sender.Id.Name] = Sender.Id.Incarnation;
  heard(Sender, false, Reply->roster_epoch(), Reply->configuration_version(),
        Now);
  if (!isNear(Sender))
    return;
  if (Reply->has_roster()) {
    const roster Roster = fromWire(Reply->roster());
    Holder.setRoster(Roster, Terminations, Now);
    Voter.setEpoch(Roster.Epoch);
  }
  if (Reply->has_lease())
    Holder.onReply(Sender.Id, fromWire(Reply->lease()), AskedAt);
  if (Reply->has_holdings())
    Holdings[Peer.Id.Name] = fromWire(Reply->holdings());
}

std::vector<due_exchange> control::dueExchanges(time_point Now) {
  const std::lock_guard Guard(Lock);
  const bool Retired = Leaving && Wanted.empty();
  if (Retired)
    Voter.retire();
  Adoption.recordEpoch(Self.Id, Voter.epoch(), Now);
  std::map<std::string, lease_request> Leases;
  for (addressed_lease_request &Out : Holder.poll(Terminations, Now)) {
    if (Out.Voter != Self.Id) {
      Leases[Out.Voter.Name] = std::move(Out.Request);
      continue;
    }
    Holder.onReply(Self.Id, Voter.handleRequest(Out.Request, Now), Now);
  }
  std::vector<due_exchange> Due;
  for (const auto &[Name, Vm] : Listed) {
    if (Name == Self.Id.Name)
      continue;
    const auto Lease = Leases.find(Name);
    time_point &Next = NextHeartbeat[Name];
    if (Lease == Leases.end() && Now < Next)
      continue;
    entry_vm Peer = Members.findByName(Name).value_or(
        entry_vm{{Name, 0}, Vm.Ip, Vm.Zone, {}, false, false});
    Peer.Ip = Vm.Ip;
    const bool Near = Peer.Region.empty() || isNear(Peer);
    Next = Now + Settings.Timing.Heartbeat * (Near ? 1 : FarHeartbeatFactor);
    due_exchange Exchange{Peer, {}};
    wire::ExchangeRequest &Request = Exchange.Request;
    const auto Met = Introduced.find(Name);
    const bool Whole =
        Met == Introduced.end() || Met->second != Peer.Id.Incarnation;
    toWire(Members.self(), *Request.mutable_sender(), Whole);
    Request.set_retired(Retired);
    Request.set_configuration_version(Configuration.version());
    if (Near) {
      const roster &Roster = Holder.currentRoster();
      Request.set_roster_epoch(Roster.Epoch);
      if (PeerEpochs.contains(Name) && PeerEpochs[Name] < Roster.Epoch)
        toWire(Roster, *Request.mutable_roster());
      Request.set_holdings_digest(digestOf(Holdings[Name]));
      if (Lease != Leases.end())
        toWire(Lease->second, *Request.mutable_lease());
    }
    Due.push_back(std::move(Exchange));
  }
  noteLostMembers(Now);
  return Due;
}

void control::noteLostMembers(time_point Now) {
  std::set<std::string> LiveNow;
  for (const entry_vm &Vm : Members.live(Now))
    LiveNow.insert(Vm.Id.Name);
  for (const std::string &Name : LiveBefore) {
    if (LiveNow.contains(Name))
      continue;
    Events.add({wallNow(), event_kind::MemberLost, Name, "",
                "no sign of life within the heartbeat timeout"});
    logLine(log_level::Warning, "member-lost", {{"vm", Name}});
  }
  LiveBefore = std::move(LiveNow);
}

void control::onVmList(std::span<const listed_vm> Vms, time_point Now) {
  const std::lock_guard Guard(Lock);
  std::vector<std::string> Names;
  std::map<std::string, listed_vm> Fresh;
  for (const listed_vm &Vm : Vms) {
    Names.push_back(Vm.Name);
    Fresh.emplace(Vm.Name, Vm);
  }
  Terminations.onVmList(Names, Now);
  // A member that the list does not have yet, or no longer, is called as long
  // as it lives.
  for (const entry_vm &Vm : Members.live(Now))
    Fresh.try_emplace(Vm.Id.Name,
                      listed_vm{Vm.Id.Name, Vm.Ip, Vm.Zone, Vm.Leaving});
  Listed = std::move(Fresh);
}

void control::onRoster(const roster &Roster, time_point Now) {
  const std::lock_guard Guard(Lock);
  if (Roster.Epoch <= Holder.currentRoster().Epoch)
    return;
  Holder.setRoster(Roster, Terminations, Now);
  Voter.setEpoch(Roster.Epoch);
  Events.add({wallNow(), event_kind::RosterChanged, Self.Region, "",
              fmt::format("epoch={} voters={} prior={}", Roster.Epoch,
                          Roster.Voters.size(), Roster.Prior.size())});
}

void control::onStoreContact(std::uint64_t StoreVersion, time_point Now) {
  const std::lock_guard Guard(Lock);
  Configuration.onStoreResponse(StoreVersion, Now);
}

void control::onConfiguration(const published_configuration &Published,
                              time_point Now) {
  result<configuration> Parsed = configuration::fromDocument(
      Published.Document, fmt::format("version {}", Published.Version));
  if (const error *Error = errorOf(Parsed)) {
    logLine(log_level::Error, "configuration-damaged",
            {{"version", Published.Version}, {"error", Error->Message}});
    return;
  }
  const std::lock_guard Guard(Lock);
  const bool Taken = Configuration.applyIfNewer(
      Published, std::make_shared<configuration>(moveValue(std::move(Parsed))));
  if (!Taken)
    return;
  Configuration.onStoreResponse(Published.Version, Now);
  Events.add(
      {wallNow(), event_kind::ConfigurationTaken, "configuration", "",
       fmt::format("version={} by={}", Published.Version, Published.Operator)});
  logLine(log_level::Info, "configuration-taken",
          {{"version", Published.Version}, {"by", Published.Operator}});
}

bool control::mayServe(time_point Now) const {
  return Configuration.mayServe(Now) && !Refusing;
}

std::optional<roster> control::rosterToWrite(time_point Now) {
  const std::lock_guard Guard(Lock);
  std::vector<entry_vm> Near;
  std::optional<vm_id> First;
  for (const entry_vm &Vm : Members.live(Now)) {
    if (!isNear(Vm))
      continue;
    Near.push_back(Vm);
    if (!First && Vm.Ready && !Vm.Leaving)
      First = Vm.Id;
  }
  if (First != Self.Id)
    return std::nullopt;
  const roster &Current = Holder.currentRoster();
  if (Current.Epoch == 0) {
    roster Initial{1, {}, {}};
    for (const entry_vm &Vm : Near) {
      if (Vm.Ready && Initial.Voters.size() < MaxVoters)
        Initial.Voters.push_back(Vm.Id);
    }
    return Initial;
  }
  return nextRoster(Current, Near, Adoption, Terminations,
                    Settings.Timing.Lease, Now);
}

roster control::currentRoster() const {
  const std::lock_guard Guard(Lock);
  return Holder.currentRoster();
}

std::vector<lease_subject> control::subjectsOfRegion() const {
  std::vector<lease_subject> Subjects;
  const auto Current = Configuration.current();
  if (!Current)
    return Subjects;
  for (const server_group_spec &Spec : Current->groups()) {
    if (Current->regionOf(Spec.Id.Zone) == Self.Region)
      Subjects.push_back(toText(Spec.Id));
  }
  for (int I = 0; I < KeyPartitionCount; ++I)
    Subjects.push_back(fmt::format("{}/{}/{}", KeyService, Self.Region, I));
  return Subjects;
}

std::optional<entry_vm> control::preferredOwner(const lease_subject &Subject,
                                                time_point Now) const {
  const auto Group = parseGroupId(Subject);
  if (errorOf(Group))
    return std::nullopt;
  return Members.preferredOwner(Subject, valueOf(Group).Zone, Self.Region, Now);
}

std::vector<due_hand_over> control::reviewOwnership(time_point Now) {
  const std::lock_guard Guard(Lock);
  std::vector<due_hand_over> Due;
  std::set<lease_subject> Next;
  Members.setSelf(Configuration.mayServe(Now), Leaving);
  for (const lease_subject &Subject : subjectsOfRegion()) {
    const auto Preferred = preferredOwner(Subject, Now);
    const bool IsMine = Preferred && Preferred->Id == Self.Id;
    const bool Owned = Now < Holder.ownedUntil(Subject, Terminations, Now);
    if (IsMine)
      BetterSince.erase(Subject);
    if (IsMine || (Owned && Wanted.contains(Subject)))
      Next.insert(Subject);
    if (IsMine || !Owned || !Preferred)
      continue;
    auto &[Name, Since] = BetterSince[Subject];
    if (Name != Preferred->Id.Name) {
      Name = Preferred->Id.Name;
      Since = Now;
    }
    if (Leaving || Now - Since >= HandOverDelay)
      Due.push_back({Subject, *Preferred});
  }
  Wanted = Next;
  Holder.setDesiredSubjects(Wanted, Now);
  return Due;
}

void control::release(const lease_subject &Subject, time_point Now) {
  const std::lock_guard Guard(Lock);
  Wanted.erase(Subject);
  BetterSince.erase(Subject);
  Holder.setDesiredSubjects(Wanted, Now);
}

void control::claimNow(const lease_subject &Subject, time_point Now) {
  const std::lock_guard Guard(Lock);
  Wanted.insert(Subject);
  Holder.setDesiredSubjects(Wanted, Now);
  Holder.requestRenewals(Now);
}

std::map<lease_subject, time_point> control::ownership(time_point Now) const {
  const std::lock_guard Guard(Lock);
  std::map<lease_subject, time_point> Rights;
  for (const lease_subject &Subject : Wanted)
    Rights[Subject] = Holder.ownedUntil(Subject, Terminations, Now);
  return Rights;
}

std::optional<entry_vm> control::peerWithNewer(time_point Now) const {
  const std::lock_guard Guard(Lock);
  for (const entry_vm &Vm : Members.live(Now)) {
    const auto Known = PeerVersions.find(Vm.Id.Name);
    const bool IsNewer =
        Known != PeerVersions.end() && Known->second > Configuration.version();
    if (Vm.Ready && IsNewer)
      return Vm;
  }
  return std::nullopt;
}

void control::setLeaving(time_point Now) {
  const std::lock_guard Guard(Lock);
  Leaving = true;
  Members.setSelf(Configuration.mayServe(Now), true);
  NextHeartbeat.clear();
}

void control::setRefusing() {
  const std::lock_guard Guard(Lock);
  Refusing = true;
}

std::optional<entry_vm> control::believedOwner(const lease_subject &Subject,
                                               time_point Now) const {
  if (Now < Holder.ownedUntil(Subject, Terminations, Now))
    return Members.self();
  std::map<vm_id, int> Votes;
  for (const auto &[VoterName, Known] : Holdings) {
    for (const lease_record &Holding : Known) {
      if (Holding.Subject == Subject)
        ++Votes[Holding.Holder];
    }
  }
  std::optional<entry_vm> Best;
  int Most = 0;
  for (const auto &[Id, Count] : Votes) {
    const auto Vm = Members.find(Id, Now);
    if (!Vm || Vm->Id == Self.Id || Count <= Most)
      continue;
    Best = Vm;
    Most = Count;
  }
  return Best ? Best : preferredOwner(Subject, Now);
}

std::shared_ptr<const routing_view> control::makeView(time_point Now) {
  const std::lock_guard Guard(Lock);
  auto View = std::make_shared<routing_view>();
  View->MayServe = mayServe(Now);
  View->Leaving = Leaving;
  View->Version = Configuration.version();
  View->Configuration = Configuration.current();
  View->Live = Members.live(Now);
  for (const lease_subject &Subject : subjectsOfRegion()) {
    if (const auto Owner = believedOwner(Subject, Now))
      View->Owners.emplace(Subject, *Owner);
  }
  return View;
}

std::vector<member_status> control::members(time_point Now) const {
  const std::lock_guard Guard(Lock);
  std::vector<member_status> All;
  for (const entry_vm &Vm : Members.live(Now)) {
    const auto Known = PeerVersions.find(Vm.Id.Name);
    const std::uint64_t Version = Vm.Id == Self.Id ? Configuration.version()
                                  : Known != PeerVersions.end() ? Known->second
                                                                : 0;
    All.push_back({Vm, Version});
  }
  return All;
}

std::shared_ptr<const configuration> control::currentConfiguration() const {
  const std::lock_guard Guard(Lock);
  return Configuration.current();
}

std::uint64_t control::version() const {
  const std::lock_guard Guard(Lock);
  return Configuration.version();
}

published_configuration control::published() const {
  const std::lock_guard Guard(Lock);
  return Configuration.published();
}

std::optional<entry_vm> control::findMember(std::string_view Name) const {
  const std::lock_guard Guard(Lock);
  return Members.findByName(Name);
}

std::vector<entry_vm> control::live(time_point Now) const {
  const std::lock_guard Guard(Lock);
  return Members.live(Now);
}

std::optional<entry_vm> control::copyHolder(const lease_subject &Partition,
                                            time_point Now) const {
  const std::lock_guard Guard(Lock);
  std::optional<entry_vm> Best;
  std::pair<bool, std::uint64_t> BestRank{false, 0};
  for (const entry_vm &Vm : Members.live(Now)) {
    if (Vm.Id == Self.Id || !Vm.Ready || Vm.Leaving || !isNear(Vm))
      continue;
    const std::pair Rank{Vm.Zone != Self.Zone,
                         rendezvousWeight(Vm.Id.Name, Partition)};
    if (Best && Rank <= BestRank)
      continue;
    Best = Vm;
    BestRank = Rank;
  }
  return Best;
}

} // namespace agatedale
