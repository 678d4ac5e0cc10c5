/// \file
/// A server group that this node owns, with its threads and connections.
#pragma once

#include "agatedale/event_log.h"
#include "agatedale/metrics.h"
#include "agatedale/server_group.h"
#include "backend_connection.h"
#include "request.h"
#include "task_pool.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace agatedale {

/// What the shards of a node share.
struct shard_context {
  metrics &Metrics;
  event_log &Events;
  task_pool &Tasks;
  std::int64_t BufferedAnswerBytes = 0;
};

/// Carries out the decisions of one server_group: requests wait here on their
/// own threads, attempts run over pooled connections. One shard stands for one
/// spell of ownership; it is made when the node gains the group.
///
///   auto Shard = group_shard::create(Spec, Settings, Context);
///   node_answer Answer = valueOf(Shard)->serve(Request, Writer);
class group_shard : public std::enable_shared_from_this<group_shard> {
public:
  static result<std::shared_ptr<group_shard>>
  create(const server_group_spec &Spec, const server_group_settings &Settings,
         const shard_context &Context);

  /// Serves a request: waits for a slot, sends, retries; returns the answer or
  /// a refusal. An answer too large to hold goes to \p Writer.
  node_answer serve(const node_request &Request, const answer_writer &Writer);

  void setLeaseEnd(time_point Until);
  /// Takes over a newer configuration of the service and its servers.
  void reconfigure(const service &Service,
                   std::span<const backend_server> Servers, bool IsZoneActive);
  void assumeOccupied(time_point Until);
  void inherit(std::span<const inherited_attempt> Attempts);
  void onInheritedAttemptEnd(const std::string &Server, attempt_id Attempt);
  void onLoadReport(const std::string &Server, int InFlight);
  void tick();

  /// Gives the group up and returns the attempts in flight. \p OnFreed is
  /// called for each of them when it ends.
  std::vector<inherited_attempt>
  handOver(std::function<void(const std::string &, attempt_id)> OnFreed);

  group_load load() const;
  group_counters counters() const;
  std::vector<std::string> assumedServers() const;
  const group_id &id() const { return Id; }

  /// Returns the attempts that run now.
  std::size_t running() const;

private:
  struct waiter {
    std::condition_variable Wake;
    std::optional<send_action> Order;
    std::optional<group_refusal> Refusal;
    std::optional<attempt_id> Delivered;
    std::map<attempt_id, node_answer> Answers;
    const node_request *Request = nullptr;
    bool Streaming = false; ///< An answer goes to the caller piece by piece.
  };

  struct running_attempt {
    std::shared_ptr<backend_connection> Connection;
    bool Streaming = false;
  };

  group_shard(const server_group_spec &Spec, server_group Group,
              const service &Service, const shard_context &Context)
      : Id(Spec.Id), Context(Context), Connections(idleConnections(Service)),
        Group(std::move(Group)) {}

  static std::size_t idleConnections(const service &Service);

  work_item itemOf(const node_request &Request, request_id Id) const;
  void apply(const std::vector<group_action> &Actions);
  void applySend(const send_action &Order);
  void applyCancel(const cancel_action &Order);
  attempt_result attempt(const send_action &Order, const node_request &Request,
                         const answer_writer *Writer, waiter &Waiter);
  bool beginStreaming(const send_action &Order, waiter &Waiter);
  void conclude(const send_action &Order, attempt_result Result,
                waiter &Waiter);
  node_answer wait(std::unique_lock<std::mutex> &Guard,
                   std::shared_ptr<waiter> Waiter, const node_request &Request,
                   request_id RequestNumber, const answer_writer &Writer);
  node_answer refused(const group_refusal &Refusal,
                      const node_request &Request) const;
  void noteLimits(std::string_view Server, attempt_outcome Outcome,
                  const std::string &RequestId);

  group_id Id;
  shard_context Context;
  connection_pool Connections;
  mutable std::mutex Lock;
  server_group Group;
  request_id NextRequest = 1;
  std::map<request_id, std::shared_ptr<waiter>> Waiters;
  std::map<attempt_id, running_attempt> Running;
  std::function<void(const std::string &, attempt_id)> OnFreed;
};

} // namespace agatedale
