/// \file
/// The record of what a case sent, got back and ran.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace agatedale::review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes lines with the time since the start of the case, from any thread.
class record {
public:
  explicit record(const std::string &File) : Out(File) {}

  void write(std::string_view Line);

  /// Returns the time of \p At in milliseconds since the start of the case.
  long millisAt(clock::time_point At) const;

private:
  std::mutex Lock;
  std::ofstream Out;
  clock::time_point Start = clock::now();
};

} // namespace agatedale::review
