/// \file
/// Dispatch to the backend servers of one server group.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/cold_pace.h"
#include "agatedale/configuration.h"
#include "agatedale/fair_queue.h"
#include "agatedale/outlier_detector.h"
#include "agatedale/retry_budget.h"
#include "agatedale/slot_limit.h"
#include "agatedale/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace agatedale {

/// Names one sending of one request to one backend server.
using attempt_id = std::uint64_t;

/// Order to send a request to a backend server now.
struct send_order {
  request_id Request = 0;
  attempt_id Attempt = 0;
  std::string Server;  ///< Name of the backend server.
  std::string Address; ///< "ip:port" of the backend server.
  time_point Deadline; ///< Of this attempt; the server is told it.
  bool Hedge = false;  ///< A second sending beside a running one.
};

/// Order to break off an attempt whose answer is no longer wanted.
struct cancel_order {
  attempt_id Attempt = 0;
};

/// A request that the group will not serve, and what is known about it.
struct group_refusal {
  request_id Request = 0;
  refusal_reason Reason = refusal_reason::None;
  verdict Verdict = verdict::NotRun;
  duration ComeBackIn{}; ///< When the group expects to have room again.
  int AttemptsMade = 0;  ///< Servers that were sent the request.
};

/// What a server tells of itself with an answer.
struct server_report {
  int Running = 0;
  int Waiting = 0;
  double Slowness = 1; ///< How long work takes there now; 1 is as usual.
  std::optional<duration> ColdLeft; ///< How much longer it stays cold.
};

/// Order to ask a server how fast it is now.
struct ask_order {
  std::string Server;
  std::string Address;
};

/// Order to hand an attempt's answer to the caller.
struct deliver_order {
  request_id Request = 0;
  attempt_id Attempt = 0;
};

using group_action = std::variant<send_order, cancel_order, group_refusal,
                                  deliver_order, ask_order>;

/// How an attempt ended.
enum class attempt_outcome {
  Answered,      ///< A whole answer that is no server failure.
  ErrorAnswer,   ///< A whole answer with a status of 5xx.
  Shed,          ///< The server said that it did not run the request.
  Draining,      ///< As Shed, and the server takes no more work for now.
  WrongServer,   ///< Another server has the address; it did not run it.
  ConnectFailed, ///< Nothing was sent.
  NotSent,       ///< This node lost the right to send before it sent.
  Broke,         ///< The connection broke after sending began.
  TimedOut,      ///< No answer by the attempt's deadline.
  Truncated,     ///< The answer ended early.
  Cancelled,     ///< Broken off by a cancel_order; the server confirmed it.
  BodyIncomplete ///< The caller did not send its whole body.
};

/// Returns the token used in logs for \p Outcome.
std::string_view outcomeName(attempt_outcome Outcome);

/// What an owner tells of its queue on every answer.
struct group_load {
  int Queued = 0;
  int InFlight = 0;
  int Limit = 0;      ///< Sum of what the servers bear now.
  duration Typical{}; ///< Typical service time; zero if not known.
};

/// An attempt that a former owner had in flight.
struct inherited_attempt {
  std::string Server;
  attempt_id Attempt = 0;
  time_point Deadline; ///< The slot is free after this in any case.
};

/// Counts of a server group's decisions since it was created.
struct group_counters {
  std::uint64_t Submitted = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Refused = 0;
  std::uint64_t LimitCuts = 0;
};

/// What a server group is built from.
struct server_group_settings {
  service Service;
  double RetryPercent = 10;
  bool Hedging = true;
  /// Requests go only to servers that told their speed a moment ago.
  bool AskSpeed = false;
  /// Shortest time that an idempotent attempt is given.
  duration LeastAttemptTime = std::chrono::milliseconds(250);
  /// Idempotent attempts are given this many typical service times.
  int AttemptFactor = 50;
  /// An idempotent attempt this many typical times old is hedged.
  int HedgeFactor = 6;
  /// Hedges are sent while at most this share of the slots is taken.
  double HedgeBelowShare = 0.75;
  /// A request is taken in only if this many typical service times are left
  /// after its expected wait, so that what is accepted is answered.
  int AdmissionFactor = 6;
  /// A queued request is sent only if this many typical times are left.
  int StartFactor = 2;
  /// A time-out shows a failing server only after this many typical times;
  /// before, it shows a request that began too late.
  int FailureFactor = 10;
  /// A server that was not heard for this long counts as cold: it may have been
  /// restarted unseen.
  duration SilenceToCold = std::chrono::seconds(10);
  /// A broken-off attempt's slot stays taken this long after its deadline.
  duration CancelGrace = std::chrono::milliseconds(10);
};

/// The only dispatcher to the backend servers of one group while its node owns
/// the group. It holds the queue, the limits and the attempts in flight; the
/// sum in flight is at most each server's limit by construction. All decisions
/// are deterministic; time comes in with each event.
///
///   server_group Group = moveValue(server_group::create(Settings, Servers));
///   Group.setRight(LeaseEnd);
///   for (const group_action &Action : Group.submit(Item, Now))
///   carryOut(Action); for (const group_action &Action : Group.finish(Id,
///   Outcome, Now)) ...
class server_group {
public:
  static result<server_group> create(const server_group_settings &Settings,
                                     std::span<const backend_server> Servers);

  /// Allows sending until \p Until: the end of the node's lease on the group.
  void setRight(time_point Until) { RightUntil = Until; }
  time_point rightUntil() const { return RightUntil; }

  /// Takes over what the operators changed about the service.
  void reconfigure(const service &Service);

  /// Takes over a changed list of servers. New ones start cold; those gone or
  /// leaving get no new work and finish what they run.
  std::vector<group_action> setServers(std::span<const backend_server> Servers,
                                       bool ZoneIn, time_point Now);

  /// Takes in a request: it is sent, queued or refused.
  std::vector<group_action> submit(const work_item &Item, time_point Now);

  /// Records how an attempt ended and decides what follows.
  std::vector<group_action> finish(attempt_id Attempt, attempt_outcome Outcome,
                                   time_point Now,
                                   const server_report *Report = nullptr);

  /// Records what a server that was asked told; null when it did not.
  std::vector<group_action> onTold(std::string_view Server,
                                   const server_report *Report, time_point Now);

  /// Records a sign that \p Server was restarted: it counts as cold.
  void onRestart(std::string_view Server);

  /// Drops a queued request whose caller went away; false if not queued.
  bool withdraw(request_id Request);

  /// Forbids another attempt: the request's body is being consumed.
  void forbidRetry(request_id Request);

  /// Returns the attempts of \p Request that are in flight.
  std::vector<attempt_id> attemptsOf(request_id Request) const;

  /// Lets time pass: refuses what is too late, hedges, ends pauses.
  std::vector<group_action> tick(time_point Now);

  /// Treats every slot as taken until \p Until: what a former owner that was
  /// lost may have left running.
  void assumeOccupied(time_point Until);

  /// Replaces the assumption about \p Server by its own report, which was asked
  /// for after every request of the former owner had reached it.
  std::vector<group_action> onLoadReport(std::string_view Server, int InFlight,
                                         time_point Now);

  /// Takes over an attempt that the former owner still has in flight.
  void inherit(const inherited_attempt &Attempt);

  /// Frees the slot of an inherited attempt.
  std::vector<group_action> inheritedDone(std::string_view Server,
                                          attempt_id Attempt, time_point Now);

  /// Gives the group up: nothing is sent any more, all queued requests are
  /// refused as not run, and the attempts in flight are returned.
  std::vector<group_action> handOver(std::vector<inherited_attempt> &InFlight);

  group_load load(time_point Now) const;
  const group_counters &counters() const { return Counters; }

  /// Returns the names of servers whose slots are assumed taken at \p Now.
  std::vector<std::string> assumedServers(time_point Now) const;

  /// Returns how many requests of this node \p Server has in flight.
  int inFlightAt(std::string_view Server) const;

  /// Returns what \p Server may be given at once at \p Now.
  int limitOf(std::string_view Server, time_point Now) const;

private:
  struct server_state {
    server_state(const backend_server &Server, const slot_limit &Limit)
        : Server(Server), Limit(Limit) {}

    backend_server Server;
    slot_limit Limit;
    int InFlight = 0;
    double SmoothedMicros = 0; ///< Of service times; zero if not known.
    time_point AnsweredAt{};
    attempt_id LastAttempt = 0;
    time_point AssumedUntil{};
    int Assumed = 0;
    std::vector<inherited_attempt> Inherited;
    std::vector<time_point> Lingering; ///< Ends of broken-off attempts.
    bool Gone = false;
    time_point DrainingUntil{};
    cold_pace Pace;
    time_point ColdUntil{};
    outlier_detector Health;
    double ToldSlowness = 1;
    bool ToldRoom = false; ///< It had a free slot and nothing waited.
    time_point ToldAt{};
    time_point AskedAt{};
    bool Asked = false; ///< An answer to the question is not in yet.
  };

  struct attempt {
    request_id Request = 0;
    int Server = 0;
    time_point Started;
    time_point Deadline;
    bool Hedge = false;
    bool Abandoned = false;
    double Slowness = 1; ///< Of its server when it was sent.
  };

  struct running_request {
    work_item Item;
    std::vector<attempt_id> Attempts;
  };

  server_group(const server_group_settings &Settings);

  slot_limit_settings limitSettings(const backend_server &Server) const;
  int slotsOf(const backend_server &Server) const;
  double coldRate(const server_state &State, time_point Now) const;
  bool ejectionsCount(time_point Now) const;
  void refuseHopeless(time_point Now, std::vector<group_action> &Actions);
  duration serviceTime(const work_item &Item) const;
  bool isClosed(const server_state &State, time_point Now) const;
  int freeSlots(const server_state &State, time_point Now) const;
  int occupied(const server_state &State, time_point Now) const;
  double expectedMicros(const server_state &State, time_point Now) const;
  int chooseServer(int Avoid, time_point Now, bool WarmOnly = false) const;
  int findServer(std::string_view Name) const;
  int chooseBySpeed(const work_item &Item, time_point Now) const;
  bool isFresh(const server_state &State, time_point Now) const;
  void note(server_state &State, const server_report &Report, time_point Now);
  void dispatchBySpeed(time_point Now, std::vector<group_action> &Actions);
  void askSpeeds(std::size_t Waiting, time_point Now,
                 std::vector<group_action> &Actions);
  void addServer(const backend_server &Server, time_point Now);
  void dispatch(time_point Now, std::vector<group_action> &Actions);
  void send(const work_item &Item, int Server, bool Hedge, time_point Now,
            std::vector<group_action> &Actions);
  void coolSilentServers(time_point Now);
  bool canBeOnTime(const work_item &Item, time_point Begin) const;
  bool startsTooLate(const work_item &Item, time_point Now) const;
  void expireQueue(time_point Now, std::vector<group_action> &Actions);
  void hedgeSlow(time_point Now, std::vector<group_action> &Actions);
  void refuse(const work_item &Item, refusal_reason Reason, time_point Now,
              std::vector<group_action> &Actions);
  void recordOutcome(server_state &State, const attempt &Attempt,
                     attempt_outcome Outcome, time_point Now);
  void recordHealth(server_state &State, attempt_outcome Outcome,
                    time_point Now);
  bool refusedWithRoom(const server_state &State, attempt_outcome Outcome,
                       time_point Now) const;
  void recordAnswer(server_state &State, const attempt &Attempt,
                    time_point Now);
  void retryOrRefuse(const work_item &Item, int Server, attempt_outcome Outcome,
                     time_point Now, std::vector<group_action> &Actions);
  void abandonOthers(running_request &Running, attempt_id Winner,
                     std::vector<group_action> &Actions);
  time_point attemptDeadline(const work_item &Item, time_point Now) const;
  duration expectedWait(const work_item &Item, time_point Now) const;
  int totalLimit(time_point Now) const;
  int totalFree(time_point Now) const;
  void resizeQueue();

  server_group_settings Settings;
  retry_budget Budget;
  fair_queue Queue;
  std::vector<server_state> Servers;
  std::map<attempt_id, attempt> Attempts;
  std::map<request_id, running_request> Running;
  attempt_id NextAttempt = 1;
  double TypicalMicros = 0;
  std::map<std::string, double, std::less<>> RouteMicros; ///< By route.
  bool EjectionsCount = true; ///< Fewer than half of the servers are ejected.
  bool ZoneIn = true;
  bool HandedOver = false;
  time_point RightUntil{};
  group_counters Counters;
};

} // namespace agatedale
