/// \file
/// Start, heartbeats, membership, readiness and stop of a gateway.
#include "agatedale/gateway_node.h"

#include "../core/log.h"
#include "agatedale/copy_pace.h"
#include "agatedale/metrics.h"
#include "group_host.h"
#include "knowledge.h"
#include "listener.h"
#include "peer_hub.h"
#include "platform/decode.h"
#include "request_router.h"
#include "store_worker.h"
#include "wire_convert.h"

#include <fmt/format.h>

#include <chrono>
#include <map>
#include <thread>

namespace agatedale {

namespace {

/// How often groups look at their queues, and knowledge at its age.
constexpr duration TickInterval = std::chrono::milliseconds(20);

/// The same while no request is there; knowledge's age allows for it.
constexpr duration IdleTickInterval = std::chrono::milliseconds(50);

/// Heartbeats inside the region; a VM that misses two is taken as lost.
constexpr duration HeartbeatInterval = std::chrono::milliseconds(250);
constexpr duration HeartbeatTimeout = std::chrono::milliseconds(500);

/// News causes heartbeats of its own, but not one for each row of many that
/// change one after the other, as when a fleet starts.
constexpr duration BeatGap = std::chrono::milliseconds(50);

/// Pause before the own row is written again after a failure.
constexpr duration RegisterPause = std::chrono::milliseconds(500);

/// How often VMs that were silent for long are looked for.
constexpr duration CleanInterval = std::chrono::seconds(1);

/// The platform sends no new connections after two failed questions, one a
/// second; idle connections are closed after that.
constexpr duration StopNotice = std::chrono::milliseconds(2300);

/// A stop ends this long before the platform would kill the process.
constexpr duration StopMargin = std::chrono::milliseconds(700);

/// How long calls of peers may take to end when the process does.
constexpr duration PeerShutdownGrace = std::chrono::milliseconds(100);

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::uint64_t newIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

entry_vm selfOf(const gateway_settings &Settings) {
  entry_vm Self;
  Self.Id = {Settings.Vm, newIncarnation()};
  Self.Ip = Settings.Ip;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  Self.Capacity = Settings.Capacity;
  return Self;
}

} // namespace

class gateway_node::impl {
public:
  explicit impl(const gateway_settings &Settings)
      : Settings(Settings), Vms(vm_directory::create(selfOf(Settings), {})) {}

  /// Ends what posts to the loop before the loop goes.
  ~impl() {
    if (Hub)
      endPeers();
    Worker.reset();
  }

  std::optional<error> start();
  void run();
  void beginStop();

  std::unique_ptr<event_loop> Loop;

private:
  void endPeers();
  void stopWhenIdle();
  void everyTick();
  void everyHeartbeat();
  void everyClean();
  void beat();
  void beatSoon();
  wire_gateway::Heartbeat makeHeartbeat(const std::string &Peer);
  void addNews(wire_gateway::Heartbeat &Message, const std::string &Peer,
               time_point Now);
  void addZoneMates(wire_gateway::Heartbeat &Message, time_point Now) const;
  void connectToOwners();
  wire_gateway::Heartbeat onHeartbeat(const wire_gateway::Heartbeat &Message);
  void takeHeartbeat(const wire_gateway::Heartbeat &Message);
  void onVms();
  void onView();
  void registerSelf();
  void updateReady();
  bool isReady() const;
  void checkStopped(time_point Since);
  std::optional<error> openMetrics();
  void setGauges();

  gateway_settings Settings;
  metrics Metrics;
  vm_directory Vms;
  std::unique_ptr<group_host> Host;
  std::unique_ptr<request_router> Router;
  std::unique_ptr<store_worker> Worker;
  std::unique_ptr<knowledge> Knowledge;
  std::unique_ptr<peer_hub> Hub;
  std::unique_ptr<listener> Callers;
  std::unique_ptr<listener> Readiness;
  std::unique_ptr<listener> MetricsListener;
  std::map<std::string, std::vector<std::uint64_t>> PeerPositions;
  copy_pace Copies;
  time_point LastBeat{};
  bool BeatIsDue = false;
  bool Registering = false;
  bool Registered = false;
  bool Stopping = false;
  bool Ending = false; ///< Calls of peers are answered, none is made.
};

std::optional<error> gateway_node::impl::start() {
  result<std::unique_ptr<event_loop>> MadeLoop = event_loop::create();
  if (const error *Error = errorOf(MadeLoop))
    return *Error;
  Loop = moveValue(std::move(MadeLoop));
  Host = std::make_unique<group_host>(*Loop, Settings);
  Router =
      std::make_unique<request_router>(*Loop, Settings, Vms, *Host, Metrics);
  auto MadeWorker = store_worker::start(*Loop, Settings.StoreAddress);
  if (const error *Error = errorOf(MadeWorker))
    return *Error;
  Worker = moveValue(std::move(MadeWorker));
  Knowledge = std::make_unique<knowledge>(
      Settings, Vms, *Worker,
      knowledge::handlers{[this] { onView(); }, [this] { onVms(); },
                          [this] { beatSoon(); }});
  peer_hub::handlers Handlers;
  Handlers.OnHeartbeat = [this](const auto &Message) {
    return onHeartbeat(Message);
  };
  Handlers.OnForward = [this](const auto &Message, auto Done) {
    return Router->serveForPeer(Message, std::move(Done));
  };
  Handlers.OnCancel = [this](forward_ticket Ticket) {
    Router->cancelForPeer(Ticket);
  };
  auto MadeHub =
      peer_hub::start(*Loop, Settings.Ip, Settings.PeerPort, Handlers);
  if (const error *Error = errorOf(MadeHub))
    return *Error;
  Hub = moveValue(std::move(MadeHub));
  Router->setPeers(*Hub);
  auto MadeCallers =
      listener::open(*Loop, Settings.CallerAddress,
                     [this](auto Exchange) { Router->serve(Exchange); });
  if (const error *Error = errorOf(MadeCallers))
    return *Error;
  Callers = moveValue(std::move(MadeCallers));
  auto MadeReadiness =
      listener::open(*Loop, Settings.ReadinessAddress, [this](auto Exchange) {
        Exchange->answer({isReady() ? StatusOk : StatusUnavailable, {}, ""});
      });
  if (const error *Error = errorOf(MadeReadiness))
    return *Error;
  Readiness = moveValue(std::move(MadeReadiness));
  const auto Bodies = std::make_shared<body_budget>(Settings.BodyBytes);
  Callers->setBodies(Bodies);
  Router->setBodies(Bodies);
  if (const std::optional<error> Error = openMetrics())
    return *Error;
  registerSelf();
  everyTick();
  everyHeartbeat();
  everyClean();
  logLine(log_level::Info, "started",
          {{"vm", Settings.Vm},
           {"zone", Settings.Zone},
           {"incarnation", Vms.self().Id.Incarnation}});
  return std::nullopt;
}

std::optional<error> gateway_node::impl::openMetrics() {
  if (Settings.MetricsAddress.empty())
    return std::nullopt;
  auto Made =
      listener::open(*Loop, Settings.MetricsAddress, [this](auto Exchange) {
        setGauges();
        http_answer_message Answer{StatusOk, {}, Metrics.exportText()};
        Answer.Headers.add("Content-Type", "text/plain; version=0.0.4");
        Exchange->answer(Answer);
      });
  if (const error *Error = errorOf(Made))
    return *Error;
  MetricsListener = moveValue(std::move(Made));
  return std::nullopt;
}

void gateway_node::impl::setGauges() {
  const auto View = Knowledge->view();
  const double Age =
      std::chrono::duration<double>(bootNow() - Knowledge->mirror().asOf())
          .count();
  Metrics.setGauge("agatedale_configuration_version", {},
                   View ? static_cast<double>(View->Version) : 0);
  Metrics.setGauge("agatedale_store_age_seconds", {}, Age);
  Metrics.setGauge("agatedale_requests_in_progress", {}, Router->inProgress());
  Metrics.setGauge("agatedale_requests_dispatched", {},
                   static_cast<double>(Host->inProgress()));
  Metrics.setGauge("agatedale_server_connections_made", {},
                   static_cast<double>(Host->connectionsMade()));
  Metrics.setGauge("agatedale_ready", {}, isReady() ? 1 : 0);
}

void gateway_node::impl::endPeers() {
  Ending = true;
  // A call of a peer ends only when the loop has answered it, and gRPC's server
  // waits for every call; so the loop goes on until the server is down.
  std::thread Closer([this] {
    Hub->stop(PeerShutdownGrace);
    Loop->post([this] {
      Hub->cancelAll();
      stopWhenIdle();
    });
  });
  Loop->run();
  Closer.join();
  Hub.reset();
}

void gateway_node::impl::stopWhenIdle() {
  if (Hub->isIdle())
    Loop->stop();
  else
    Loop->after(TickInterval, [this] { stopWhenIdle(); });
}

void gateway_node::impl::run() { Loop->run(); }

void gateway_node::impl::everyTick() {
  Knowledge->tick();
  Host->tick();
  const bool IsIdle = Host->inProgress() == 0 && Router->inProgress() == 0;
  Loop->after(IsIdle ? IdleTickInterval : TickInterval,
              [this] { everyTick(); });
}

void gateway_node::impl::everyHeartbeat() {
  beat();
  Loop->after(HeartbeatInterval, [this] { everyHeartbeat(); });
}

void gateway_node::impl::beatSoon() {
  if (BeatIsDue)
    return;
  BeatIsDue = true;
  Loop->after(std::max(duration::zero(), LastBeat + BeatGap - bootNow()),
              [this] { beat(); });
}

void gateway_node::impl::beat() {
  if (Ending)
    return;
  BeatIsDue = false;
  LastBeat = bootNow();
  for (const entry_vm &Peer : Vms.heartbeatPeers(bootNow())) {
    Hub->heartbeat(Peer, makeHeartbeat(Peer.Id.Name), HeartbeatTimeout,
                   [this, Peer](const wire_gateway::Heartbeat *Reply) {
                     if (Reply)
                       takeHeartbeat(*Reply);
                     else if (Peer.Zone != Settings.Zone)
                       Vms.failed(Peer.Id.Name, bootNow());
                   });
  }
}

wire_gateway::Heartbeat
gateway_node::impl::makeHeartbeat(const std::string &Peer) {
  wire_gateway::Heartbeat Message;
  Message.set_vm(Settings.Vm);
  Message.set_incarnation(Vms.self().Id.Incarnation);
  Message.set_ready(isReady());
  Message.set_leaving(Stopping);
  Message.set_reads_fail(Knowledge->readsFail());
  const store_mirror &Mirror = Knowledge->mirror();
  for (const store_table Table : AllStoreTables)
    Message.add_positions(Mirror.position(Table));
  const time_point Now = bootNow();
  const auto Listed = Vms.find(Peer);
  if (Listed && Listed->Zone == Settings.Zone)
    addZoneMates(Message, Now);
  addNews(Message, Peer, Now);
  return Message;
}

void gateway_node::impl::addNews(wire_gateway::Heartbeat &Message,
                                 const std::string &Peer, time_point Now) {
  const store_mirror &Mirror = Knowledge->mirror();
  const auto Known = PeerPositions.find(Peer);
  if (Known == PeerPositions.end() || !Mirror.isComplete())
    return;
  std::vector<table_news> News;
  News.reserve(AllStoreTables.size());
  for (const store_table Table : AllStoreTables)
    News.push_back(Mirror.newsSince(
        Table, Known->second[static_cast<std::size_t>(Table)]));
  const bool IsCopy =
      std::any_of(News.begin(), News.end(),
                  [](const table_news &Item) { return Item.Whole; });
  if (IsCopy && !Copies.mayGive(Peer, Now))
    return;
  for (const table_news &Item : News)
    *Message.add_news() = toMessage(Item, Now);
}

void gateway_node::impl::addZoneMates(wire_gateway::Heartbeat &Message,
                                      time_point Now) const {
  for (const zone_mate &Mate : Vms.zoneMates(Now)) {
    wire_gateway::ZoneMate &Out = *Message.add_mates();
    Out.set_name_hash(Mate.NameHash);
    Out.set_age_ms(static_cast<std::uint32_t>(toMillis(Now - Mate.HeardAt)));
    Out.set_ready(Mate.Ready);
    Out.set_leaving(Mate.Leaving);
  }
}

void gateway_node::impl::takeHeartbeat(const wire_gateway::Heartbeat &Message) {
  const time_point Now = bootNow();
  Vms.heard(Message.vm(), Message.ready(), Message.leaving(), Now);
  Vms.setReadsFail(Message.vm(), Message.reads_fail());
  if (Message.positions_size() == static_cast<int>(AllStoreTables.size()))
    PeerPositions[Message.vm()] = {Message.positions().begin(),
                                   Message.positions().end()};
  for (const wire_gateway::ZoneMate &Mate : Message.mates())
    Vms.told({Mate.name_hash(), Now - std::chrono::milliseconds(Mate.age_ms()),
              Mate.ready(), Mate.leaving()});
  for (const wire_gateway::TableNews &Item : Message.news()) {
    const result<table_news> News = fromMessage(Item, Now);
    if (const error *Error = errorOf(News))
      logLine(log_level::Error, "peer-message-refused",
              {{"why", Error->Message}, {"vm", Message.vm()}});
    else
      Knowledge->takeNews(valueOf(News));
  }
}

wire_gateway::Heartbeat
gateway_node::impl::onHeartbeat(const wire_gateway::Heartbeat &Message) {
  takeHeartbeat(Message);
  return makeHeartbeat(Message.vm());
}

void gateway_node::impl::onVms() {
  const std::vector<entry_vm> Listed = Knowledge->listedVms();
  Vms.setListed(Listed, bootNow());
  Hub->keepOnly(Vms.others());
  connectToOwners();
  const bool IsListed =
      std::any_of(Listed.begin(), Listed.end(), [this](const entry_vm &Vm) {
        return Vm.Id == Vms.self().Id;
      });
  if (!IsListed && Registered && !Stopping)
    registerSelf();
  beatSoon();
}

void gateway_node::impl::onView() {
  const auto View = Knowledge->view();
  Router->setView(View);
  Host->setView(View);
  Callers->setLimits(View->World->callers());
  updateReady();
}

void gateway_node::impl::registerSelf() {
  if (Registering || Stopping)
    return;
  Registering = true;
  Worker->write(store_table::Vms, Settings.Vm, platform::encodeVm(Vms.self()),
                [this](const result<success> &Done) {
                  Registering = false;
                  Registered = true;
                  const error *Error = errorOf(Done);
                  if (!Error)
                    return;
                  logLine(log_level::Warning, "store-write-failed",
                          {{"row", Settings.Vm}, {"why", Error->Message}});
                  Loop->after(RegisterPause, [this] { registerSelf(); });
                });
}

void gateway_node::impl::connectToOwners() {
  const auto View = Knowledge->view();
  if (!View)
    return;
  const time_point Now = bootNow();
  for (const server_group_spec &Spec : View->World->groups()) {
    const auto Owner = Vms.ownerOf(toText(Spec.Id), Spec.Id.Zone,
                                   View->World->regionOf(Spec.Id.Zone), Now);
    if (Owner && Owner->Id.Name != Settings.Vm)
      Hub->isConnected(*Owner);
  }
}

void gateway_node::impl::everyClean() {
  Loop->after(CleanInterval, [this] { everyClean(); });
  connectToOwners();
  const time_point Now = bootNow();
  const auto Cleaner =
      Vms.ownerOf("#cleaner", Settings.Zone, Settings.Region, Now);
  if (!Cleaner || Cleaner->Id.Name != Settings.Vm)
    return;
  for (const std::string &Silent : Vms.removable(Now)) {
    Worker->remove(
        store_table::Vms, Silent, Knowledge->vmRowVersion(Silent),
        [Silent](const result<success> &Done) {
          const error *Error = errorOf(Done);
          logLine(log_level::Info, "vm-removed",
                  {{"vm", Silent}, {"why", Error ? Error->Message : "silent"}});
        });
  }
}

bool gateway_node::impl::isReady() const {
  return !Stopping && Knowledge->view() && Knowledge->mirror().isComplete();
}

void gateway_node::impl::updateReady() { Vms.setSelf(isReady(), Stopping); }

void gateway_node::impl::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  logLine(
      log_level::Info, "stopping",
      {{"requests", Router->inProgress()}, {"dispatched", Host->inProgress()}});
  updateReady();
  Callers->endConnections();
  beat();
  Worker->remove(store_table::Vms, Settings.Vm,
                 Knowledge->vmRowVersion(Settings.Vm),
                 [this](const result<success> &Done) {
                   if (const error *Error = errorOf(Done))
                     logLine(log_level::Warning, "store-write-failed",
                             {{"row", Settings.Vm}, {"why", Error->Message}});
                 });
  checkStopped(bootNow());
}

void gateway_node::impl::checkStopped(time_point Since) {
  const duration Waited = bootNow() - Since;
  const duration Longest = Settings.StopGrace - StopMargin;
  const bool NoticeOver = Waited >= std::min<duration>(StopNotice, Longest / 2);
  if (NoticeOver)
    Callers->closeIdle();
  const bool Idle = Router->inProgress() == 0 && Host->inProgress() == 0 &&
                    Callers->connections() == 0;
  if ((NoticeOver && Idle) || Waited >= Longest) {
    logLine(log_level::Info, "stopped",
            {{"requests", Router->inProgress()},
             {"dispatched", Host->inProgress()},
             {"after_ms", toMillis(Waited)}});
    Loop->stop();
    return;
  }
  Loop->after(TickInterval, [this, Since] { checkStopped(Since); });
}

gateway_node::gateway_node(std::unique_ptr<impl> Impl)
    : Impl(std::move(Impl)) {}
gateway_node::~gateway_node() = default;

result<std::unique_ptr<gateway_node>>
gateway_node::start(const gateway_settings &Settings) {
  auto Impl = std::make_unique<impl>(Settings);
  if (const std::optional<error> Error = Impl->start())
    return *Error;
  return std::unique_ptr<gateway_node>(new gateway_node(std::move(Impl)));
}

void gateway_node::run() { Impl->run(); }

void gateway_node::requestStop() {
  Impl->Loop->post([this] { Impl->beginStop(); });
}

} // namespace agatedale
