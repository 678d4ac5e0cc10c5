/// \file
/// Threads for work that must not hold up the thread that orders it.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace agatedale {

/// A fixed number of threads with a bounded queue.
///
///   task_pool Pool(8, 256);
///   if (!Pool.submit([] { work(); })) dropped();
class task_pool {
public:
  task_pool(std::size_t ThreadCount, std::size_t MaxQueued)
      : MaxQueued(MaxQueued) {
    for (std::size_t I = 0; I < ThreadCount; ++I)
      Threads.emplace_back([this] { work(); });
  }

  ~task_pool() { stop(); }

  /// Queues \p Task; false when the queue is full or the pool has stopped.
  bool submit(std::function<void()> Task) {
    {
      const std::lock_guard Guard(Lock);
      if (Stopping || Tasks.size() >= MaxQueued)
        return false;
      Tasks.push_back(std::move(Task));
    }
    Wake.notify_one();
    return true;
  }

  /// Finishes what is queued and ends the threads.
  void stop() {
    {
      const std::lock_guard Guard(Lock);
      Stopping = true;
    }
    Wake.notify_all();
    for (std::thread &Thread : Threads) {
      if (Thread.joinable())
        Thread.join();
    }
  }

private:
  void work() {
    for (;;) {
      std::function<void()> Task;
      {
        std::unique_lock Guard(Lock);
        Wake.wait(Guard, [this] { return Stopping || !Tasks.empty(); });
        if (Tasks.empty())
          return;
        Task = std::move(Tasks.front());
        Tasks.pop_front();
      }
      Task();
    }
  }

  std::size_t MaxQueued;
  std::mutex Lock;
  std::condition_variable Wake;
  std::deque<std::function<void()>> Tasks;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace agatedale
