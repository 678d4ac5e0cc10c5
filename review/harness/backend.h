/// \file
/// A backend server that records what reaches it.
#pragma once

#include "record.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace agatedale::review {

/// A request that reached a backend server.
struct arrival {
  clock::time_point At;
  clock::time_point EndedAt; ///< When its run ended; \c At if it was not run.
  std::string Id;
  std::string Body;
  bool Ran = false;
};

/// Serves requests as the platform's pages say: one at a time on a connection,
/// stops the work when the connection closes, answers health checks at once.
class backend {
public:
  /// What the server is and how it behaves. Fixed while it runs.
  struct settings {
    std::string Id;
    std::string Address;
    std::string Zone;
    int Slots = 2;
    milliseconds Work{50};
    bool TellsLoad = true;
    std::size_t AnswerBytes = 0; ///< The answer's body is as long at least.
  };

  backend(settings Settings, record &Record);
  ~backend();
  backend(const backend &) = delete;
  backend &operator=(const backend &) = delete;

  /// Rejects, as not run, the share of the requests from now on.
  void setShedShare(double Share) { ShedShare = Share; }
  /// Becomes cold from now on, for \p Length.
  void becomeCold(milliseconds Length);

  /// Returns the next state that the server reports of itself to the store.
  std::string nextReport(const std::string &State);

  std::vector<arrival> arrivals();
  const std::string &id() const { return Settings.Id; }
  int coldLeftMs() const;

private:
  void acceptAll();
  void serve(Poco::Net::StreamSocket Socket);
  bool answer(Poco::Net::StreamSocket &Socket, const std::string &Head,
              const std::string &Body);
  bool work(Poco::Net::StreamSocket &Socket) const;
  bool sheds(const std::string &RequestId) const;

  settings Settings;
  record &Record;
  std::string AnswerBody;
  Poco::Net::ServerSocket Listener;
  std::atomic<bool> Stopping{false};
  std::atomic<double> ShedShare{0};
  std::atomic<clock::time_point> ColdUntil{clock::time_point{}};
  std::mutex Lock;
  std::vector<arrival> Arrivals;
  int Reports = 0;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

} // namespace agatedale::review
