/// \file
/// Event loop for sockets, timers and tasks posted by other threads.
#pragma once

#include "agatedale/result.h"
#include "agatedale/turn_clock.h"
#include "gateway_clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// Runs the handlers of sockets and timers on one thread. Only this thread may
/// access the state of connections; other threads submit tasks with post().
///
///   auto Loop = event_loop::create();
///   valueOf(Loop)->after(20ms, Tick);
///   valueOf(Loop)->run();
class event_loop {
public:
  using task = std::function<void()>;
  using socket_handler = std::function<void(int Modes)>;
  using timer_id = std::uint64_t;

  static result<std::unique_ptr<event_loop>> create();

  /// Calls \p Handler when \p Socket is ready for one of \p Modes, a
  /// combination of PollSet modes.
  void watch(const Poco::Net::Socket &Socket, int Modes,
             socket_handler Handler);
  void setModes(const Poco::Net::Socket &Socket, int Modes);
  void unwatch(const Poco::Net::Socket &Socket);

  /// Calls \p Task once after \p Delay.
  timer_id after(duration Delay, task Task);
  void cancel(timer_id Timer);

  /// Runs \p Task on the loop's thread. May be called from any thread.
  void post(task Task);

  /// Bounds how long what is handled in this turn may have waited.
  const turn_clock &turnClock() const { return Clock; }

  /// Calls \p Handler at the end of each late turn with the longest time that
  /// an event may have waited.
  void setLateHandler(std::function<void(duration)> Handler) {
    OnLate = std::move(Handler);
  }

  /// Runs the loop until stop() is called. May be called again afterwards.
  void run();
  void stop() { Stopping = true; }

private:
  event_loop() = default;

  template <typename Task> static void runGuarded(const Task &Run);
  void runPosted();
  void runTimers();
  void runTimersAfterEvents();
  Poco::Timespan untilNextTimer(time_point Now) const;
  Poco::Net::PollSet::SocketModeMap waitForEvents();
  void handleEvents(const Poco::Net::PollSet::SocketModeMap &Ready);
  void reportIfLate();
  void wake();
  void resetWakeUp();

  Poco::Net::PollSet Sockets;
  turn_clock Clock;
  bool TimersWait = false; ///< Not run in the turn before.
  std::function<void(duration)> OnLate;
  std::unordered_map<const Poco::Net::SocketImpl *,
                     std::shared_ptr<socket_handler>>
      Handlers;
  std::map<std::pair<time_point, timer_id>, task> Timers;
  std::unordered_map<timer_id, time_point> TimerDeadlines;
  timer_id LastTimer = 0;
  std::mutex PostLock;
  std::vector<task> Posted;
  Poco::Net::Socket WakeUp;
  int WakeUpDescriptor = -1;
  std::atomic<bool> Stopping{false};
};

} // namespace agatedale
