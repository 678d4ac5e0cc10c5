/// \file
/// Asynchronous calls to the store.
#pragma once

#include "agatedale/store_follower.h"
#include "event_loop.h"
#include "platform/store_client.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace agatedale {

/// Runs calls to the store on worker threads, so that a slow store delays no
/// request. Results are posted to the event loop.
///
///   Worker->read(Read, [](const result<table_update> &Update) { ... });
class store_worker {
public:
  using read_done = std::function<void(const result<table_update> &Update)>;
  using rows_done =
      std::function<void(const result<std::vector<stored_row>> &Rows)>;
  /// Receives the version of the store after the change.
  using write_done = std::function<void(const result<store_version> &Version)>;

  static result<std::unique_ptr<store_worker>>
  start(event_loop &Loop, const std::string &Address);
  /// Ends calls that are running, whose results are not posted any more.
  ~store_worker();

  void read(const store_read &Read, read_done Done);
  /// Reads the rows whose key begins with \p Prefix, the first \p MaxRows.
  void readRange(store_table Table, std::string Prefix, rows_done Done,
                 std::size_t MaxRows = platform::store_client::PageRows);
  /// Reads the row \p Key; the result is empty if there is none. It does not
  /// wait for long polls.
  void readRow(store_table Table, std::string Key, rows_done Done);
  /// Writes rows together if the last of them still has the version
  /// \p Expected.
  void writeIf(std::vector<platform::store_client::row_write> Rows,
               store_version Expected, write_done Done);
  /// Writes rows together.
  void write(std::vector<platform::store_client::row_write> Rows,
             write_done Done);
  /// Removes rows together if the first of them still has \p Version.
  void remove(std::vector<platform::store_client::row_name> Rows,
              store_version Version, write_done Done);

private:
  using job = std::function<void(platform::store_client &Client)>;

  store_worker(event_loop &Loop, std::unique_ptr<platform::store_client> Reader,
               std::unique_ptr<platform::store_client> Writer);

  /// A queue of calls with its own thread and its own connection.
  struct call_queue {
    std::unique_ptr<platform::store_client> Client;
    std::mutex Lock;
    std::condition_variable Changed;
    std::deque<job> Jobs;
    bool Stopping = false;
    std::thread Thread;

    void add(job Job);
    void run();
    void stop();
  };

  event_loop &Loop;
  // Separate queues, so that a long poll does not delay writes.
  call_queue ReadQueue;
  call_queue WriteQueue;
};

} // namespace agatedale
