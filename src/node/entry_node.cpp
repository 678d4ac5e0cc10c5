/// \file
/// Puts the parts of a node together and runs its threads.
#include "agatedale/entry_node.h"
#include "../core/log.h"
#include "admin_server.h"
#include "agatedale/platform_client.h"
#include "agatedale/publishing.h"
#include "caller_server.h"
#include "control.h"
#include "node_clock.h"
#include "owned_subjects.h"
#include "peer_link.h"
#include "peer_service.h"
#include "request_path.h"
#include "task_pool.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace agatedale {

namespace {

constexpr duration ControlStep = std::chrono::milliseconds(50);
constexpr duration TickStep = std::chrono::milliseconds(4);
constexpr duration ProbeStep = std::chrono::milliseconds(50);
constexpr duration ExchangeTimeout = std::chrono::milliseconds(250);
constexpr duration ProbeTimeout = std::chrono::milliseconds(200);
constexpr duration StopPoll = std::chrono::milliseconds(10);

/// What a probe costs its server, for the budget of measuring.
constexpr duration ProbeCost = std::chrono::milliseconds(6);

constexpr std::size_t TaskThreads = 16;
constexpr std::size_t MaxTasks = 4096;

entry_vm selfOf(const settings &Settings) {
  entry_vm Self;
  Self.Id = {Settings.Vm, static_cast<std::uint64_t>(wallNow())};
  Self.Ip = Settings.Ip;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  return Self;
}

/// Asks a backend server for its load; nothing when it does not say.
std::optional<int> askLoad(const std::string &Address,
                           const std::string &Path) {
  const auto Opened = backend_connection::open(Address, ProbeTimeout);
  if (errorOf(Opened))
    return std::nullopt;
  try {
    backend_connection &Connection = *valueOf(Opened);
    Connection.setTimeout(ProbeTimeout);
    Poco::Net::HTTPRequest Request("GET", Path, "HTTP/1.1");
    Request.setHost(Address);
    Connection.session().sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::istream &Input = Connection.session().receiveResponse(Response);
    std::string Text;
    Poco::StreamCopier::copyToString(Input, Text);
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<Poco::JSON::Object::Ptr>()->getValue<int>(
        "in_flight");
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

} // namespace

/// The node's parts and threads. Members are in the order of their dependence.
class entry_node::implementation {
public:
  explicit implementation(const settings &Settings)
      : Settings(Settings), Tasks(TaskThreads, MaxTasks),
        Links(Settings.PeerPort), Control(Settings, selfOf(Settings), Events),
        Owned(Settings, Control, Links,
              {Metrics, Events, Tasks, Settings.Limits.BufferedAnswerBytes}),
        Path(Settings, Control, Owned, Links, Metrics, Events) {}

  std::optional<error> start();
  void stop();

private:
  void runControl();
  void runStore();
  void runTicks();
  void runProbes();
  void sendExchanges(time_point Now);
  void startHandOvers(time_point Now);
  void applyNews();
  void fetchFromPeer(time_point Now);
  void pollStore(platform_client &Store);
  void pollRoster(platform_client &Store);
  void probe(group_shard &Shard, time_point Now);
  void waitFor(duration Length);
  void finishRequests();

  settings Settings;
  metrics Metrics;
  event_log Events;
  task_pool Tasks;
  peer_links Links;
  control Control;
  owned_subjects Owned;
  request_path Path;
  std::unique_ptr<peer_service> Peers;
  std::unique_ptr<admin_server> Admin;
  std::unique_ptr<caller_server> Callers;
  std::atomic<bool> Stopping{false};
  std::mutex StopLock;
  std::condition_variable StopSignal;
  std::vector<std::thread> Threads;
  std::mutex NewsLock;
  std::uint64_t AppliedVersion = 0;
  std::set<std::string> LiveBefore;
  std::atomic<bool> Fetching{false};
  std::mutex ProbeLock;
  std::map<std::string, time_point> NextProbe;
  std::map<std::string, time_point> AssumedSince;
};

std::optional<error> entry_node::implementation::start() {
  peer_service_parts PeerParts{Control, Owned, Path, [this] { applyNews(); }};
  auto PeerServer =
      peer_service::start(fmt::format("{}:{}", Settings.Ip, Settings.PeerPort),
                          Settings.Limits.PeerThreads, PeerParts);
  if (const error *Error = errorOf(PeerServer))
    return *Error;
  Peers = moveValue(std::move(PeerServer));
  auto AdminServer = admin_server::start(
      Settings, {Control, Owned, Path, Links, Metrics, Events});
  if (const error *Error = errorOf(AdminServer))
    return *Error;
  Admin = moveValue(std::move(AdminServer));
  auto CallerServer = caller_server::start(Settings, Path, Metrics);
  if (const error *Error = errorOf(CallerServer))
    return *Error;
  Callers = moveValue(std::move(CallerServer));
  Threads.emplace_back([this] { runStore(); });
  Threads.emplace_back([this] { runControl(); });
  Threads.emplace_back([this] { runTicks(); });
  Threads.emplace_back([this] { runProbes(); });
  logLine(log_level::Info, "started",
          {{"vm", Settings.Vm},
           {"zone", Settings.Zone},
           {"callers", fmt::format("{}:{}", Settings.Ip, Settings.CallerPort)},
           {"admin", Settings.AdminPort},
           {"peers", Settings.PeerPort}});
  return std::nullopt;
}

void entry_node::implementation::waitFor(duration Length) {
  std::unique_lock Guard(StopLock);
  StopSignal.wait_for(Guard, Length, [this] { return Stopping.load(); });
}

void entry_node::implementation::applyNews() {
  const time_point Now = monotonicNow();
  Owned.refresh(Now);
  const auto View = Control.makeView(Now);
  const std::lock_guard Guard(NewsLock);
  if (View->Configuration && View->Version > AppliedVersion) {
    AppliedVersion = View->Version;
    Owned.applyConfiguration(*View->Configuration);
  }
  std::set<std::string> Live;
  for (const entry_vm &Vm : View->Live)
    Live.insert(Vm.Ip);
  for (const std::string &Ip : LiveBefore) {
    if (!Live.contains(Ip))
      Links.breakOff(Ip);
  }
  LiveBefore = std::move(Live);
  Path.setView(View);
}

void entry_node::implementation::sendExchanges(time_point Now) {
  for (due_exchange &Due : Control.dueExchanges(Now)) {
    const entry_vm Peer = Due.Peer;
    Links.exchange(Peer.Ip, Due.Request, ExchangeTimeout,
                   [this, Peer, Now](const wire::ExchangeReply *Reply) {
                     Control.onReply(Peer, Reply, Now, monotonicNow());
                     if (Reply && Reply->has_lease())
                       Owned.refresh(monotonicNow());
                   });
  }
}

void entry_node::implementation::startHandOvers(time_point Now) {
  for (const due_hand_over &Due : Control.reviewOwnership(Now)) {
    Tasks.submit([this, Due] {
      if (Owned.handOver(Due, monotonicNow()))
        applyNews();
    });
  }
}

void entry_node::implementation::fetchFromPeer(time_point Now) {
  const auto Peer = Control.peerWithNewer(Now);
  if (!Peer || Fetching.exchange(true))
    return;
  const bool Queued = Tasks.submit([this, Ip = Peer->Ip] {
    const auto Reply = Links.fetchConfiguration(Ip, Control.version() + 1,
                                                Settings.Timing.StoreTimeout);
    if (Reply && Reply->version() > Control.version()) {
      Control.onConfiguration({Reply->version(), Reply->change_id(),
                               Reply->operator_name(), Reply->document()},
                              monotonicNow());
      applyNews();
    }
    Fetching = false;
  });
  if (!Queued)
    Fetching = false;
}

void entry_node::implementation::runControl() {
  while (!Stopping) {
    const time_point Now = monotonicNow();
    startHandOvers(Now);
    sendExchanges(Now);
    fetchFromPeer(Now);
    applyNews();
    waitFor(ControlStep);
  }
}

void entry_node::implementation::pollRoster(platform_client &Store) {
  const std::string Row = rosterRowName(Settings.Region);
  const result<table_row> Read = Store.readRow(Row);
  std::uint64_t RowVersion = 0;
  if (const error *Error = errorOf(Read)) {
    if (Error->Kind != error_kind::NotFound)
      return;
  } else {
    RowVersion = valueOf(Read).Version;
    const result<roster> Roster = rosterFromJson(valueOf(Read).Value);
    if (const error *Damage = errorOf(Roster)) {
      logLine(log_level::Error, "roster-damaged", {{"error", Damage->Message}});
      return;
    }
    Control.onRoster(valueOf(Roster), monotonicNow());
  }
  const auto Next = Control.rosterToWrite(monotonicNow());
  if (!Next)
    return;
  // A lost answer is settled by the next read of the row.
  const result<std::uint64_t> Written =
      Store.writeRow(Row, toJson(*Next), RowVersion);
  if (errorOf(Written))
    return;
  Control.onRoster(*Next, monotonicNow());
  logLine(log_level::Info, "roster-written",
          {{"epoch", Next->Epoch},
           {"voters", Next->Voters.size()},
           {"prior", Next->Prior.size()}});
}

void entry_node::implementation::pollStore(platform_client &Store) {
  const result<std::vector<listed_vm>> Vms = Store.listVms();
  if (!errorOf(Vms))
    Control.onVmList(valueOf(Vms), monotonicNow());
  const auto Record = readConfigurationRecord(Store);
  if (errorOf(Record))
    return;
  if (valueOf(Record).first.Version > Control.version()) {
    const result<published_configuration> Published =
        readPublishedConfiguration(Store);
    if (!errorOf(Published)) {
      Control.onConfiguration(valueOf(Published), monotonicNow());
      applyNews();
    }
  }
  Control.onStoreContact(valueOf(Record).first.Version, monotonicNow());
  pollRoster(Store);
}

void entry_node::implementation::runStore() {
  auto Made = platform_client::create(Settings.PlatformAddress,
                                      Settings.Timing.StoreTimeout);
  if (const error *Error = errorOf(Made)) {
    logLine(log_level::Error, "platform-address", {{"error", Error->Message}});
    return;
  }
  while (!Stopping) {
    pollStore(valueOf(Made));
    waitFor(Settings.Timing.StorePoll);
  }
}

void entry_node::implementation::runTicks() {
  while (!Stopping) {
    Owned.tick();
    waitFor(TickStep);
  }
}

void entry_node::implementation::probe(group_shard &Shard, time_point Now) {
  const auto View = Path.view();
  if (!View->Configuration)
    return;
  const auto Service = View->Configuration->services().find(Shard.id().Service);
  const server_group_spec *Spec = View->Configuration->findGroup(Shard.id());
  const bool CanAsk = Service != View->Configuration->services().end() &&
                      !Service->second.LoadPath.empty() && Spec;
  if (!CanAsk)
    return;
  const double Share = View->Configuration->costBudgets().ProbePercent / 100;
  const duration Spacing =
      Share > 0 ? std::chrono::duration_cast<duration>(
                      ProbeCost / (Share * Service->second.Slots))
                : std::chrono::hours(24);
  for (const std::string &Name : Shard.assumedServers()) {
    std::string Address;
    for (const backend_server &Server : Spec->Servers)
      Address = Server.Name == Name ? Server.Address : Address;
    if (Address.empty())
      continue;
    {
      const std::lock_guard Guard(ProbeLock);
      const auto Since = AssumedSince.try_emplace(Name, Now).first->second;
      // An older report may not have counted the former owner's last request.
      const bool TooEarly = Now - Since < Service->second.LoadReportLag;
      if (TooEarly || Now < NextProbe[Name])
        continue;
      NextProbe[Name] = Now + Spacing;
    }
    Metrics.increment("agatedale_probes_total",
                      formatLabel("service", Shard.id().Service));
    Tasks.submit([this, Address, Name, Owner = toText(Shard.id()),
                  Path = Service->second.LoadPath] {
      const std::optional<int> InFlight = askLoad(Address, Path);
      const auto Found = Owned.findGroup(Owner);
      if (InFlight && Found)
        Found->onLoadReport(Name, *InFlight);
    });
  }
}

void entry_node::implementation::runProbes() {
  while (!Stopping) {
    const time_point Now = monotonicNow();
    std::set<std::string> Assumed;
    for (const auto &Shard : Owned.groups()) {
      for (const std::string &Name : Shard->assumedServers())
        Assumed.insert(Name);
      probe(*Shard, Now);
    }
    {
      const std::lock_guard Guard(ProbeLock);
      std::erase_if(AssumedSince, [&Assumed](const auto &Entry) {
        return !Assumed.contains(Entry.first);
      });
      std::erase_if(NextProbe, [&Assumed](const auto &Entry) {
        return !Assumed.contains(Entry.first);
      });
    }
    waitFor(ProbeStep);
  }
}

void entry_node::implementation::finishRequests() {
  const time_point End = monotonicNow() + Settings.Timing.StopGrace;
  const auto Busy = [this] {
    return Path.inProgress() > 0 || Owned.running() > 0 ||
           !Owned.groups().empty() || !Owned.keyPartitions().empty();
  };
  while (Busy() && monotonicNow() < End)
    std::this_thread::sleep_for(StopPoll);
}

void entry_node::implementation::stop() {
  logLine(log_level::Info, "stopping", {{"vm", Settings.Vm}});
  Events.add({wallNow(), event_kind::Stopping, "node", "", "asked to stop"});
  Control.setLeaving(monotonicNow());
  applyNews();
  Callers->closeConnections();
  // The platform's balancer needs a moment to see that this VM is not ready;
  // until then its callers are served by the new owners.
  std::this_thread::sleep_for(Settings.Timing.StopNotice);
  Control.setRefusing();
  applyNews();
  finishRequests();
  Callers->stop(std::chrono::milliseconds(500));
  // One more heartbeat tells the voters that this node retires.
  std::this_thread::sleep_for(2 * Settings.Timing.Heartbeat);
  {
    const std::lock_guard Guard(StopLock);
    Stopping = true;
  }
  StopSignal.notify_all();
  for (std::thread &Thread : Threads)
    Thread.join();
  Peers->stop(std::chrono::milliseconds(500));
  Admin->stop();
  Tasks.stop();
  logLine(log_level::Info, "stopped", {{"vm", Settings.Vm}});
}

entry_node::entry_node(std::unique_ptr<implementation> Implementation)
    : Implementation(std::move(Implementation)) {}
entry_node::~entry_node() = default;

result<std::unique_ptr<entry_node>>
entry_node::start(const settings &Settings) {
  auto Implementation = std::make_unique<implementation>(Settings);
  if (const std::optional<error> Error = Implementation->start())
    return *Error;
  return std::unique_ptr<entry_node>(new entry_node(std::move(Implementation)));
}

void entry_node::stop() { Implementation->stop(); }

} // namespace agatedale
