/// \file
/// A gateway as a process of its own.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace agatedale::review {

/// Starts the program of the deploy file and signals it by its id. The process
/// is killed when this object is destroyed.
///
///   gateway Gateway("vm-0", "127.0.0.1", SettingsFile, LogFile);
///   Gateway.start();
class gateway {
public:
  gateway(std::string Name, std::string Ip, std::string Settings,
          std::string Log, std::size_t MaxDescriptors)
      : Name(std::move(Name)), Ip(std::move(Ip)), Settings(std::move(Settings)),
        Log(std::move(Log)), MaxDescriptors(MaxDescriptors) {}
  ~gateway() { kill(); }
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  bool start();
  void signal(int Signal) const;

  /// Ends the process at once and waits for its end.
  void kill();

  /// Returns true if the process runs. Once it has ended by itself, ended() is
  /// how, as by waitpid().
  bool isRunning();
  int ended() const { return Ended; }

  /// Returns the resident memory in MiB; 0 if the process does not run.
  double memoryMb() const;

  const std::string &name() const { return Name; }
  const std::string &ip() const { return Ip; }
  const std::string &settings() const { return Settings; }
  pid_t pid() const { return Pid; }

private:
  std::string Name;
  std::string Ip;
  std::string Settings;
  std::string Log;
  std::size_t MaxDescriptors;
  pid_t Pid = -1;
  int Ended = 0;
};

} // namespace agatedale::review
