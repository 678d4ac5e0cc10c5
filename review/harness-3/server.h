/// \file
/// A backend server with slots, a short queue and a time after its start in
/// which it is cold.
#pragma once

#include "record.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace agatedale::review {

struct server_terms {
  std::string Id;
  std::string Ip;
  std::uint16_t Port = 0;
  std::string Service;
  std::string Zone;
  int Slots = 2;
  int QueueLength = 4;
  std::chrono::milliseconds Work{50};
  std::chrono::milliseconds ColdTime{0}; ///< After its start.
};

/// A request of a caller that has reached the server. Health checks and
/// requests for another instance are not among them.
struct arrival {
  std::string RequestId;
  steady_clock::time_point At;
  bool IsCold = false;
  bool Runs = false;
};

/// Serves requests as the users' pages say of targets. It runs from its
/// construction to its destruction.
///
///   server Server({.Id = "i-1", .Ip = "127.0.0.1", .Port = 8080});
class server {
public:
  explicit server(const server_terms &Terms);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  /// The row that the server writes of itself; each one has the next sequence.
  std::string nextRow();

  /// Returns how much longer the server is cold.
  std::chrono::milliseconds coldLeft() const;

  /// Makes the server cold from now on, as may happen at any moment.
  void becomeCold(std::chrono::milliseconds Length);

  /// Lets the health checks say that the server is ill, though it is well.
  void setSaysIll(bool Says) { SaysIll = Says; }

  std::vector<arrival> arrivals();
  const server_terms &terms() const { return Terms; }

private:
  void acceptAll();
  void serve(int Socket);
  std::string answerTo(const std::string &Request, int Socket);
  bool awaitSlot(steady_clock::time_point Deadline);
  void releaseSlot();
  bool work(int Socket, std::chrono::milliseconds Length) const;
  std::string load();

  server_terms Terms;
  std::atomic<steady_clock::time_point> ColdUntil;
  std::atomic<bool> SaysIll{false};
  std::int64_t Born = 0;
  int Sequence = 0;
  int Listener = -1;
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  std::condition_variable SlotFree;
  int Running = 0;
  int Waiting = 0;
  std::vector<arrival> Arrivals;
  std::thread Acceptor;
  std::vector<std::thread> Threads;
};

} // namespace agatedale::review
