/// \file
/// The record of a case.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>

namespace agatedale::review {

using steady_clock = std::chrono::steady_clock;

/// Writes lines with the time since the start of the case. May be used by
/// several threads.
///
///   record Record("review/11/record.txt");
///   Record.line("killed {}", Name);
class record {
public:
  explicit record(const std::string &File) : Out(File) {}

  template <typename... Args>
  void line(fmt::format_string<Args...> Format, Args &&...Values) {
    write(fmt::format(Format, std::forward<Args>(Values)...));
  }

  /// Returns the seconds since the start of the case.
  double seconds() const;

private:
  void write(const std::string &Line);

  std::mutex Lock;
  std::ofstream Out;
  steady_clock::time_point Began = steady_clock::now();
};

} // namespace agatedale::review
