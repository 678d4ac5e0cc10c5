/// \file
/// Startup, heartbeats, membership, readiness and shutdown of a gateway.
#include "agatedale/gateway_node.h"

#include "../core/log.h"
#include "agatedale/metrics.h"
#include "agatedale/region_inquiry.h"
#include "agatedale/registration_pacer.h"
#include "agatedale/stop_sequence.h"
#include "concurrency_exchange.h"
#include "fleet_state.h"
#include "group_host.h"
#include "listener.h"
#include "peer_transport.h"
#include "platform/decode.h"
#include "quota_service.h"
#include "registration_wire.h"
#include "request_router.h"
#include "rollout_host.h"
#include "store_relay.h"
#include "store_worker.h"
#include "wire_convert.h"
#include "zone_digest_wire.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <utility>

namespace agatedale {

namespace {

/// Interval at which groups process their queues and the age of the replicated
/// store data is checked.
constexpr duration TickInterval = std::chrono::milliseconds(20);

/// Tick interval while no request is in progress. The bound on the age of store
/// data allows for it.
constexpr duration IdleTickInterval = std::chrono::milliseconds(50);

/// Heartbeat interval inside the region. A VM that misses two heartbeats is
/// considered failed.
constexpr duration HeartbeatInterval = std::chrono::milliseconds(250);
constexpr duration HeartbeatTimeout = std::chrono::milliseconds(500);

/// Heartbeat interval of a VM that waits for its hubs' snapshot.
constexpr duration StartHeartbeatInterval = std::chrono::milliseconds(100);

/// Minimum time between heartbeats that are sent early because of table
/// updates. Limits their number when many rows change one after the other, as
/// when a fleet starts.
constexpr duration MinHeartbeatGap = std::chrono::milliseconds(50);

/// At the first start of the system the list of VMs is read this long after the
/// last VM has written its row.
constexpr duration BootstrapReadDelay = std::chrono::milliseconds(200);

/// Interval at which VMs that have stopped sending heartbeats are removed.
constexpr duration CleanupInterval = std::chrono::seconds(1);

/// Time that replies to peers get to leave during shutdown.
constexpr duration PeerShutdownGrace = std::chrono::milliseconds(200);
constexpr duration PeerShutdownPoll = std::chrono::milliseconds(5);

/// Event loop delays from this on are logged.
constexpr duration LoggedLoopDelay = std::chrono::milliseconds(250);

constexpr double BytesPerMegabit = 1e6 / 8;

/// The messages between VMs that are counted, by the value of their label.
constexpr std::array<std::pair<peer_message_kind, std::string_view>, 4>
    PeerMessageNames{{{peer_message_kind::Heartbeat, "heartbeat"},
                      {peer_message_kind::HeartbeatReply, "heartbeat-reply"},
                      {peer_message_kind::Forward, "request"},
                      {peer_message_kind::ForwardReply, "response"}}};

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

std::uint64_t newIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Returns how many of the descriptors callers' connections may take. The rest
/// is for files, peers, servers, the store and readiness.
std::size_t maxCallers(std::size_t Descriptors) {
  constexpr std::size_t ForFiles = 200;
  const std::size_t Others = Descriptors / 4 + ForFiles;
  return std::max(Descriptors / 8, Descriptors - std::min(Others, Descriptors));
}

/// Returns a number that identifies a process among all VMs.
std::uint64_t originOf(const vm_id &Vm) {
  return stableHash(fmt::format("{}/{}", Vm.Name, Vm.Incarnation));
}

/// Returns true if the sender of \p Message has all tables.
bool hasTables(const wire_gateway::Heartbeat &Message) {
  return Message.positions_size() == static_cast<int>(AllStoreTables.size()) &&
         std::all_of(Message.positions().begin(), Message.positions().end(),
                     [](std::uint64_t Position) { return Position > 0; });
}

entry_vm makeSelf(const gateway_settings &Settings) {
  entry_vm Self;
  Self.Id = {Settings.Vm, newIncarnation()};
  Self.Ip = Settings.Ip;
  Self.Zone = Settings.Zone;
  Self.Region = Settings.Region;
  Self.Capacity = Settings.Capacity;
  Self.LinkMegabits = Settings.LinkBytesPerSecond / BytesPerMegabit;
  return Self;
}

} // namespace

class gateway_node::impl {
public:
  explicit impl(const gateway_settings &Settings)
      : Settings(Settings), Vms(vm_directory::create(makeSelf(Settings), {})),
        LearnedLimits(concurrency_limits::create(originOf(Vms.self().Id))),
        Registrations(registration_exchange::create(Vms.self().Id.Incarnation)),
        ZoneDigests(zone_digest_sender::create(Vms.self().Id.Incarnation)),
        Relay(store_relay::create(Settings.LinkBytesPerSecond)),
        Inquiry(region_inquiry::create(Vms.self(), bootNow())),
        RegistrationPacer(
            registration_pacer::create(Settings.StoreWritesPerSecond)),
        Random(Vms.self().Id.Incarnation ^ stableHash(Settings.Vm)),
        Budget(std::make_shared<byte_budget>(Settings.HeldBytes)) {}

  /// Stops everything that posts to the event loop before the loop is
  /// destroyed.
  ~impl() {
    if (Transport)
      stopPeers();
    Worker.reset();
    Budget->setRelief(nullptr); // The listener is destroyed before others.
    if (EndDecidedAt)
      logEnded();
  }

  std::optional<error> start();
  void run();
  void beginStop();

  std::unique_ptr<event_loop> Loop;

private:
  void stopPeers();
  void logStopped();
  void logEnded() const;
  void stopLoopWhenRepliesSent(time_point Until);
  void runTick();
  void runHeartbeatTimer();
  void runCleanupTimer();
  void sendHeartbeats();
  void scheduleHeartbeats();
  void askOtherRegions();
  /// \p Request is set if the heartbeat replies to it.
  wire_gateway::Heartbeat
  makeHeartbeat(const std::string &Peer,
                const wire_gateway::Heartbeat *Request = nullptr);
  void addZonePeerStates(const std::string &Peer,
                         const wire_gateway::Heartbeat *Request,
                         wire_gateway::Heartbeat &Message, time_point Now);
  void connectToOwners();
  wire_gateway::Heartbeat onHeartbeat(const wire_gateway::Heartbeat &Message);
  void applyHeartbeat(const wire_gateway::Heartbeat &Message,
                      std::optional<time_point> RequestedAt = std::nullopt);
  void onVmListChanged();
  void onSnapshotChanged();
  void onServersLeaving(std::span<const leaving_server> Servers,
                        std::string_view Source);
  /// Returns the key of the row of a VM of the own zone.
  std::string rowKey(std::string_view Vm) const {
    return platform::vmKey(Settings.Zone, Vm);
  }
  double drawShare();
  void beginRegistration();
  void scheduleRegistration(duration Delay);
  void registerSelf();
  void removeSelf();
  void updateReady();
  bool isReady() const;
  bool servesCallers() const;
  void checkStop();
  stop_work remainingWork() const;
  void enter(stop_phase Phase);
  void answerAll();
  void endLoop();
  void setConfigurationAge();
  refusal_reason reasonNotToRun(const forward_request &Request) const;
  void logProof();
  std::optional<error> openMetrics();
  void setGauges();
  void setClientGauges();
  void setMalformedGauges();
  void setTrafficGauges();
  void onLateTurn(duration Delay);
  void onRequestSent(const forward_request &Request, const std::string &Server);

  gateway_settings Settings;
  metrics Metrics;
  vm_directory Vms;
  leaving_servers Leaving;
  concurrency_limits LearnedLimits;
  std::unique_ptr<group_host> Host;
  std::unique_ptr<quota_service> Quotas;
  std::optional<std::uint64_t> QuotaVersion; ///< Of the limits that it has.
  std::unique_ptr<request_router> Router;
  std::unique_ptr<store_worker> Worker;
  std::unique_ptr<fleet_state> FleetState;
  std::unique_ptr<rollout_host> Rollouts;
  std::unique_ptr<peer_transport> Transport;
  std::unique_ptr<listener> CallerListener;
  std::unique_ptr<listener> ReadinessListener;
  std::unique_ptr<listener> MetricsListener;
  registration_exchange Registrations;
  zone_digest_sender ZoneDigests;
  zone_digest_receiver ZoneDigestReceiver;
  store_relay Relay;
  region_inquiry Inquiry;
  time_point LastHeartbeatsAt{};
  bool HeartbeatsScheduled = false;
  registration_pacer RegistrationPacer;
  bool IsRegistering = false; ///< A write is scheduled or in progress.
  bool IsRowBeingWritten = false;
  /// Version of the store in which this process has written its row.
  std::optional<store_version> RegisteredAt;
  /// Version of the own row that was last asked to be removed.
  std::optional<store_version> RemovedVersion;
  /// VMs of which the two rows could not be removed together: one of an earlier
  /// version has one row only.
  std::set<std::string> HasNoSecondRow;
  std::mt19937_64 Random;
  bool MayAdmitKeys = true;            ///< As last logged.
  std::shared_ptr<byte_budget> Budget; ///< Of everything held for others.
  bool Stopping = false;
  std::optional<stop_sequence> Stop; ///< Set while stopping.
  bool RowRemains = false; ///< The removal of the own row is not completed.
  /// When a stop decided to end, and the requests counted until then.
  std::optional<time_point> EndDecidedAt;
  caller_connection::request_counts CountsAtEnd;
  /// While set, calls from peers are answered but no call is made.
  bool PeersStopping = false;
};

std::optional<error> gateway_node::impl::start() {
  result<std::unique_ptr<event_loop>> LoopResult = event_loop::create();
  if (const error *Error = errorOf(LoopResult))
    return *Error;
  Loop = moveValue(std::move(LoopResult));
  Loop->setLateHandler([this](duration Delay) { onLateTurn(Delay); });
  Host = std::make_unique<group_host>(*Loop, Settings, LearnedLimits, Budget);
  Host->setLeavingHandler([this](const leaving_server &Server) {
    onServersLeaving(std::span(&Server, 1), "answer");
  });
  Host->setSendHandler([this](const auto &Request, const auto &Server) {
    onRequestSent(Request, Server);
  });
  Host->setFollowCheck([this](const group_id &Id) {
    return Vms.followsOwner(toText(Id), Id.Zone, bootNow());
  });
  Quotas = std::make_unique<quota_service>(*Loop, Settings, Vms, Metrics);
  Router = std::make_unique<request_router>(*Loop, Settings, Vms, *Host,
                                            Leaving, Metrics);
  Router->setQuotas(*Quotas);
  Router->setLeavingHandler([this](std::span<const leaving_server> Servers) {
    onServersLeaving(Servers, "peer");
  });
  auto WorkerResult = store_worker::start(*Loop, Settings.StoreAddress);
  if (const error *Error = errorOf(WorkerResult))
    return *Error;
  Worker = moveValue(std::move(WorkerResult));
  Rollouts =
      std::make_unique<rollout_host>(*Loop, Settings, Vms, *Worker, *Host,
                                     Metrics, [this] { scheduleHeartbeats(); });
  Router->setRollouts(*Rollouts);
  FleetState = std::make_unique<fleet_state>(
      Settings, Vms, *Worker, Leaving,
      fleet_state::handlers{[this] { onSnapshotChanged(); },
                            [this] { onVmListChanged(); },
                            [this] { scheduleHeartbeats(); }});
  setConfigurationAge();
  peer_transport::handlers Handlers;
  Handlers.OnHeartbeat = [this](const auto &Message) {
    return onHeartbeat(Message);
  };
  Handlers.OnForward = [this](const auto &Message, const auto &Arrival,
                              auto Done) {
    return Router->serveForPeer(Message, Arrival, std::move(Done));
  };
  Handlers.OnCancel = [this](forward_ticket Ticket) {
    Router->cancelForPeer(Ticket);
  };
  Handlers.OnQuotaRequest = [this](const auto &Message, auto Done) {
    Quotas->onRequest(Message, std::move(Done));
  };
  auto TransportResult =
      peer_transport::start(*Loop, Settings.Ip, Settings.PeerPort, Handlers);
  if (const error *Error = errorOf(TransportResult))
    return *Error;
  Transport = moveValue(std::move(TransportResult));
  Transport->setSelf(Vms.self());
  Router->setPeers(*Transport);
  Quotas->setPeers(*Transport);
  Rollouts->setPeers(*Transport);
  auto CallersResult =
      listener::open(*Loop, Settings.CallerAddress,
                     [this](auto Exchange) { Router->serve(Exchange); });
  if (const error *Error = errorOf(CallersResult))
    return *Error;
  CallerListener = moveValue(std::move(CallersResult));
  auto ReadinessResult =
      listener::open(*Loop, Settings.ReadinessAddress, [this](auto Exchange) {
        Exchange->respond(
            {servesCallers() ? StatusOk : StatusUnavailable, {}, ""});
      });
  if (const error *Error = errorOf(ReadinessResult))
    return *Error;
  ReadinessListener = moveValue(std::move(ReadinessResult));
  CallerListener->setBudget(Budget);
  CallerListener->setMaxConnections(maxCallers(Settings.MaxDescriptors));
  CallerListener->setAccountFinder([this](const request_decoder &Received) {
    return Router->accountOf(Received);
  });
  Router->setBudget(Budget);
  Transport->setBudget(Budget);
  Budget->setRelief([this] { return CallerListener->closeSlowest(); });
  if (const std::optional<error> Error = openMetrics())
    return *Error;
  beginRegistration();
  runTick();
  runHeartbeatTimer();
  runCleanupTimer();
  logLine(log_level::Info, "started",
          {{"vm", Settings.Vm},
           {"zone", Settings.Zone},
           {"incarnation", Vms.self().Id.Incarnation}});
  return std::nullopt;
}

void gateway_node::impl::setConfigurationAge() {
  request_router::configuration_age Age;
  Age.IsProofNeeded = FleetState->proof().isStrict();
  Age.AsOf = [this] { return FleetState->currentAsOf(); };
  Age.IsSuperseded = [this] {
    return FleetState->superseded().refused().has_value();
  };
  Age.MayServe = [this] {
    return FleetState->superseded().mayServe(bootNow());
  };
  Age.ProvenAsOf = [this] { return FleetState->provenAsOf(); };
  Age.MayAdmitKeys = [this] { return FleetState->mayAdmitKeys(); };
  Age.ReasonNotToRun = [this](const forward_request &Request) {
    return reasonNotToRun(Request);
  };
  Host->setRunCheck(Age.ReasonNotToRun);
  Router->setConfigurationAge(std::move(Age));
}

refusal_reason
gateway_node::impl::reasonNotToRun(const forward_request &Request) const {
  const auto View = FleetState->view();
  if (!View || Request.Account.empty())
    return refusal_reason::None;
  return FleetState->proof().reasonNotToRun(
      {Request.Account, Request.KeyCheck, Request.ConfigurationVersion,
       Request.ConfigurationAsOf},
      {View->Config->directory(), View->Version, FleetState->provenAsOf()},
      bootNow());
}

std::optional<error> gateway_node::impl::openMetrics() {
  if (Settings.MetricsAddress.empty())
    return std::nullopt;
  auto ListenerResult =
      listener::open(*Loop, Settings.MetricsAddress, [this](auto Exchange) {
        setGauges();
        http_response_message Response{StatusOk, {}, Metrics.exportText()};
        Response.Headers.add("Content-Type", "text/plain; version=0.0.4");
        Exchange->respond(Response);
      });
  if (const error *Error = errorOf(ListenerResult))
    return *Error;
  MetricsListener = moveValue(std::move(ListenerResult));
  return std::nullopt;
}

void gateway_node::impl::setGauges() {
  const auto Snapshot = FleetState->view();
  const double Age =
      std::chrono::duration<double>(bootNow() - FleetState->mirror().asOf())
          .count();
  Metrics.setGauge("agatedale_configuration_version", {},
                   Snapshot ? static_cast<double>(Snapshot->Version) : 0);
  const superseded_configuration &Superseded = FleetState->superseded();
  const auto &Refused = Superseded.refused();
  Metrics.setGauge(
      "agatedale_configuration_superseded_seconds", {},
      std::chrono::duration<double>(Superseded.age(bootNow())).count());
  Metrics.setGauge("agatedale_configuration_refused_version", {},
                   Refused ? static_cast<double>(Refused->Number.value_or(0))
                           : 0);
  Metrics.setGauge("agatedale_configuration_faults", {},
                   static_cast<double>(FleetState->configurationFaults()));
  Metrics.setGauge("agatedale_store_age_seconds", {}, Age);
  Metrics.setGauge("agatedale_requests_in_progress", {}, Router->inProgress());
  Metrics.setGauge("agatedale_requests_dispatched", {},
                   static_cast<double>(Host->inProgress()));
  Metrics.setGauge("agatedale_server_connections_made", {},
                   static_cast<double>(Host->connectionsOpened()));
  Metrics.setGauge("agatedale_server_holds_made", {},
                   static_cast<double>(Host->holdsMade()));
  Metrics.setGauge("agatedale_older_registrations_seen", {},
                   static_cast<double>(FleetState->olderRegistrations()));
  Metrics.setGauge("agatedale_requests_not_served", {},
                   static_cast<double>(CallerListener->counts().Departed));
  const group_counters Groups = Host->counters();
  for (const auto &[Result, Count] :
       {std::pair("sent", Groups.Hedges), std::pair("won", Groups.HedgesWon),
        std::pair("no-budget", Groups.HedgesRefused)})
    Metrics.setGauge("agatedale_hedges_made", formatLabel("result", Result),
                     static_cast<double>(Count));
  setTrafficGauges();
  setClientGauges();
  setMalformedGauges();
  for (const concurrency_limits::learned &Learned : LearnedLimits.all())
    Metrics.setGauge(
        "agatedale_learned_limit",
        formatLabel("service", Learned.Key.Service) + "," +
            formatLabel("version", Learned.Key.Version) + "," +
            formatLabel("slots", std::to_string(Learned.Key.Slots)),
        Learned.Limit);
  Metrics.setGauge(
      "agatedale_configuration_proof_age_seconds", {},
      std::chrono::duration<double>(
          bootNow() - FleetState->mirror().provenAsOf(store_table::Operators))
          .count());
  Metrics.setGauge("agatedale_ready", {}, servesCallers() ? 1 : 0);
}

void gateway_node::impl::setTrafficGauges() {
  for (const auto &[Kind, Name] : PeerMessageNames) {
    for (const peer_distance Distance : AllPeerDistances) {
      const peer_traffic::sum &Sum =
          Transport->traffic().of(static_cast<std::size_t>(Kind), Distance);
      const metric_labels Labels =
          fmt::format("{},{}", formatLabel("kind", Name),
                      formatLabel("to", distanceName(Distance)));
      Metrics.setGauge("agatedale_peer_messages", Labels,
                       static_cast<double>(Sum.Messages));
      Metrics.setGauge("agatedale_peer_bytes", Labels,
                       static_cast<double>(Sum.Bytes));
    }
  }
}

void gateway_node::impl::setClientGauges() {
  constexpr std::array<std::pair<held_kind, std::string_view>, HeldKinds> Kinds{
      {{held_kind::RequestHead, "request_head"},
       {held_kind::RequestBody, "request_body"},
       {held_kind::ServerResponse, "server_response"},
       {held_kind::PeerMessage, "peer_message"},
       {held_kind::CallerOutput, "caller_output"}}};
  for (const auto &[Kind, Name] : Kinds)
    Metrics.setGauge("agatedale_held_bytes", formatLabel("kind", Name),
                     static_cast<double>(Budget->reservedBytes(Kind)));
  Metrics.setGauge("agatedale_held_bytes_limit", {},
                   static_cast<double>(Budget->limitBytes()));
  Metrics.setGauge("agatedale_caller_connections", {},
                   static_cast<double>(CallerListener->connections()));
  const caller_connection::request_counts &Counts = CallerListener->counts();
  const auto SetClosed = [this](std::string_view Why, std::uint64_t Count) {
    Metrics.setGauge("agatedale_callers_closed", formatLabel("why", Why),
                     static_cast<double>(Count));
  };
  SetClosed("idle", Counts.Idle);
  SetClosed("no_descriptor", Counts.RefusedConnections);
  SetClosed("slow", Counts.Slow);
  SetClosed("stalled", Counts.Stalled);
  SetClosed("refused_for_memory", Counts.RefusedForMemory);
  SetClosed("over_share", Counts.OverShare);
  SetClosed("account_connections", Counts.ClosedForAccounts);
}

void gateway_node::impl::setMalformedGauges() {
  const auto Set = [this](std::string_view From, std::string_view Reason,
                          std::uint64_t Count) {
    Metrics.setGauge("agatedale_malformed_messages",
                     fmt::format("{},{}", formatLabel("from", From),
                                 formatLabel("reason", Reason)),
                     static_cast<double>(Count));
  };
  const fault_counts &Requests = CallerListener->counts().Malformed;
  const fault_counts &Responses = Host->malformedResponses();
  for (std::size_t I = 1; I < FramingFaults; ++I) {
    const std::string_view Reason = faultName(static_cast<framing_fault>(I));
    Set("caller", Reason, Requests.at(I));
    Set("server", Reason, Responses.at(I));
  }
  Set("peer", "message", Transport->refusedMessages());
}

void gateway_node::impl::onLateTurn(duration Delay) {
  Metrics.record("agatedale_event_loop_delay_seconds", {}, Delay);
  if (Delay >= LoggedLoopDelay)
    logLine(log_level::Warning, "event-loop-late",
            {{"delay_ms", toMillis(Delay)},
             {"requests", Router->inProgress()},
             {"connections", CallerListener->connections()}});
}

void gateway_node::impl::onRequestSent(const forward_request &Request,
                                       const std::string &Server) {
  const time_point Now = bootNow();
  const duration Age = Now - Request.ArrivedAt;
  Metrics.record("agatedale_request_age_at_send_seconds", {}, Age);
  if (!Loop->turnClock().isLate(Now))
    return;
  logLine(log_level::Info, "request-sent-late",
          {{"request", Request.Id},
           {"server", Server},
           {"age_ms", toMillis(Age)},
           {"left_ms", toMillis(Request.Deadline - Now)},
           {"loop_delay_ms", toMillis(Loop->turnClock().longestWait(Now))}});
}

void gateway_node::impl::stopPeers() {
  PeersStopping = true;
  Transport->stop();
  Loop->post([this, Until = bootNow() + PeerShutdownGrace] {
    stopLoopWhenRepliesSent(Until);
  });
  Loop->run();
  Transport.reset();
}

void gateway_node::impl::stopLoopWhenRepliesSent(time_point Until) {
  // Requests that have arrived are refused as not run.
  Transport->readAll();
  if (bootNow() >= Until || Transport->hasDeliveredAllReplies())
    Loop->stop();
  else
    Loop->after(PeerShutdownPoll,
                [this, Until] { stopLoopWhenRepliesSent(Until); });
}

void gateway_node::impl::run() { Loop->run(); }

void gateway_node::impl::runTick() {
  FleetState->tick();
  Rollouts->tick();
  logProof();
  Host->tick();
  const bool IsIdle = Host->inProgress() == 0 && Router->inProgress() == 0;
  Loop->after(IsIdle ? IdleTickInterval : TickInterval, [this] { runTick(); });
}

/// Logs when requests with keys are refused from now on, and served again.
void gateway_node::impl::logProof() {
  const bool MayAdmit = FleetState->mayAdmitKeys();
  if (std::exchange(MayAdmitKeys, MayAdmit) == MayAdmit)
    return;
  const store_mirror &Mirror = FleetState->mirror();
  const time_point Now = bootNow();
  logLine(
      MayAdmit ? log_level::Info : log_level::Warning,
      MayAdmit ? "configuration-proven" : "configuration-unproven",
      {{"proof_age_ms",
        toMillis(Now - Mirror.provenAsOf(store_table::Operators))},
       {"replica_age_ms", toMillis(Now - Mirror.asOf(store_table::Operators))},
       {"version", FleetState->view() ? FleetState->view()->Version : 0},
       {"requests", Router->inProgress()}});
}

void gateway_node::impl::runHeartbeatTimer() {
  updateReady();
  Quotas->updateLiveness();
  sendHeartbeats();
  askOtherRegions();
  Loop->after(FleetState->mirror().isComplete() ? HeartbeatInterval
                                                : StartHeartbeatInterval,
              [this] { runHeartbeatTimer(); });
}

void gateway_node::impl::scheduleHeartbeats() {
  if (HeartbeatsScheduled)
    return;
  HeartbeatsScheduled = true;
  Loop->after(std::max(duration::zero(),
                       LastHeartbeatsAt + MinHeartbeatGap - bootNow()),
              [this] { sendHeartbeats(); });
}

void gateway_node::impl::sendHeartbeats() {
  if (PeersStopping)
    return;
  HeartbeatsScheduled = false;
  LastHeartbeatsAt = bootNow();
  for (const entry_vm &Peer : Vms.heartbeatPeers(bootNow())) {
    const time_point SentAt = bootNow();
    Transport->heartbeat(
        Peer, makeHeartbeat(Peer.Id.Name), HeartbeatTimeout,
        [this, Peer, SentAt](const wire_gateway::Heartbeat *Reply) {
          if (Reply)
            applyHeartbeat(*Reply, SentAt);
          else if (Peer.Zone != Settings.Zone)
            Vms.recordForwardFailure(Peer.Id.Name, bootNow());
        });
  }
}

/// Asks VMs of other regions what the rows of the servers do not show. At the
/// first start of the system nobody knows more.
void gateway_node::impl::askOtherRegions() {
  if (PeersStopping || Settings.IsBootstrap || Inquiry.isOver(bootNow()) ||
      !FleetState->mirror().isComplete())
    return;
  for (const entry_vm &Peer : Inquiry.next(Vms.otherVms(), bootNow())) {
    const time_point SentAt = bootNow();
    Transport->heartbeat(
        Peer, makeHeartbeat(Peer.Id.Name), HeartbeatTimeout,
        [this, Peer, SentAt](const wire_gateway::Heartbeat *Reply) {
          if (!Reply)
            return;
          Inquiry.onReply(Peer);
          applyHeartbeat(*Reply, SentAt);
        });
  }
}

wire_gateway::Heartbeat
gateway_node::impl::makeHeartbeat(const std::string &Peer,
                                  const wire_gateway::Heartbeat *Request) {
  wire_gateway::Heartbeat Message;
  Message.set_vm(Settings.Vm);
  Message.set_incarnation(Vms.self().Id.Incarnation);
  Message.set_ready(isReady());
  Message.set_leaving(Stopping);
  Message.set_reads_fail(FleetState->readsFail());
  if (const auto Snapshot = FleetState->view())
    Message.set_configuration(Snapshot->Version);
  const time_point Now = bootNow();
  const auto Listed = Vms.find(Peer);
  if (Listed && Listed->Zone == Settings.Zone)
    addZonePeerStates(Peer, Request, Message, Now);
  Registrations.update(FleetState->registrationsToShare());
  addRegistrationChanges(Peer, Registrations, Message);
  if (Listed && Settings.LearnsConcurrency)
    addEvidence(LearnedLimits.toShare(Peer, Listed->Id.Incarnation,
                                      Listed->Region != Settings.Region, Now),
                Now, Message);
  Rollouts->addStages(Message);
  Relay.addUpdates(Message, Peer, FleetState->mirror(), Now);
  return Message;
}

/// Tells a peer of the VMs of the zone. A VM that sends a heartbeat tells the
/// receiver what it does not know to be alive, as it has said with its last
/// reply; a reply tells what has changed since the last one that arrived.
void gateway_node::impl::addZonePeerStates(
    const std::string &Peer, const wire_gateway::Heartbeat *Request,
    wire_gateway::Heartbeat &Message, time_point Now) {
  const std::vector<zone_member> Members = Vms.zoneMembers(Now);
  if (!Request) {
    addZoneMembers(ZoneDigestReceiver.unknownTo(Peer, Members), Now, Message);
    addKnownRevision(ZoneDigestReceiver.known(Peer), Message);
    return;
  }
  const std::optional<zone_revision> Known = knownRevision(*Request);
  if (!Known) {
    addZoneMembers(Members, Now, Message);
    return;
  }
  ZoneDigests.update(Members, Now);
  addDigest(ZoneDigests.digestFor(*Known, Now), Now, Message);
}

/// Applies what a peer tells. \p RequestedAt is set if it is a reply.
void gateway_node::impl::applyHeartbeat(const wire_gateway::Heartbeat &Message,
                                        std::optional<time_point> RequestedAt) {
  const time_point Now = bootNow();
  Vms.recordHeartbeat(Message.vm(), Message.ready(), Message.leaving(), Now);
  Vms.setReadsFail(Message.vm(), Message.reads_fail());
  Vms.setHasTables(Message.vm(), hasTables(Message));
  const auto Sender = Vms.find(Message.vm());
  if (Sender && Sender->Region == Settings.Region)
    FleetState->onPeerHeard(Message.zone_vms());
  FleetState->recordPeerConfiguration(Message.configuration());
  for (const zone_member &Member :
       readZoneMembers(Message, Now, ZoneDigestReceiver))
    Vms.mergeZoneMember(Member);
  if (Settings.LearnsConcurrency)
    readEvidence(Message, Now, LearnedLimits);
  Rollouts->learnStages(Message);
  // Before the rows, which may be older.
  FleetState->applyPeerRegistrations(readRegistrations(Message));
  recordRegistrationChanges(Message, Registrations);
  Relay.readUpdates(
      Message, Now,
      [this](const table_update &Update) {
        FleetState->applyPeerUpdate(Update);
      },
      RequestedAt);
}

wire_gateway::Heartbeat
gateway_node::impl::onHeartbeat(const wire_gateway::Heartbeat &Message) {
  if (Message.has_rollout_report())
    return Rollouts->onReport(Message);
  applyHeartbeat(Message);
  wire_gateway::Heartbeat Reply = makeHeartbeat(Message.vm(), &Message);
  if (!hasTables(Message) && !Vms.listsHubsOnly())
    Reply.set_zone_vms(static_cast<std::uint32_t>(Vms.zoneSize()));
  return Reply;
}

void gateway_node::impl::onVmListChanged() {
  const std::vector<entry_vm> Listed = FleetState->listedVms();
  const bool IsHubsOnly = FleetState->listsHubsOnly();
  if (IsHubsOnly)
    Vms.setListedHubs(Listed, bootNow());
  else
    Vms.setListed(Listed, bootNow());
  ZoneDigestReceiver.forgetUnlisted(Vms);
  Registrations.forgetUnlisted(Vms);
  FleetState->recordPeers();
  Quotas->updateVms();
  Transport->retainOnly(Vms.otherVms());
  connectToOwners();
  const vm_id Self = Vms.self().Id;
  const auto Own =
      std::find_if(Listed.begin(), Listed.end(), [&Self](const entry_vm &Vm) {
        return Vm.Id.Name == Self.Name;
      });
  const bool HasRow = Own != Listed.end();
  // The list may be older than the row, or have others' rows only.
  const bool IsOlder =
      IsHubsOnly || (RegisteredAt && FleetState->mirror().position(
                                         store_table::Vms) < *RegisteredAt);
  if (Stopping && HasRow && Own->Id == Self)
    removeSelf();
  if ((!HasRow || Own->Id != Self) && !IsOlder) {
    const bool IsReachable = HasRow && Own->Ip == Settings.Ip;
    const std::size_t FleetSize = Vms.zoneSize() * Settings.Zones.size();
    // After a restore of the store many VMs may lack their row at once.
    const bool IsRestored =
        RegisteredAt &&
        FleetState->mirror().position(store_table::Vms).Era > RegisteredAt->Era;
    scheduleRegistration(
        RegisteredAt && !IsRestored
            ? duration::zero()
            : RegistrationPacer.delayOfRestart(IsReachable || IsRestored,
                                               FleetSize, drawShare()));
  }
  scheduleHeartbeats();
}

void gateway_node::impl::onSnapshotChanged() {
  const auto Snapshot = FleetState->view();
  askOtherRegions();
  // Servers change often, and limits only with the configuration.
  if (std::exchange(QuotaVersion, Snapshot->Version) != Snapshot->Version)
    Quotas->setConfiguration(*Snapshot->Config);
  Router->setSnapshot(Snapshot);
  // Before the servers, so that new ones get no request beyond their share.
  Rollouts->setSnapshot(Snapshot);
  Host->setSnapshot(Snapshot);
  CallerListener->setLimits(Snapshot->Config->callers());
  updateReady();
}

/// Takes servers that have announced that they leave out of use. \p Source is
/// "answer" if this VM received the announcement itself.
void gateway_node::impl::onServersLeaving(
    std::span<const leaving_server> Servers, std::string_view Source) {
  const time_point Now = bootNow();
  bool HasNew = false;
  for (const leaving_server &Server : Servers) {
    if (!Leaving.record(Server, Now))
      continue;
    HasNew = true;
    Metrics.increment("agatedale_servers_leaving_total",
                      formatLabel("source", Source));
    logLine(log_level::Info, "server-leaving",
            {{"server", Server.Name},
             {"start", Server.Start},
             {"service", Server.Service},
             {"zone", Server.Zone},
             {"source", Source},
             {"replica_age_ms", toMillis(Now - FleetState->mirror().asOf(
                                                   store_table::Servers))}});
  }
  if (HasNew)
    FleetState->onServersLeaving();
}

double gateway_node::impl::drawShare() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

/// A VM that starts later reads the list first, which tells whether the others
/// know it.
void gateway_node::impl::beginRegistration() {
  if (!Settings.IsBootstrap)
    return;
  scheduleRegistration(registration_pacer::delayAtBootstrap(drawShare()));
  FleetState->setStart(bootNow() + registration_pacer::BootstrapSpread +
                       BootstrapReadDelay);
}

void gateway_node::impl::scheduleRegistration(duration Delay) {
  if (IsRegistering || Stopping)
    return;
  IsRegistering = true;
  Loop->after(Delay, [this] { registerSelf(); });
}

void gateway_node::impl::registerSelf() {
  if (Stopping)
    return;
  IsRowBeingWritten = true;
  const std::string Row = platform::encodeVm(Vms.self());
  // The version is that of the last row.
  Worker->write(
      {{store_table::VmsBySize, platform::vmBySizeKey(Vms.self()), Row},
       {store_table::Vms, rowKey(Settings.Vm), Row}},
      [this](const result<store_version> &Version) {
        IsRegistering = false;
        IsRowBeingWritten = false;
        const error *Error = errorOf(Version);
        if (!Error) {
          RegisteredAt = valueOf(Version);
          RegistrationPacer.onSuccess();
        }
        if (Stopping)
          removeSelf();
        if (!Error)
          return;
        logLine(log_level::Warning, "store-write-failed",
                {{"row", Settings.Vm}, {"why", Error->Message}});
        scheduleRegistration(RegistrationPacer.delayAfterFailure(drawShare()));
      });
}

/// Removes the own row, again if a restored copy of the store lists it.
void gateway_node::impl::removeSelf() {
  // The version to remove is known when the write ends.
  if (IsRowBeingWritten)
    return;
  store_version Version = FleetState->vmRowVersion(rowKey(Settings.Vm));
  // The replica may be older than the row.
  if (RegisteredAt &&
      FleetState->mirror().position(store_table::Vms) < *RegisteredAt)
    Version = *RegisteredAt;
  if (RemovedVersion == Version)
    return;
  RemovedVersion = Version;
  RowRemains = true;
  Worker->remove({{store_table::Vms, rowKey(Settings.Vm)},
                  {store_table::VmsBySize, platform::vmBySizeKey(Vms.self())}},
                 Version, [this, Version](const result<store_version> &Done) {
                   RowRemains = RowRemains && RemovedVersion != Version;
                   if (const error *Error = errorOf(Done))
                     logLine(log_level::Warning, "store-write-failed",
                             {{"row", Settings.Vm}, {"why", Error->Message}});
                 });
}

void gateway_node::impl::connectToOwners() {
  const auto Snapshot = FleetState->view();
  if (!Snapshot)
    return;
  const time_point Now = bootNow();
  for (const server_group_spec &Spec : Snapshot->Config->groups()) {
    // Groups of other zones are connected to when a request needs them.
    if (Spec.Id.Zone != Settings.Zone)
      continue;
    const auto Owner =
        Vms.ownerOf(toText(Spec.Id), Spec.Id.Zone,
                    Snapshot->Config->regionOf(Spec.Id.Zone), Now);
    if (Owner && Owner->Id.Name != Settings.Vm)
      Transport->isConnected(*Owner);
  }
}

void gateway_node::impl::runCleanupTimer() {
  Loop->after(CleanupInterval, [this] { runCleanupTimer(); });
  connectToOwners();
  const time_point Now = bootNow();
  LearnedLimits.removeOld(Now);
  const auto CleanupOwner =
      Vms.ownerOf("#cleaner", Settings.Zone, Settings.Region, Now);
  if (!CleanupOwner || CleanupOwner->Id.Name != Settings.Vm)
    return;
  for (const std::string &SilentVm : Vms.removableVms(Now)) {
    const store_version Version = FleetState->vmRowVersion(rowKey(SilentVm));
    // The VM is listed, though a restored copy of the store lacks its row.
    if (!Version.isKnown())
      continue;
    std::vector<platform::store_client::row_name> Rows{
        {store_table::Vms, rowKey(SilentVm)}};
    const auto Vm = Vms.find(SilentVm);
    if (Vm && !HasNoSecondRow.contains(SilentVm))
      Rows.push_back({store_table::VmsBySize, platform::vmBySizeKey(*Vm)});
    Worker->remove(std::move(Rows), Version,
                   [this, SilentVm](const result<store_version> &Done) {
                     const error *Error = errorOf(Done);
                     if (Error && Error->Kind == error_kind::Unavailable)
                       HasNoSecondRow.insert(SilentVm);
                     else
                       HasNoSecondRow.erase(SilentVm);
                     logLine(
                         log_level::Info, "vm-removed",
                         {{"vm", SilentVm},
                          {"why", Error ? Error->Message : "no heartbeat"}});
                   });
  }
}

bool gateway_node::impl::isReady() const {
  return !Stopping && FleetState->isServing();
}

/// Returns true if callers may be sent here. Peers still forward requests to a
/// VM that is ready and serves no callers: what the VM that admitted them knows
/// of the configuration goes along.
bool gateway_node::impl::servesCallers() const {
  return isReady() && FleetState->mayAdmitKeys() &&
         FleetState->superseded().mayServe(bootNow());
}

void gateway_node::impl::updateReady() { Vms.setSelf(isReady(), Stopping); }

void gateway_node::impl::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  logLine(
      log_level::Info, "stopping",
      {{"requests", Router->inProgress()}, {"dispatched", Host->inProgress()}});
  Quotas->updateLiveness();
  updateReady();
  Quotas->handOver();
  CallerListener->closeAfterResponses();
  Stop = stop_sequence::create(bootNow(), Settings.StopGrace);
  Router->setFinishLimit(Stop->finishLimit());
  sendHeartbeats();
  removeSelf();
  checkStop();
}

stop_work gateway_node::impl::remainingWork() const {
  return {static_cast<std::size_t>(Router->inProgress()), Host->inProgress(),
          CallerListener->connections(), RowRemains || IsRowBeingWritten};
}

void gateway_node::impl::checkStop() {
  // First, so that an exception below ends this turn and not the stop.
  const auto Next = Loop->after(TickInterval, [this] { checkStop(); });
  if (Stop->phase() != stop_phase::Draining)
    CallerListener->closeIdle();
  if (Stop->advance(remainingWork(), bootNow()))
    enter(Stop->phase());
  if (Stop->phase() == stop_phase::Answering) {
    // Responses that have arrived are handled first: the loop reads the sockets
    // before it runs what was posted, and they may post as well.
    Loop->post([this] { Loop->post([this] { answerAll(); }); });
  }
  if (Stop->phase() == stop_phase::Ended)
    Loop->cancel(Next);
}

void gateway_node::impl::enter(stop_phase Phase) {
  if (Phase == stop_phase::Closing)
    CallerListener->stopAccepting();
  else if (Phase == stop_phase::Answering)
    Router->refuseLater();
  else if (Phase == stop_phase::Ended)
    endLoop();
}

/// Answers what has been read, and refuses what arrives later.
void gateway_node::impl::answerAll() {
  CallerListener->readAll();
  Router->answerAll();
}

/// Ends the loop. No request of a caller is read afterwards: nothing would
/// answer it.
void gateway_node::impl::endLoop() {
  CallerListener->readAll();
  logStopped();
  CallerListener->closeAll();
  Loop->stop();
}

void gateway_node::impl::logStopped() {
  EndDecidedAt = bootNow();
  CountsAtEnd = CallerListener->counts();
  const caller_connection::held_bytes Held = CallerListener->heldBytes();
  logLine(log_level::Info, "stopped",
          {{"requests", Router->inProgress()},
           {"dispatched", Host->inProgress()},
           {"connections", CallerListener->connections()},
           {"unread_bytes", Held.Unread},
           {"undecoded_bytes", Held.Undecoded},
           {"unsent_bytes", Held.Unsent},
           {"after_ms", toMillis(*EndDecidedAt - Stop->since())}});
}

void gateway_node::impl::logEnded() const {
  const caller_connection::request_counts &Counts = CallerListener->counts();
  logLine(log_level::Info, "ended",
          {{"received", Counts.Received - CountsAtEnd.Received},
           {"dropped", Counts.Dropped - CountsAtEnd.Dropped},
           {"connections", CallerListener->connections()},
           {"after_ms", toMillis(bootNow() - *EndDecidedAt)}});
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
