/// \file
/// Start-time fair queueing between client accounts.
#include "agatedale/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace agatedale {

namespace {

/// Maximum number of stored finish times; all are dropped when it is reached.
constexpr std::size_t MaxRememberedAccounts = 4096;

/// Priorities of this number and above are charged alike. With four times the
/// charge an account keeps a quarter of its share.
constexpr int LowestCharged = 2;

/// Returns what an account of \p Weight is charged for an item.
double chargeOf(int Priority, int Weight) {
  return static_cast<double>(1 << std::clamp(Priority, 0, LowestCharged)) /
         Weight;
}

} // namespace

void fair_queue::insert(const work_item &Item) {
  auto [Queue, IsNew] = Accounts.try_emplace(Item.Account);
  if (IsNew) {
    const auto Remembered = FinishTimes.find(Item.Account);
    const double Finish =
        Remembered == FinishTimes.end() ? 0 : Remembered->second;
    Queue->second.VirtualTime = std::max(SystemVirtualTime, Finish);
  }
  // The weight may have changed while the queue was not empty.
  Queue->second.Weight = std::max(Item.Weight, 1);
  const queue_order Order{Item.Priority, Item.Deadline, Item.Id};
  Queue->second.Items.emplace(Order, Item);
  Places.emplace(Item.Id, place{Item.Account, Order});
  ByDeadline.emplace(Item.Deadline, Item.Id);
}

std::map<std::string, fair_queue::account_queue>::iterator
fair_queue::largestAccount() {
  return std::max_element(
      Accounts.begin(), Accounts.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.Items.size() * Right.second.Weight <
               Right.second.Items.size() * Left.second.Weight;
      });
}

std::map<std::string, fair_queue::account_queue>::iterator
fair_queue::nextAccount() {
  return std::min_element(Accounts.begin(), Accounts.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.second.VirtualTime <
                                   Right.second.VirtualTime;
                          });
}

fair_queue::push_result fair_queue::push(const work_item &Item) {
  push_result Result;
  if (size() >= Capacity) {
    const auto Largest = largestAccount();
    const bool OwnIsLargest =
        Largest == Accounts.end() || Largest->first == Item.Account;
    if (OwnIsLargest) {
      Result.Refused = Capacity == 0 || Accounts.size() <= 1
                           ? refusal_reason::QueueFull
                           : refusal_reason::AccountQueueFull;
      return Result;
    }
    Result.Evicted =
        extractItem(Largest, std::prev(Largest->second.Items.end()));
  }
  insert(Item);
  return Result;
}

work_item
fair_queue::extractItem(std::map<std::string, account_queue>::iterator Queue,
                        std::map<queue_order, work_item>::iterator Where) {
  work_item Item = std::move(Where->second);
  ByDeadline.erase({Item.Deadline, Item.Id});
  Places.erase(Item.Id);
  Queue->second.Items.erase(Where);
  if (Queue->second.Items.empty()) {
    if (FinishTimes.size() >= MaxRememberedAccounts)
      FinishTimes.clear();
    FinishTimes[Queue->first] = Queue->second.VirtualTime;
    Accounts.erase(Queue);
  }
  return Item;
}

std::optional<work_item> fair_queue::pop() {
  const auto Queue = nextAccount();
  if (Queue == Accounts.end())
    return std::nullopt;
  SystemVirtualTime = Queue->second.VirtualTime;
  Queue->second.VirtualTime += chargeOf(
      Queue->second.Items.begin()->first.Priority, Queue->second.Weight);
  return extractItem(Queue, Queue->second.Items.begin());
}

void fair_queue::requeue(const work_item &Item) {
  insert(Item);
  account_queue &Queue = Accounts.at(Item.Account);
  Queue.VirtualTime =
      std::max(SystemVirtualTime,
               Queue.VirtualTime - chargeOf(Item.Priority, Queue.Weight));
}

void fair_queue::take(request_id Id) {
  const auto Place = Places.find(Id);
  if (Place == Places.end())
    return;
  const auto Queue = Accounts.find(Place->second.Account);
  // Not the taken item's time: accounts that come before it still wait.
  SystemVirtualTime =
      std::max(SystemVirtualTime, nextAccount()->second.VirtualTime);
  Queue->second.VirtualTime +=
      chargeOf(Place->second.Order.Priority, Queue->second.Weight);
  extractItem(Queue, Queue->second.Items.find(Place->second.Order));
}

bool fair_queue::remove(request_id Id) {
  const auto Place = Places.find(Id);
  if (Place == Places.end())
    return false;
  const auto Queue = Accounts.find(Place->second.Account);
  extractItem(Queue, Queue->second.Items.find(Place->second.Order));
  return true;
}

std::vector<work_item> fair_queue::expire(time_point Now) {
  std::vector<work_item> Expired;
  while (!ByDeadline.empty() && ByDeadline.begin()->first <= Now) {
    const place Place = Places.at(ByDeadline.begin()->second);
    const auto Queue = Accounts.find(Place.Account);
    Expired.push_back(
        extractItem(Queue, Queue->second.Items.find(Place.Order)));
  }
  return Expired;
}

std::vector<work_item> fair_queue::drain() { return expire(time_point::max()); }

std::size_t fair_queue::countAhead(const work_item &Item) const {
  const auto Queue = Accounts.find(Item.Account);
  if (Queue == Accounts.end())
    return 0;
  const auto &Items = Queue->second.Items;
  const queue_order Order{Item.Priority, Item.Deadline, Item.Id};
  if (Items.empty() || Items.rbegin()->first < Order)
    return Items.size();
  return static_cast<std::size_t>(
      std::distance(Items.begin(), Items.lower_bound(Order)));
}

std::vector<work_item> fair_queue::itemsInOrder() const {
  struct cursor {
    double VirtualTime;
    std::size_t Rank; ///< Among the names, which decide ties.
    const account_queue *Queue;
    std::map<queue_order, work_item>::const_iterator Next;
  };
  const auto IsLater = [](const cursor &Left, const cursor &Right) {
    return std::pair(Left.VirtualTime, Left.Rank) >
           std::pair(Right.VirtualTime, Right.Rank);
  };
  std::vector<cursor> Heap;
  Heap.reserve(Accounts.size());
  for (const auto &[Name, Queue] : Accounts)
    Heap.push_back(
        {Queue.VirtualTime, Heap.size(), &Queue, Queue.Items.begin()});
  std::make_heap(Heap.begin(), Heap.end(), IsLater);
  std::vector<work_item> All;
  All.reserve(size());
  while (!Heap.empty()) {
    std::pop_heap(Heap.begin(), Heap.end(), IsLater);
    cursor &First = Heap.back();
    All.push_back(First.Next->second);
    First.VirtualTime +=
        chargeOf(First.Next->first.Priority, First.Queue->Weight);
    if (++First.Next == First.Queue->Items.end())
      Heap.pop_back();
    else
      std::push_heap(Heap.begin(), Heap.end(), IsLater);
  }
  return All;
}

double fair_queue::shareOf(const std::string &Account, int Weight) const {
  double Total = Weight;
  for (const auto &[Name, Queue] : Accounts) {
    if (Name != Account)
      Total += Queue.Weight;
  }
  return Weight / Total;
}

} // namespace agatedale
