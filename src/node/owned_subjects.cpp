/// \file
/// Gaining, losing and handing over.
#include "owned_subjects.h"
#include "../core/log.h"
#include "node_clock.h"
#include "wire.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

constexpr duration HandOverTimeout = std::chrono::milliseconds(500);

/// Copies kept for one partition; what is beyond is answered by timestamp.
constexpr std::size_t MaxCopies = 20'000;

/// Returns the longest time that a request to \p Service may run.
duration longestTimeout(const configuration &Configuration,
                        const std::string &Service) {
  std::chrono::milliseconds Longest{0};
  for (const route &Route : Configuration.routes()) {
    if (Route.Service == Service)
      Longest = std::max(Longest, Route.Timeout);
  }
  return Longest;
}

bool isKeySubject(const lease_subject &Subject) {
  return Subject.starts_with(KeyService);
}

} // namespace

owned_subjects::owned_subjects(const settings &Settings, control &Control,
                               peer_links &Links, const shard_context &Context)
    : Settings(Settings), Control(Control), Links(Links), Context(Context) {}

void owned_subjects::refresh(time_point Now) {
  // Rights are read and applied in one step, so that an older reading never
  // overwrites a newer one.
  const std::lock_guard RefreshGuard(RefreshLock);
  const std::map<lease_subject, time_point> Rights = Control.ownership(Now);
  const std::lock_guard Guard(Lock);
  for (const auto &[Subject, Until] : Rights) {
    if (Until <= Now)
      continue;
    if (const auto Group = Groups.find(Subject); Group != Groups.end())
      Group->second->setLeaseEnd(Until);
    else if (const auto Table = Keys.find(Subject); Table != Keys.end())
      Table->second->setLeaseEnd(Until);
    else if (!HandingOver.contains(Subject))
      gain(Subject, Until, Now);
  }
  std::vector<lease_subject> Lost;
  const auto IsLost = [&Rights, Now](const lease_subject &Subject) {
    const auto Right = Rights.find(Subject);
    return Right == Rights.end() || Right->second <= Now;
  };
  for (const auto &[Subject, Shard] : Groups) {
    if (IsLost(Subject))
      Lost.push_back(Subject);
  }
  for (const auto &[Subject, Shard] : Keys) {
    if (IsLost(Subject))
      Lost.push_back(Subject);
  }
  for (const lease_subject &Subject : Lost)
    lose(Subject);
  std::erase_if(GivenUp, [](const auto &Shard) {
    return Shard->running() == 0 && Shard.use_count() == 1;
  });
}

void owned_subjects::gain(const lease_subject &Subject, time_point Until,
                          time_point Now) {
  const auto Group = parseGroupId(Subject);
  if (errorOf(Group))
    return;
  if (isKeySubject(Subject))
    gainKeys(Subject, Until, Now);
  else
    gainGroup(valueOf(Group), Until, Now);
}

void owned_subjects::gainGroup(const group_id &Id, time_point Until,
                               time_point Now) {
  const auto Configuration = Control.currentConfiguration();
  if (!Configuration)
    return;
  const server_group_spec *Spec = Configuration->findGroup(Id);
  if (!Spec)
    return;
  server_group_settings GroupSettings;
  GroupSettings.Service = Configuration->services().at(Id.Service);
  GroupSettings.RetryPercent = Configuration->costBudgets().RetryPercent;
  const auto Made = group_shard::create(*Spec, GroupSettings, Context);
  if (errorOf(Made))
    return;
  const std::shared_ptr<group_shard> &Shard = valueOf(Made);
  const lease_subject Subject = toText(Id);
  const auto Table = takeReceived(Subject, Now);
  if (Table) {
    std::vector<inherited_attempt> Attempts;
    for (const wire::InheritedAttempt &Attempt : Table->attempts())
      Attempts.push_back(fromWire(Attempt, Now));
    Shard->inherit(Attempts);
  } else {
    Shard->assumeOccupied(Now + longestTimeout(*Configuration, Id.Service) +
                          GroupSettings.CancelGrace);
  }
  Shard->reconfigure(GroupSettings.Service, Spec->Servers,
                     Configuration->isZoneActive(Id.Zone));
  Shard->setLeaseEnd(Until);
  Groups.emplace(Subject, Shard);
  Context.Events.add(
      {wallNow(), event_kind::OwnershipGained, Id.Service, "",
       fmt::format("group={} planned={}", Subject, Table.has_value())});
  logLine(log_level::Info, "ownership-gained",
          {{"subject", Subject}, {"planned", Table.has_value()}});
}

void owned_subjects::gainKeys(const lease_subject &Subject, time_point Until,
                              time_point Now) {
  key_table_settings TableSettings;
  TableSettings.MaxEntries =
      static_cast<std::size_t>(Settings.Limits.KeyEntries);
  auto Shard = std::make_shared<key_shard>(
      TableSettings, [this, Subject](const key_entry &Entry) {
        copyToHolder(Subject, Entry);
      });
  const auto Table = takeReceived(Subject, Now);
  std::vector<key_entry> Entries;
  if (Table) {
    for (const wire::KeyEntry &Entry : Table->keys())
      Entries.push_back(fromWire(Entry));
    Shard->adopt(Entries, Table->key_floor());
  } else {
    const std::lock_guard Guard(CopyLock);
    for (const auto &[Name, Entry] : Copies[Subject])
      Entries.push_back(Entry);
    Shard->takeOver(Entries);
    Context.Events.add({wallNow(), event_kind::KeysTakenOver, Subject, "",
                        fmt::format("copies={}", Entries.size())});
  }
  Shard->setLeaseEnd(Until);
  Keys.emplace(Subject, Shard);
  logLine(log_level::Info, "ownership-gained",
          {{"subject", Subject},
           {"planned", Table.has_value()},
           {"entries", Entries.size()}});
}

void owned_subjects::lose(const lease_subject &Subject) {
  if (const auto Group = Groups.find(Subject); Group != Groups.end()) {
    Group->second->handOver({});
    GivenUp.push_back(Group->second);
    Groups.erase(Group);
  }
  if (const auto Table = Keys.find(Subject); Table != Keys.end()) {
    wall_ms Floor = 0;
    Table->second->handOver(Floor);
    Keys.erase(Table);
  }
  Context.Events.add({wallNow(), event_kind::OwnershipLost,
                      Subject.substr(0, Subject.find('/')), "",
                      fmt::format("subject={}", Subject)});
  logLine(log_level::Warning, "ownership-lost", {{"subject", Subject}});
}

bool owned_subjects::handOver(const due_hand_over &Due, time_point Now) {
  std::shared_ptr<group_shard> Group;
  std::shared_ptr<key_shard> Table;
  {
    const std::lock_guard Guard(Lock);
    if (const auto Found = Groups.find(Due.Subject); Found != Groups.end()) {
      Group = Found->second;
      GivenUp.push_back(Group);
      Groups.erase(Found);
    } else if (const auto Other = Keys.find(Due.Subject); Other != Keys.end()) {
      Table = Other->second;
      Keys.erase(Other);
    } else {
      return false;
    }
    HandingOver.insert(Due.Subject);
  }
  const wire::HandOverRequest Request =
      Group ? stopGroup(Due, *Group) : stopKeys(Due, *Table);
  const bool Accepted = Links.handOver(Due.To.Ip, Request, HandOverTimeout);
  if (Accepted)
    Control.release(Due.Subject, Now);
  {
    const std::lock_guard Guard(Lock);
    HandingOver.erase(Due.Subject);
    if (!Accepted)
      Received[Due.Subject] = {Request, monotonicNow()};
  }
  Context.Events.add({wallNow(), event_kind::OwnershipHandedOver,
                      Due.Subject.substr(0, Due.Subject.find('/')), "",
                      fmt::format("subject={} to={} accepted={}", Due.Subject,
                                  Due.To.Id.Name, Accepted)});
  logLine(log_level::Info, "ownership-handed-over",
          {{"subject", Due.Subject},
           {"to", Due.To.Id.Name},
           {"accepted", Accepted}});
  return Accepted;
}

void owned_subjects::slotFreed(const std::string &Ip,
                               const lease_subject &Subject,
                               const std::string &Server, attempt_id Attempt) {
  if (const auto Shard = findGroup(Subject)) {
    Shard->onInheritedAttemptEnd(Server, Attempt);
    return;
  }
  wire::SlotFreedRequest Freed;
  Freed.set_subject(Subject);
  Freed.set_server(Server);
  Freed.set_attempt(Attempt);
  Links.slotFreed(Ip, Freed);
}

wire::HandOverRequest owned_subjects::stopGroup(const due_hand_over &Due,
                                                group_shard &Shard) {
  const auto OnFreed = [this, Ip = Due.To.Ip, Subject = Due.Subject](
                           const std::string &Server, attempt_id Attempt) {
    Context.Tasks.submit([this, Ip, Subject, Server, Attempt] {
      slotFreed(Ip, Subject, Server, Attempt);
    });
  };
  const time_point Now = monotonicNow();
  wire::HandOverRequest Request;
  Request.set_subject(Due.Subject);
  for (const inherited_attempt &Attempt : Shard.handOver(OnFreed))
    toWire(Attempt, Now, *Request.add_attempts());
  return Request;
}

wire::HandOverRequest owned_subjects::stopKeys(const due_hand_over &Due,
                                               key_shard &Shard) {
  wall_ms Floor = 0;
  wire::HandOverRequest Request;
  Request.set_subject(Due.Subject);
  for (const key_entry &Entry : Shard.handOver(Floor))
    toWire(Entry, *Request.add_keys());
  Request.set_key_floor(Floor);
  return Request;
}

void owned_subjects::receive(const wire::HandOverRequest &Request,
                             time_point Now) {
  {
    const std::lock_guard Guard(Lock);
    Received[Request.subject()] = {Request, Now};
  }
  Control.claimNow(Request.subject(), Now);
}

std::optional<wire::HandOverRequest>
owned_subjects::takeReceived(const lease_subject &Subject, time_point Now) {
  const auto Found = Received.find(Subject);
  if (Found == Received.end())
    return std::nullopt;
  // Later than this a third may have owned the subject in between.
  const bool InTime = Now - Found->second.At < Settings.Timing.Lease;
  std::optional<wire::HandOverRequest> Table;
  if (InTime)
    Table = std::move(Found->second.Request);
  Received.erase(Found);
  return Table;
}

void owned_subjects::copyToHolder(const lease_subject &Partition,
                                  const key_entry &Entry) {
  const auto Holder = Control.copyHolder(Partition, monotonicNow());
  if (!Holder)
    return;
  wire::CopyKeysRequest Request;
  Request.set_partition(Partition);
  toWire(Entry, *Request.add_keys());
  Context.Tasks.submit(
      [this, Ip = Holder->Ip, Request] { Links.copyKeys(Ip, Request); });
}

void owned_subjects::keepCopies(const wire::CopyKeysRequest &Request) {
  const std::lock_guard Guard(CopyLock);
  auto &Kept = Copies[Request.partition()];
  for (const wire::KeyEntry &Message : Request.keys()) {
    const key_entry Entry = fromWire(Message);
    const std::string Name = Entry.Account + "\n" + Entry.Key;
    const auto Known = Kept.find(Name);
    // Copies may overtake each other; a settled entry is not undone.
    const bool Overtaken = Known != Kept.end() &&
                           Known->second.Claim == Entry.Claim &&
                           Known->second.State != key_state::Running;
    if (Overtaken)
      continue;
    if (Kept.size() >= MaxCopies)
      Kept.erase(Kept.begin());
    Kept[Name] = Entry;
  }
}

void owned_subjects::applyConfiguration(const configuration &Configuration) {
  const std::lock_guard Guard(Lock);
  for (const auto &[Subject, Shard] : Groups) {
    const server_group_spec *Spec = Configuration.findGroup(Shard->id());
    const auto Service = Configuration.services().find(Shard->id().Service);
    if (Spec && Service != Configuration.services().end())
      Shard->reconfigure(Service->second, Spec->Servers,
                         Configuration.isZoneActive(Shard->id().Zone));
    else
      Shard->reconfigure(service{}, {}, false);
  }
}

void owned_subjects::tick() {
  for (const auto &Shard : groups())
    Shard->tick();
}

std::shared_ptr<group_shard>
owned_subjects::findGroup(const std::string &Subject) const {
  const std::lock_guard Guard(Lock);
  const auto Found = Groups.find(Subject);
  return Found == Groups.end() ? nullptr : Found->second;
}

std::shared_ptr<key_shard>
owned_subjects::findKeys(const std::string &Subject) const {
  const std::lock_guard Guard(Lock);
  const auto Found = Keys.find(Subject);
  return Found == Keys.end() ? nullptr : Found->second;
}

std::vector<std::shared_ptr<group_shard>> owned_subjects::groups() const {
  const std::lock_guard Guard(Lock);
  std::vector<std::shared_ptr<group_shard>> All;
  for (const auto &[Subject, Shard] : Groups)
    All.push_back(Shard);
  return All;
}

std::vector<std::string> owned_subjects::keyPartitions() const {
  const std::lock_guard Guard(Lock);
  std::vector<std::string> All;
  for (const auto &[Subject, Shard] : Keys)
    All.push_back(Subject);
  return All;
}

std::size_t owned_subjects::running() const {
  const std::lock_guard Guard(Lock);
  std::size_t Count = 0;
  for (const auto &[Subject, Shard] : Groups)
    Count += Shard->running();
  for (const auto &Shard : GivenUp)
    Count += Shard->running();
  return Count;
}

} // namespace agatedale
