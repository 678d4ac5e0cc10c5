/// \file
/// A fleet of real processes on loopback addresses, for tests of failures.
#pragma once

#include "../../tools/fleet_client.h"

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace agatedale {

/// What a caller saw of one request.
struct caller_answer {
  int Status = 0; ///< 0 when the connection failed.
  std::string Verdict;
  std::string Reason;
  std::string Body;
};

/// Starts, stops, freezes and kills processes; everything ends with the object.
///
///   process_fleet Fleet("owner_killed");
///   Fleet.startAll();
///   Fleet.signal(Fleet.ownerOf("orders/a/0"), SIGKILL);
class process_fleet {
public:
  /// \p Test names the folder that settings and logs go to.
  explicit process_fleet(const std::string &Test);
  ~process_fleet();
  process_fleet(const process_fleet &) = delete;
  process_fleet &operator=(const process_fleet &) = delete;

  /// Starts platform, backend servers and four entry VMs (two in zone a, two in
  /// zone b), publishes, and waits until everything is owned.
  void startAll();

  void startPlatform();
  void startBackends(const std::vector<std::string> &Options = {});
  void startVm(const std::string &Name, int Number, const std::string &Zone,
               const std::string &Region = "r");

  void signal(const std::string &Name, int Signal);

  /// Waits for a process to end and returns its exit code, or -1.
  int waitEnd(const std::string &Name, std::chrono::milliseconds Limit);

  /// Drops a VM from the platform's list.
  void unlist(const std::string &Name);

  /// Sends faults to the platform, such as "down_ms=5000".
  void platformFault(const std::string &Query);

  /// Sends a control to one backend server, such as "silent=1".
  void backendControl(int Number, const std::string &Query);

  /// Sums one count over all backend servers.
  long backendSum(const std::string &Count);

  /// Sums the runs of the servers in one zone.
  long runsInZone(const std::string &Zone);

  pid_t pidOf(const std::string &Name) const { return Processes.at(Name); }

  /// Returns how often the backend servers of region r ran each key.
  std::map<std::string, int> runsByKey();

  /// Returns how often the backend servers ran \p Key.
  int runsOf(const std::string &Key);

  /// Runs agatedalectl; returns its exit code and what it printed.
  std::pair<int, std::string> ctl(const std::vector<std::string> &Arguments);

  /// Returns the VM that says it owns \p Subject; empty when none does.
  std::string ownerOf(const std::string &Subject);

  /// Returns every VM that says it owns \p Subject.
  std::vector<std::string> ownersOf(const std::string &Subject);

  /// Sends one request of client account \p Account through a VM.
  caller_answer call(const std::string &Vm, const std::string &Method,
                     const std::string &Path, const std::string &Key = "",
                     const std::string &Body = "",
                     const std::string &Account = "web");

  /// Returns everything that a VM logged, and what it would explain.
  std::string recordsOf(const std::string &Vm);

  std::string ipOf(const std::string &Vm) const { return Ips.at(Vm); }
  std::vector<std::string> vms() const;
  std::string configFolder() const { return Folder + "/config"; }

private:
  long countOf(int Server, const std::string &Count);
  void start(const std::string &Name, const std::vector<std::string> &Words);
  void writeConfiguration();
  void writeFleet();

  std::string Folder;
  std::map<std::string, pid_t> Processes;
  std::map<std::string, std::string> Ips;
  std::map<std::string, std::string> Listed;
};

/// Returns a fresh UUID of version 7.
std::string freshKey();

/// Waits until \p Condition holds; false when it did not within \p Limit.
bool eventually(std::chrono::milliseconds Limit,
                const std::function<bool()> &Condition);

/// Callers that send status checks and keyed orders through the live VMs all
/// the time, as the platform's balancer would have them, and remember what they
/// were told.
class background_load {
public:
  background_load(process_fleet &Fleet, std::vector<std::string> Vms,
                  int Threads);
  ~background_load() { stop(); }
  background_load(const background_load &) = delete;
  background_load &operator=(const background_load &) = delete;

  void stop();

  /// Sends nothing more to \p Vm.
  void avoid(const std::string &Vm);

  struct counts {
    long Answered = 0;
    long NotRun = 0;
    long MayHaveRun = 0;
  };
  counts statusChecks();
  counts orders();

  /// Returns a line for each request that was not answered: when, through which
  /// VM, and what the caller was told.
  std::string unansweredRequests();

  /// Compares every key with what the backend servers ran: returns a sentence
  /// for each that ran twice, was lost, or was falsely told as not run.
  std::vector<std::string> wrongKeys();

private:
  void run(unsigned Seed);
  void order(const std::string &Vm);
  void noteUnanswered(const std::string &Vm, const std::string &Method,
                      const caller_answer &Answer);

  process_fleet &Fleet;
  std::mutex Lock;
  std::vector<std::string> Vms;
  counts Status;
  counts Orders;
  std::map<std::string, std::string> Keys; ///< With the verdict told.
  std::string Unanswered;                  ///< A line each.
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace agatedale
