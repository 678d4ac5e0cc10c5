/// \file
/// Dispatch to the backend servers of one server group.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/cold_start_limiter.h"
#include "agatedale/concurrency_limits.h"
#include "agatedale/configuration.h"
#include "agatedale/fair_queue.h"
#include "agatedale/hedge_policy.h"
#include "agatedale/outlier_detector.h"
#include "agatedale/retry_budget.h"
#include "agatedale/rollout.h"
#include "agatedale/server_holds.h"
#include "agatedale/slot_limit.h"
#include "agatedale/verdict.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatedale {

/// Identifies one attempt: one request sent to one backend server.
using attempt_id = std::uint64_t;

/// Instructs the caller to send a request to a backend server immediately.
struct send_action {
  request_id Request = 0;
  attempt_id Attempt = 0;
  std::string Server;            ///< Name of the backend server.
  std::string Address;           ///< "ip:port" of the backend server.
  time_point Deadline;           ///< Of this attempt; sent to the server.
  bool Hedge = false;            ///< Duplicates an attempt in flight.
  std::uint64_t ServerStart = 0; ///< As backend_server::Start.
};

/// Instructs the caller to cancel an attempt whose answer is not needed.
struct cancel_action {
  attempt_id Attempt = 0;
};

/// Rejects a request, with the reason and whether it may have run.
struct group_refusal {
  request_id Request = 0;
  refusal_reason Reason = refusal_reason::None;
  verdict Verdict = verdict::NotRun;
  duration RetryAfter{}; ///< Estimated time to drain the backlog.
  int AttemptsMade = 0;  ///< How often the request was sent.
};

/// The load that a backend server reports with an answer or on a query.
struct server_report {
  int Running = 0;
  int Waiting = 0;
  double Slowness = 1;              ///< Current over normal service time.
  std::optional<duration> ColdLeft; ///< Remaining cold time.
  bool HasLoad = true;              ///< False if only ColdLeft is known.
};

/// Instructs the caller to query the current load of a server.
struct load_query_action {
  std::string Server;
  std::string Address;
  std::uint64_t ServerStart = 0; ///< As backend_server::Start.
};

/// Instructs the caller to deliver an attempt's answer to the client.
struct deliver_action {
  request_id Request = 0;
  attempt_id Attempt = 0;
};

using group_action = std::variant<send_action, cancel_action, group_refusal,
                                  deliver_action, load_query_action>;

/// How an attempt ended.
enum class attempt_outcome {
  Answered,       ///< A complete answer with a status below 500.
  ErrorAnswer,    ///< A complete answer with a status of 5xx.
  Shed,           ///< The server refused without running the request.
  Draining,       ///< As Shed; the server currently accepts no work.
  WrongServer,    ///< Not run: the address is another server's.
  ConnectFailed,  ///< No connection; nothing was sent.
  NotSent,        ///< The lease ended before anything was sent.
  TooLate,        ///< Not sent: nobody waits for the answer any more.
  ConnectionLost, ///< The connection closed after sending began.
  TimedOut,       ///< No answer before the attempt's deadline.
  Truncated,      ///< The answer ended before it was complete.
  Cancelled,      ///< Stopped by a cancel_action and confirmed.
  BodyIncomplete  ///< The client did not send the complete body.
};

/// Returns the token used in logs for \p Outcome.
std::string_view outcomeName(attempt_outcome Outcome);

/// The load of a group, which its owner reports with every answer.
struct group_load {
  int Queued = 0;
  int InFlight = 0;
  int Limit = 0;                 ///< Sum of the current server limits.
  duration TypicalServiceTime{}; ///< Zero if not known.
};

/// An attempt that the previous owner of the group had in flight.
struct inherited_attempt {
  std::string Server;
  attempt_id Attempt = 0;
  time_point Deadline; ///< The slot is free afterwards.
};

/// Counters of a server group's decisions since its creation.
struct group_counters {
  std::uint64_t Submitted = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t HedgesWon = 0;     ///< Their answer was the first.
  std::uint64_t HedgesRefused = 0; ///< Slow attempts without a budget.
  std::uint64_t Retries = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t LimitCuts = 0;
};

/// The settings of a server group.
struct server_group_settings {
  service Service;
  double RetryPercent = 10;
  bool Hedging = true;
  /// Refuses requests that would use up the time until their aim by waiting,
  /// see admissionReserve(), and keeps less urgent requests off slow servers
  /// while slots are scarce.
  bool ControlsOverload = false;
  /// Tells callers that are refused for the backlog at most the time that they
  /// honour, see honouredRetryAfter().
  bool BoundsRetryAfter = false;
  /// Takes measured service times into account when a server is slower than it
  /// reports; else a free server is taken at its word.
  bool MeasuresSpeed = false;
  /// Requests are sent only to servers with a fresh load report.
  bool QueryServerLoad = false;
  /// Minimum timeout of an idempotent attempt.
  duration MinAttemptTime = std::chrono::milliseconds(250);
  /// Timeout of an idempotent attempt, in typical service times.
  int AttemptFactor = 50;
  /// Hedged requests allowed per hundred requests; they are sent at an age that
  /// is learned, see hedge_policy. If zero, HedgeFactor determines the age and
  /// only the retry budget limits them.
  double HedgePercent = 0;
  /// Age at which an idempotent attempt is hedged, in typical service times.
  int HedgeFactor = 6;
  /// Maximum share of occupied slots at which hedges are sent.
  double HedgeMaxUtilization = 0.75;
  /// Typical service times that must remain between the expected start of a
  /// request and its deadline for the request to be admitted, so that admitted
  /// requests are answered in time.
  int AdmissionFactor = 6;
  /// Typical service times that must remain before the deadline of a queued
  /// request for it to be sent.
  int StartFactor = 2;
  /// Minimum duration of a timed-out attempt, in typical service times, that
  /// counts as a server failure. A shorter one was started too late.
  int FailureFactor = 10;
  /// Time without an answer after which an idle server counts as cold, because
  /// a restart may have gone undetected.
  duration IdleUntilCold = std::chrono::seconds(10);
  /// Time after its deadline for which a failed attempt occupies its slot.
  duration CancelGrace = std::chrono::milliseconds(10);
};

/// Dispatches requests to the backend servers of one group. Only the node that
/// owns the group's lease dispatches to these servers, so that the attempts in
/// flight never exceed each server's limit. All decisions are deterministic;
/// the caller passes the current time with each event.
///
///   server_group Group = moveValue(server_group::create(Settings, Servers));
///   Group.setLeaseEnd(LeaseEnd);
///   for (const group_action &Action : Group.submit(Item, Now))
///     carryOut(Action);
///   for (const group_action &Action : Group.finish(Id, Outcome, Now))
///     carryOut(Action);
class server_group {
public:
  static result<server_group> create(const server_group_settings &Settings,
                                     std::span<const backend_server> Servers);

  /// Allows sending until \p Until, the end of the node's lease on the group.
  void setLeaseEnd(time_point Until) { LeaseEnd = Until; }
  time_point leaseEnd() const { return LeaseEnd; }

  /// Applies a changed service configuration.
  void reconfigure(const service &Service);

  /// Sets the number of retries that can accumulate unused in this group.
  void setRetryBurst(double Retries) { Budget.setBurst(Retries); }

  /// Discards most of the accumulated retries, because another VM dispatches or
  /// has dispatched for the group and may have spent its own. To be called
  /// after setRetryBurst().
  void limitUnusedRetries() { Budget.limitUnused(FollowerRetryShare); }

  /// Refuses requests that cannot be finished before this VM ends.
  void setFinishLimit(const finish_limit &Limit) {
    Finish = Limit;
    HasFinishLimits = HasFinishLimits || Limit.isSet();
  }

  /// Sets the holds that apply to servers which are added. \p NewHolds must
  /// outlive the group.
  void setHolds(const server_holds &NewHolds) { Holds = &NewHolds; }

  /// Limits the requests in flight per server to what \p NewLimits has learned
  /// for the service, and records the group's attempts there. \p NewLimits must
  /// outlive the group.
  void setLearnedLimits(concurrency_limits &NewLimits);

  /// Sends \p Server nothing, neither requests nor load queries, until
  /// \p Until, because it asked for that. To be called before finish() for the
  /// attempt that it turned away.
  void hold(std::string_view Server, std::uint64_t Start, time_point Until);

  /// Returns when the first server may be sent a request again if all servers
  /// are held, else nothing.
  std::optional<time_point> allHeldUntil(time_point Now) const;

  /// Applies a changed list of servers. Added servers start cold. Removed and
  /// leaving servers finish their attempts in flight and get no new ones.
  std::vector<group_action> setServers(std::span<const backend_server> Servers,
                                       bool IsZoneActive, time_point Now);

  /// Sends requests to the versions of the servers by \p Shares, or to all
  /// alike if there is no rollout. Begins to count the responses by version
  /// when the order is another one.
  std::vector<group_action>
  setVersionShares(const std::optional<version_shares> &Shares, time_point Now);

  /// Returns the responses since the order of the rollout.
  const rollout_evidence &evidence() const { return Evidence; }

  /// Returns the attempts in flight at servers of other versions than the one
  /// that is rolled out, and the queued requests that are for them.
  int inFlightAtOldVersion() const;

  /// Sends, queues or refuses a request.
  std::vector<group_action> submit(const work_item &Offered, time_point Now);

  /// Records the outcome of an attempt, then delivers its answer, retries or
  /// refuses the request and sends queued requests.
  std::vector<group_action> finish(attempt_id Attempt, attempt_outcome Outcome,
                                   time_point Now,
                                   const server_report *Report = nullptr);

  /// Records the reply to a load query; \p Report is null if there was none.
  std::vector<group_action> onLoadQueryResult(std::string_view Server,
                                              const server_report *Report,
                                              time_point Now);

  /// Marks \p Server as cold after a detected restart.
  void onRestart(std::string_view Server);

  /// Removes a queued request whose client disconnected. Returns false if it is
  /// not queued.
  bool withdraw(request_id Request);

  /// Disables retries of \p Request because its body is being consumed.
  void forbidRetry(request_id Request);

  /// Returns the attempts of \p Request that are in flight.
  std::vector<attempt_id> attemptsOf(request_id Request) const;

  /// Runs periodic work: releases slots, refuses late requests, sends queued
  /// requests and hedges.
  std::vector<group_action> tick(time_point Now);

  /// Treats every slot as occupied until \p Until, because a failed previous
  /// owner may have left attempts in flight.
  void assumeOccupied(time_point Until);

  /// Replaces the assumed attempts of \p Server with the number it reports. The
  /// report must have been requested after all requests of the previous owner
  /// had arrived at the server.
  std::vector<group_action> onLoadReport(std::string_view Server, int InFlight,
                                         time_point Now);

  /// Occupies a slot for an attempt that the previous owner has in flight.
  void inherit(const inherited_attempt &Attempt);

  /// Releases the slot of an inherited attempt.
  std::vector<group_action> onInheritedAttemptEnd(std::string_view Server,
                                                  attempt_id Attempt,
                                                  time_point Now);

  /// Stops dispatching, refuses all queued requests as not run and returns the
  /// attempts in flight in \p InFlight.
  std::vector<group_action> handOver(std::vector<inherited_attempt> &InFlight);

  group_load load(time_point Now) const;
  const group_counters &counters() const { return Counters; }

  /// Returns the names of servers with slots assumed occupied at \p Now.
  std::vector<std::string> assumedServers(time_point Now) const;

  /// Returns the number of this node's attempts in flight at \p Server.
  int inFlightAt(std::string_view Server) const;

  /// Returns the concurrency limit of \p Server at \p Now.
  int limitOf(std::string_view Server, time_point Now) const;

private:
  /// Share of the unused retries with which an owner begins that follows
  /// another. A killed owner is noticed after about a second, so ten owners
  /// that follow each other in 10 s add at most what one may accumulate.
  static constexpr double FollowerRetryShare = 0.1;

  struct server_state {
    server_state(const backend_server &Server, const slot_limit &Limit)
        : Server(Server), Limit(Limit) {}

    backend_server Server;
    slot_limit Limit;
    /// Of the service; null if limits are not learned.
    std::shared_ptr<concurrency_limit> Learned;
    int InFlight = 0;
    double SmoothedMicros = 0; ///< Service time; zero if not known.
    time_point AnsweredAt{};
    attempt_id LastAttempt = 0;
    time_point AssumedUntil{};
    int AssumedInFlight = 0;
    std::vector<inherited_attempt> Inherited;
    std::vector<time_point> SlotReleaseTimes; ///< Of failed attempts.
    bool Gone = false;
    /// Until another outcome, or this time, it counts as not listening.
    time_point UnreachableUntil{};
    time_point DrainingUntil{};
    time_point HeldUntil{};
    cold_start_limiter StartLimiter;
    time_point ColdUntil{};
    outlier_detector Health;
    double ReportedSlowness = 1;
    bool ReportedFreeSlot = false; ///< A slot was free, its queue empty.
    time_point LastReportAt{};
    time_point LastQueryAt{};
    bool IsQueryPending = false; ///< A load query is in flight.
    int SentSinceQuery = 0;      ///< Requests since the last load query.
    /// Requests of about the last second, each weighed by its age, at SentAt.
    double SentRecently = 0;
    time_point SentAt{};
    /// Measured service time against that of the route and the reported
    /// slowness, at MeasuredAt.
    double HiddenSlowness = 1;
    time_point MeasuredAt{};
    /// It joined servers that were there, and has been sent no request yet.
    bool AwaitsFirstRequest = false;
  };

  struct attempt {
    request_id Request = 0;
    int Server = 0;
    time_point Started;
    time_point Deadline;
    bool Hedge = false;
    bool Abandoned = false;
    double Slowness = 1; ///< Of its server when sent.
    /// In flight at its server when it was sent, with itself; zero if its
    /// service time cannot be compared with others.
    int InFlight = 0;
    bool Cold = false;         ///< Its server was cold when it was sent.
    bool HedgeRefused = false; ///< There was no budget for a hedge.
  };

  struct running_request {
    work_item Item;
    std::vector<attempt_id> Attempts;
  };

  server_group(const server_group_settings &Settings);

  slot_limit_settings limitSettings(const backend_server &Server) const;
  int slotsOf(const backend_server &Server) const;
  double coldRate(const server_state &State, time_point Now) const;
  bool areEjectionsEnforced(time_point Now) const;
  void refuseUnmeetable(time_point Now, std::vector<group_action> &Actions);
  bool canFinish(const work_item &Item, time_point Begin,
                 bool MustWait = false) const;
  bool isUnfinishable(const work_item &Item, time_point Now);
  void refuseUnfinishable(time_point Now, std::vector<group_action> &Actions);
  time_point expectedBegin(int Waiting, time_point Now) const;
  duration expectedServiceTime(const work_item &Item) const;
  bool isClosed(const server_state &State, time_point Now) const;
  duration retryAfter(time_point Now);
  duration retryAfter(const work_item &Item, refusal_reason Reason,
                      time_point Now);
  void refuseIfAllHeld(time_point Now, std::vector<group_action> &Actions);
  void assignLearnedLimit(server_state &State) const;
  int allowedAt(const server_state &State, time_point Now) const;
  double relativeTime(const server_state &State) const;
  int comparableInFlight(const server_state &State, time_point Now) const;
  void recordConcurrency(const server_state &State, const attempt &Attempt,
                         time_point Now) const;
  int freeSlots(const server_state &State, time_point Now) const;
  int occupied(const server_state &State, time_point Now) const;
  double expectedMicros(const server_state &State, time_point Now) const;
  int chooseServer(int Avoid, time_point Now, bool WarmOnly = false,
                   const work_item *Item = nullptr) const;
  bool isNewVersion(const server_state &State) const;
  bool isShutByRollout(const server_state &State) const;
  version_choice choiceFor(const work_item &Item, time_point Now) const;
  void updateReachability(server_state &State, attempt_outcome Outcome,
                          time_point Now);
  void updateOldVersion(time_point Now);
  double newShare() const;
  bool maySend(const server_state &State, version_choice Choice) const;
  bool hasServerFor(const work_item &Item) const;
  version_choice drawVersion();
  void refuseUnservable(time_point Now, std::vector<group_action> &Actions);
  void dispatchByVersion(time_point Now, std::vector<group_action> &Actions);
  void recordEvidence(const attempt &Attempt, attempt_outcome Outcome,
                      const server_report *Report, time_point Now);
  int findServer(std::string_view Name) const;
  int chooseBySpeed(const work_item &Item, time_point Now) const;
  double hiddenSlowness(const server_state &State, time_point Now) const;
  void measureSpeed(server_state &State, double Factor, time_point Now) const;
  static void countSent(server_state &State, time_point Now);
  void queryBusyServers(time_point Now, std::vector<group_action> &Actions);
  bool hasFreshReport(const server_state &State, time_point Now) const;
  void applyReport(server_state &State, const server_report &Report,
                   time_point Now);
  void dispatchBySpeed(time_point Now, std::vector<group_action> &Actions);
  void queryServerLoads(std::size_t Waiting, version_choice Choice,
                        time_point Now, std::vector<group_action> &Actions);
  void addServer(const backend_server &Server, bool HasJoined, time_point Now);
  void dispatch(time_point Now, std::vector<group_action> &Actions);
  void send(const work_item &Item, int Server, bool Hedge, time_point Now,
            std::vector<group_action> &Actions);
  void resetIdleServers(time_point Now);
  bool leavesToUrgent(const work_item &Item, const server_state &State,
                      time_point Now) const;
  work_item withReserve(const work_item &Item, time_point Now) const;
  bool canBeOnTime(const work_item &Item, time_point Begin) const;
  bool startsTooLate(const work_item &Item, time_point Now) const;
  void expireQueue(time_point Now, std::vector<group_action> &Actions);
  bool isHedgeable(const attempt &Attempt, time_point Now) const;
  void hedgeSlowAttempts(time_point Now, std::vector<group_action> &Actions);
  void refuse(const work_item &Item, refusal_reason Reason, time_point Now,
              std::vector<group_action> &Actions);
  void recordOutcome(server_state &State, const attempt &Attempt,
                     attempt_outcome Outcome, time_point Now);
  void recordHealth(server_state &State, attempt_outcome Outcome,
                    time_point Now);
  bool shedWithFreeSlot(const server_state &State, attempt_outcome Outcome,
                        time_point Now) const;
  void recordAnswer(server_state &State, const attempt &Attempt,
                    time_point Now);
  double retriesReservedFrom(const work_item &Item) const;
  void retryOrRefuse(const work_item &Item, int Server, attempt_outcome Outcome,
                     time_point Now, std::vector<group_action> &Actions);
  void abandonOthers(running_request &Running, attempt_id Winner,
                     time_point Now, std::vector<group_action> &Actions);
  time_point attemptDeadline(const work_item &Item, time_point Now) const;
  duration expectedWait(const work_item &Item, time_point Now) const;
  int totalLimit(time_point Now) const;
  int totalFree(time_point Now) const;
  void resizeQueue();

  server_group_settings Settings;
  retry_budget Budget;
  hedge_policy Hedges;
  int HighestPriority = std::numeric_limits<int>::max(); ///< Seen so far.
  int LowestPriority = std::numeric_limits<int>::min();  ///< Seen so far.
  fair_queue Queue;
  std::vector<server_state> Servers;
  std::map<attempt_id, attempt> Attempts;
  std::map<request_id, running_request> Running;
  attempt_id NextAttempt = 1;
  double TypicalMicros = 0;
  std::map<std::string, double, std::less<>> RouteMicros; ///< By route.
  const server_holds *Holds = nullptr;
  concurrency_limits *LearnedLimits = nullptr;
  finish_limit Finish;           ///< Of this VM.
  bool HasFinishLimits = false;  ///< Queued requests may have a limit.
  int RefusedWhileHeld = 0;      ///< Refusals since all servers are held.
  bool EjectionsEnforced = true; ///< At most half of the servers are ejected.
  bool IsZoneActive = true;
  bool HandedOver = false;
  time_point LeaseEnd{};
  group_counters Counters;
  std::optional<version_shares> Shares;
  /// No server of another version than the new one can be reached, and the last
  /// stage gave the new one all requests.
  bool IsOldGone = false; ///< Set while a rollout is in progress.
  rollout_evidence Evidence;
  double NewShareDue = 0; ///< Of the undecided requests so far.
};

} // namespace agatedale
