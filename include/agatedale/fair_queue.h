/// \file
/// The request queue of a server group: fair queueing between accounts, ordered
/// by priority and deadline within each.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/finish_limit.h"
#include "agatedale/rollout.h"
#include "agatedale/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// Identifies a request within one server group of one node.
using request_id = std::uint64_t;

/// The properties of a request that a server group uses for its decisions.
struct work_item {
  request_id Id = 0;
  std::string Account;
  int Weight = 1;
  time_point Deadline;
  bool Idempotent = false;
  int Priority = 0;         ///< 0 is served first.
  time_point Aim{};         ///< Target time of the answer; none if zero.
  std::string Route;        ///< Service times are similar within a route.
  int MaxAttempts = 0;      ///< Zero means unlimited.
  int AttemptsMade = 0;     ///< Attempts that this group has sent.
  int AttemptsBefore = 0;   ///< Attempts that other groups have sent.
  bool IsFirstOffer = true; ///< False after an offer to another group.
  int AvoidServer = -1;     ///< Index of the server that failed it, or -1.
  bool MayHaveRun = false;  ///< True if an earlier attempt may have run it.
  bool Repeatable = true;   ///< False if its body cannot be sent again.
  /// Time until the aim that must remain when it is sent, beyond the expected
  /// service time.
  duration Reserve{};
  finish_limit Finish; ///< Of the VMs that wait for its answer.
  /// Has no effect unless the service's version is being rolled out.
  version_choice Versions = version_choice::Undecided;
};

/// A bounded queue that serves client accounts in proportion to their weights
/// (start-time fair queueing) and, within an account, by priority and then by
/// earliest deadline. An item of a less urgent priority is charged up to four
/// times as much, so that urgent accounts come first and none is starved. When
/// the queue is full, a new item evicts the last item
/// of the account with the most items per weight, or is refused if it belongs
/// to that account.
///
///   fair_queue Queue = fair_queue::create(64);
///   auto Pushed = Queue.push(Item);
///   if (std::optional<work_item> Next = Queue.pop()) send(*Next);
class fair_queue {
public:
  /// The result of a push.
  struct push_result {
    refusal_reason Refused = refusal_reason::None; ///< None if queued.
    std::optional<work_item> Evicted;              ///< Item of another account.
  };

  /// \p Capacity is the maximum number of items.
  static fair_queue create(std::size_t Capacity) {
    return fair_queue(Capacity);
  }

  push_result push(const work_item &Item);

  /// Removes and returns the item to serve next.
  std::optional<work_item> pop();

  /// Queues an item returned by pop() again without charging its account twice.
  void requeue(const work_item &Item);

  /// Removes an item that is served, wherever it stands, and charges its
  /// account as pop() does.
  void take(request_id Id);

  /// Removes an item. Returns false if it is not queued.
  bool remove(request_id Id);

  /// Removes and returns the items whose deadline has passed.
  std::vector<work_item> expire(time_point Now);

  /// Removes and returns all items.
  std::vector<work_item> drain();

  std::size_t size() const { return Places.size(); }
  bool empty() const { return Places.empty(); }
  std::size_t capacity() const { return Capacity; }
  void setCapacity(std::size_t NewCapacity) { Capacity = NewCapacity; }

  /// Returns the number of items of the same account that are served before
  /// \p Item.
  std::size_t countAhead(const work_item &Item) const;

  /// Returns all items in the order in which pop() would.
  std::vector<work_item> itemsInOrder() const;

  /// Returns the share of the service rate of an account with \p Weight among
  /// the accounts that currently have queued items.
  double shareOf(const std::string &Account, int Weight) const;

private:
  struct queue_order {
    int Priority = 0;
    time_point Deadline;
    request_id Id = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
    auto operator<=>(const queue_order &) const = default;
  };

  struct account_queue {
    std::map<queue_order, work_item> Items;
    double VirtualTime = 0;
    int Weight = 1;
  };

  struct place {
    std::string Account;
    queue_order Order;
  };

  explicit fair_queue(std::size_t Capacity) : Capacity(Capacity) {}

  void insert(const work_item &Item);
  std::map<std::string, account_queue>::iterator largestAccount();
  std::map<std::string, account_queue>::iterator nextAccount();
  work_item extractItem(std::map<std::string, account_queue>::iterator Queue,
                        std::map<queue_order, work_item>::iterator Where);

  std::size_t Capacity;
  double SystemVirtualTime = 0;
  std::map<std::string, account_queue> Accounts; ///< With queued items.
  std::unordered_map<std::string, double> FinishTimes;
  std::unordered_map<request_id, place> Places;
  std::set<std::pair<time_point, request_id>> ByDeadline;
};

} // namespace agatedale
