/// \file
/// agatedale-entry: the process on each entry VM.
#include "../src/core/log.h"
#include "agatedale/entry_node.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>

namespace {

using namespace agatedale;

constexpr int ExitBadSettings = 1;
constexpr int ExitUsage = 2;

int fail(const error &Error) {
  fmt::print(stderr, "agatedale-entry: {}\n", Error.Message);
  return ExitBadSettings;
}

/// Waits for SIGTERM or SIGINT, which every thread has blocked.
void waitForStopSignal(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

int run(const settings &Settings) {
  setLogLevel(Settings.Level);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto Node = entry_node::start(Settings);
  if (const error *Error = errorOf(Node))
    return fail(*Error);
  waitForStopSignal(Signals);
  valueOf(Node)->stop();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("agatedale-entry",
                           "Serves callers on an entry VM of agatedale.");
  Options.add_options()("settings", "TOML file with the process's settings",
                        cxxopts::value<std::string>())(
      "check", "check the settings and exit")("version", "print the version")(
      "help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help")) {
      fmt::print("{}\nExit codes: 0 stopped or checked, 1 bad settings or an "
                 "address in use, 2 wrong usage\n",
                 Options.help());
      return 0;
    }
    if (Parsed.count("version")) {
      fmt::print("agatedale-entry {}\n", AGATEDALE_VERSION);
      return 0;
    }
    if (!Parsed.count("settings")) {
      fmt::print(stderr, "agatedale-entry: --settings FILE must be given\n");
      return ExitUsage;
    }
    const auto Settings =
        settings::fromFile(Parsed["settings"].as<std::string>());
    if (const error *Error = errorOf(Settings))
      return fail(*Error);
    if (Parsed.count("check")) {
      fmt::print("settings are good\n");
      return 0;
    }
    return run(valueOf(Settings));
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "agatedale-entry: {}\n", Failure.what());
    return ExitUsage;
  }
}
