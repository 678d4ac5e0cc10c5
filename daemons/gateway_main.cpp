/// \file
/// agatedale-gateway: the process on each entry VM of the platform.
#include "../src/core/log.h"
#include "agatedale/gateway_node.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace {

using namespace agatedale;

constexpr int ExitBadSettings = 1;
constexpr int ExitUsage = 2;

int fail(const error &Error) {
  fmt::print(stderr, "agatedale-gateway: {}\n", Error.Message);
  return ExitBadSettings;
}

/// Checks a changed settings file. Addresses and places of a process cannot
/// change while it runs, so a good file is only confirmed.
void reload(const std::string &File) {
  const auto Settings = gateway_settings::fromFile(File);
  if (const error *Error = errorOf(Settings))
    logLine(log_level::Error, "settings-refused", {{"why", Error->Message}});
  else {
    setLogLevel(valueOf(Settings).Level);
    logLine(log_level::Info, "settings-read", {{"file", File}});
  }
}

/// Obeys signals, which every thread has blocked, until one asks for a stop.
void handleSignals(const sigset_t &Signals, const std::string &File,
                   gateway_node &Node) {
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0) {
    if (Signal == SIGHUP) {
      reload(File);
      continue;
    }
    Node.requestStop();
    return;
  }
}

/// Larger blocks are returned to the system when they are freed. By default the
/// C library raises this limit to the size of blocks that were freed, and
/// bodies of many MB then leave gaps: 125 MB were in use where 48 MB were held.
constexpr int MaxHeapBlockBytes = 256 * 1024;

int run(const gateway_settings &Settings, const std::string &File) {
#ifdef M_MMAP_THRESHOLD
  mallopt(M_MMAP_THRESHOLD, MaxHeapBlockBytes);
#endif
  setLogLevel(Settings.Level);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const auto Node = gateway_node::start(Settings);
  if (const error *Error = errorOf(Node))
    return fail(*Error);
  std::thread Handler([&Signals, &File, &Node] {
    handleSignals(Signals, File, *valueOf(Node));
  });
  valueOf(Node)->run();
  Handler.join();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("agatedale-gateway",
                           "Serves callers on an entry VM of the platform.");
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
      fmt::print("agatedale-gateway {}\n", AGATEDALE_VERSION);
      return 0;
    }
    if (!Parsed.count("settings")) {
      fmt::print(stderr, "agatedale-gateway: --settings FILE must be given\n");
      return ExitUsage;
    }
    const std::string File = Parsed["settings"].as<std::string>();
    const auto Settings = gateway_settings::fromFile(File);
    if (const error *Error = errorOf(Settings))
      return fail(*Error);
    if (Parsed.count("check")) {
      fmt::print("settings are good\n");
      return 0;
    }
    return run(valueOf(Settings), File);
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "agatedale-gateway: {}\n", Failure.what());
    return ExitUsage;
  }
}
