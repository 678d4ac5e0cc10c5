/// \file
/// The queue of a server group: fair between accounts, by deadline in each.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// Names a request inside one server group of one node.
using request_id = std::uint64_t;

/// What a server group must know of a request in order to decide.
struct work_item {
  request_id Id = 0;
  std::string Account;
  int Weight = 1;
  time_point Deadline;
  bool Idempotent = false;
  int Priority = 0;       ///< 0 is served first.
  time_point Aim{};       ///< An answer is on time until then; none when zero.
  std::string Route;      ///< Requests of one route take alike long.
  int MaxAttempts = 0;    ///< Servers that may be sent it; 0: no bound.
  int AttemptsMade = 0;   ///< Servers that were sent it.
  int AttemptsBefore = 0; ///< Servers that another group sent it to.
  bool IsFirstOffer = true; ///< No other group was offered it.
  int AvoidServer = -1;     ///< Index of a server that just failed it, or -1.
  bool MayHaveRun = false;  ///< An earlier attempt may have run it.
  bool Repeatable = true;   ///< False once its body cannot be sent again.
};

/// A bounded queue that serves client accounts in proportion to their weights
/// (start-time fair queueing) and, within an account, the most urgent priority
/// and then the earliest deadline first. When it is full, the longest account
/// makes room for a shorter one.
///
///   fair_queue Queue = fair_queue::create(64);
///   auto Pushed = Queue.push(Item);
///   if (std::optional<work_item> Next = Queue.pop()) send(*Next);
class fair_queue {
public:
  /// The outcome of a push.
  struct push_result {
    refusal_reason Refused = refusal_reason::None; ///< Of the pushed item.
    std::optional<work_item> Evicted; ///< Another item that made room.
  };

  /// \p Capacity is the most items held.
  static fair_queue create(std::size_t Capacity) {
    return fair_queue(Capacity);
  }

  push_result push(const work_item &Item);

  /// Removes and returns the item to serve next.
  std::optional<work_item> pop();

  /// Puts back an item that pop() gave, without charging its account again.
  void requeue(const work_item &Item);

  /// Removes an item; false when it is not queued.
  bool remove(request_id Id);

  /// Removes and returns the items whose deadline has passed.
  std::vector<work_item> expire(time_point Now);

  /// Removes and returns everything.
  std::vector<work_item> drain();

  std::size_t size() const { return Places.size(); }
  bool empty() const { return Places.empty(); }
  std::size_t capacity() const { return Capacity; }
  void setCapacity(std::size_t NewCapacity) { Capacity = NewCapacity; }

  /// Returns how many items of its account would be served before \p Item.
  std::size_t countAhead(const work_item &Item) const;

  /// Returns the items in the order in which one account is served.
  std::vector<work_item> itemsInOrder() const;

  /// Returns the part of the service rate that an account of \p Weight gets
  /// while the accounts that are queued now stay so.
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
  std::map<std::string, account_queue> Accounts; ///< Those with items.
  std::unordered_map<std::string, double> FinishTimes;
  std::unordered_map<request_id, place> Places;
  std::set<std::pair<time_point, request_id>> ByDeadline;
};

} // namespace agatedale
