/// \file
/// What was sent, answered and run, a line each.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace agatedale::review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The record of a case, written from several threads.
///
///   record Record("record.txt");
///   Record.line("sent q-1");
class record {
public:
  explicit record(const std::string &File) : Out(File) {}

  void line(const std::string &Text) {
    const std::lock_guard Guard(Lock);
    Out << since(clock::now()).count() << " ms  " << Text << std::endl;
  }

  milliseconds since(clock::time_point At) const {
    return std::chrono::duration_cast<milliseconds>(At - Begin);
  }

private:
  std::mutex Lock;
  std::ofstream Out;
  clock::time_point Begin = clock::now();
};

} // namespace agatedale::review
