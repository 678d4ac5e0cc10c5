/// \file
/// Formats log lines and writes them from a background thread.
#include "log.h"
#include "log_rate_limiter.h"
#include "utf8.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace agatedale {

namespace {

std::atomic<log_level> MinLevel{log_level::Info};

std::string_view levelName(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    break;
  }
  return "error";
}

std::string jsonText(std::string_view Value) {
  std::string Text = "\"";
  for (const char C : toUtf8(Value)) {
    if (C == '"' || C == '\\')
      Text.push_back('\\');
    const bool IsControl = static_cast<unsigned char>(C) < ' ';
    Text.push_back(IsControl ? ' ' : C);
  }
  return Text + "\"";
}

/// Maximum number of lines per second for each event.
constexpr int MaxEventLinesPerSecond = 50;

/// Capacity of the queue to the writer thread; further lines are dropped.
constexpr std::size_t MaxPendingLines = 2000;

/// Queues lines from all threads and writes them from its own thread, so that a
/// slow reader of standard output never blocks a caller.
class log_writer {
public:
  log_writer() : Writer([this] { run(); }) {}

  ~log_writer() {
    {
      const std::lock_guard Guard(Lock);
      Stopping = true;
    }
    Changed.notify_one();
    Writer.join();
  }

  void write(log_level Level, std::string_view Event, std::int64_t Second,
             std::string_view Time, std::initializer_list<log_field> Fields) {
    {
      const std::lock_guard Guard(Lock);
      if (!RateLimiter.admit(Event, Second))
        return;
      if (PendingLines.size() >= MaxPendingLines) {
        ++DroppedLines;
        return;
      }
      const std::uint64_t SuppressedLines =
          RateLimiter.takeSuppressedLines(Event) +
          std::exchange(DroppedLines, 0);
      PendingLines.push_back(
          formatLogLine(Level, Event, Time, Fields, SuppressedLines));
    }
    Changed.notify_one();
  }

private:
  void run() {
    while (true) {
      std::deque<std::string> Lines;
      bool Last = false;
      {
        std::unique_lock Guard(Lock);
        Changed.wait(Guard,
                     [this] { return Stopping || !PendingLines.empty(); });
        Lines.swap(PendingLines);
        Last = Stopping;
      }
      for (const std::string &Line : Lines)
        std::fwrite(Line.data(), 1, Line.size(), stdout);
      std::fflush(stdout);
      if (Last)
        return;
    }
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::deque<std::string> PendingLines;
  std::uint64_t DroppedLines = 0;
  log_rate_limiter RateLimiter{MaxEventLinesPerSecond};
  bool Stopping = false;
  std::thread Writer;
};

} // namespace

void setLogLevel(log_level Level) { MinLevel = Level; }

std::string formatLogLine(log_level Level, std::string_view Event,
                          std::string_view Time,
                          std::initializer_list<log_field> Fields,
                          std::uint64_t SuppressedLines) {
  std::string Line = fmt::format(R"({{"time":"{}","level":"{}","event":"{}")",
                                 Time, levelName(Level), Event);
  for (const log_field &Field : Fields)
    Line += fmt::format(R"(,"{}":{})", Field.Key,
                        Field.IsNumber ? Field.Value : jsonText(Field.Value));
  if (SuppressedLines > 0)
    Line += fmt::format(R"(,"left_out":{})", SuppressedLines);
  return Line + "}\n";
}

void logLine(log_level Level, std::string_view Event,
             std::initializer_list<log_field> Fields) {
  if (Level < MinLevel.load())
    return;
  static log_writer Writer;
  const auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const std::time_t Second = std::chrono::system_clock::to_time_t(Now);
  const std::string Time =
      fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(Second),
                  Now.time_since_epoch().count() % 1000);
  Writer.write(Level, Event, Second, Time, Fields);
}

} // namespace agatedale
