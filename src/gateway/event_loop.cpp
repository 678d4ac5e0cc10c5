/// \file
/// Event loop based on PollSet, with timers and posted tasks.
#include "event_loop.h"

#include "../core/log.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fmt/format.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace agatedale {

namespace {

/// Maximum time that the loop waits if no timer is due.
constexpr long MaxSleepMicros = 1'000'000;

/// PollSet rounds down to whole milliseconds; a shorter wait would make the
/// loop spin.
constexpr long MinSleepMicros = 1000;

/// Wraps an eventfd as a socket, because PollSet accepts sockets only. An
/// eventfd can be polled like a socket.
class event_socket : public Poco::Net::StreamSocket {
public:
  explicit event_socket(int File)
      : StreamSocket(new Poco::Net::StreamSocketImpl(File)) {}
};

} // namespace

result<std::unique_ptr<event_loop>> event_loop::create() {
  std::unique_ptr<event_loop> Loop(new event_loop);
  Loop->WakeUpDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (Loop->WakeUpDescriptor < 0)
    return error{error_kind::Unavailable,
                 fmt::format("cannot create eventfd: errno {}", errno)};
  Loop->WakeUp = event_socket(Loop->WakeUpDescriptor);
  Loop->Sockets.add(Loop->WakeUp, Poco::Net::PollSet::POLL_READ);
  return Loop;
}

void event_loop::watch(const Poco::Net::Socket &Socket, int Modes,
                       socket_handler Handler) {
  Handlers[Socket.impl()] =
      std::make_shared<socket_handler>(std::move(Handler));
  Sockets.add(Socket, Modes);
}

void event_loop::setModes(const Poco::Net::Socket &Socket, int Modes) {
  Sockets.update(Socket, Modes);
}

void event_loop::unwatch(const Poco::Net::Socket &Socket) {
  if (Handlers.erase(Socket.impl()) > 0)
    Sockets.remove(Socket);
}

event_loop::timer_id event_loop::after(duration Delay, task Task) {
  const timer_id Timer = ++LastTimer;
  const time_point At = bootNow() + Delay;
  Timers.emplace(std::pair{At, Timer}, std::move(Task));
  TimerDeadlines.emplace(Timer, At);
  return Timer;
}

void event_loop::cancel(timer_id Timer) {
  const auto Found = TimerDeadlines.find(Timer);
  if (Found == TimerDeadlines.end())
    return;
  Timers.erase({Found->second, Timer});
  TimerDeadlines.erase(Found);
}

void event_loop::post(task Task) {
  {
    const std::lock_guard Guard(PostLock);
    Posted.push_back(std::move(Task));
    if (Posted.size() > 1)
      return;
  }
  wake();
}

void event_loop::wake() {
  const std::uint64_t One = 1;
  // If the counter is at its maximum the write fails, but the loop wakes up
  // anyway. The result can be ignored.
  [[maybe_unused]] const auto Written =
      ::write(WakeUpDescriptor, &One, sizeof(One));
}

void event_loop::resetWakeUp() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const auto Read =
      ::read(WakeUpDescriptor, &Count, sizeof(Count));
}

/// Runs \p Task. An exception ends this task only: the requests of all others
/// would be lost with the process.
template <typename Task> void event_loop::runGuarded(const Task &Run) {
  try {
    Run();
  } catch (const std::exception &Failure) {
    logLine(log_level::Error, "task-failed", {{"why", Failure.what()}});
  }
}

void event_loop::runPosted() {
  std::vector<task> Tasks;
  {
    const std::lock_guard Guard(PostLock);
    Tasks.swap(Posted);
  }
  for (const task &Task : Tasks)
    runGuarded(Task);
}

void event_loop::runTimers() {
  const time_point Now = bootNow();
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    const task Task = std::move(Timers.begin()->second);
    TimerDeadlines.erase(Timers.begin()->first.second);
    Timers.erase(Timers.begin());
    runGuarded(Task);
  }
}

/// Runs the timers, or leaves them for the next turn if this one was long: what
/// has arrived meanwhile may be what a timeout waits for.
void event_loop::runTimersAfterEvents() {
  TimersWait = !TimersWait && Clock.isLong(bootNow());
  if (!TimersWait)
    runTimers();
}

Poco::Timespan event_loop::untilNextTimer(time_point Now) const {
  if (Timers.empty())
    return Poco::Timespan(MaxSleepMicros);
  const long Micros =
      static_cast<long>(toMicros(Timers.begin()->first.first - Now));
  return Poco::Timespan(std::clamp(Micros, MinSleepMicros, MaxSleepMicros));
}

Poco::Net::PollSet::SocketModeMap event_loop::waitForEvents() {
  const time_point Now = bootNow();
  const duration Wait = Clock.beforeWait(
      Now, std::chrono::microseconds(untilNextTimer(Now).totalMicroseconds()));
  Poco::Net::PollSet::SocketModeMap Ready =
      Sockets.poll(Poco::Timespan(toMicros(Wait)));
  Clock.afterWait(bootNow());
  return Ready;
}

void event_loop::handleEvents(const Poco::Net::PollSet::SocketModeMap &Ready) {
  for (const auto &[Socket, Modes] : Ready) {
    if (Socket == WakeUp) {
      resetWakeUp();
      continue;
    }
    const auto Found = Handlers.find(Socket.impl());
    if (Found == Handlers.end())
      continue;
    // The handler may unwatch its own socket while it runs.
    const std::shared_ptr<socket_handler> Handler = Found->second;
    runGuarded([&Handler, Ready = Modes] { (*Handler)(Ready); });
  }
}

void event_loop::reportIfLate() {
  const time_point Now = bootNow();
  if (OnLate && Clock.isLate(Now))
    OnLate(Clock.longestWait(Now));
}

void event_loop::run() {
  while (!Stopping) {
    handleEvents(waitForEvents());
    runPosted();
    runTimersAfterEvents();
    reportIfLate();
  }
  Stopping = false;
}

} // namespace agatedale
