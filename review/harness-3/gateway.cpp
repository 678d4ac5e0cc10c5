/// \file
/// Start, signals and memory of a gateway's process.
#include "gateway.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <limits>

namespace agatedale::review {

namespace {

constexpr const char *Program = "target/bin/agatedale-gateway";
constexpr mode_t LogMode = 0644;
constexpr double KilobytesPerMegabyte = 1024;

} // namespace

/// Other threads run beside the fork, so that the child calls functions only
/// that are safe in a signal handler.
bool gateway::start() {
  Pid = ::fork();
  if (Pid != 0)
    return Pid > 0;
  const int File =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
  ::dup2(File, STDOUT_FILENO);
  ::dup2(File, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
  // It ends with its starter, also if that one is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The platform allows a process the descriptors that its settings name.
  const rlimit Descriptors{MaxDescriptors, MaxDescriptors};
  ::setrlimit(RLIMIT_NOFILE, &Descriptors);
  ::execl(Program, Program, "--settings", Settings.c_str(), nullptr);
  ::_exit(127);
}

void gateway::signal(int Signal) const {
  if (Pid > 0)
    ::kill(Pid, Signal);
}

void gateway::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool gateway::isRunning() {
  if (Pid > 0 && ::waitpid(Pid, &Ended, WNOHANG) == Pid)
    Pid = -1;
  return Pid > 0;
}

double gateway::memoryMb() const {
  if (Pid <= 0)
    return 0;
  std::ifstream Status(fmt::format("/proc/{}/status", Pid));
  for (std::string Word; Status >> Word;) {
    double Kilobytes = 0;
    if (Word == "VmRSS:" && Status >> Kilobytes)
      return Kilobytes / KilobytesPerMegabyte;
  }
  return 0;
}

} // namespace agatedale::review
