/// \file
/// Worker threads for calls to the store.
#include "store_worker.h"

namespace agatedale {

namespace {

/// Bounds a read beyond its long-poll wait. The store answers within 5 ms, a
/// slow store within about 300 ms.
constexpr std::chrono::milliseconds ReadTimeout{800};

/// Bounds a write. The store queues writes for up to a second, and a write that
/// is given up is performed all the same.
constexpr std::chrono::milliseconds WriteTimeout{2000};

} // namespace

void store_worker::call_queue::add(job Job) {
  {
    const std::lock_guard Guard(Lock);
    Jobs.push_back(std::move(Job));
  }
  Changed.notify_one();
}

void store_worker::call_queue::run() {
  while (true) {
    job Job;
    {
      std::unique_lock Guard(Lock);
      Changed.wait(Guard, [this] { return Stopping || !Jobs.empty(); });
      if (Stopping)
        return;
      Job = std::move(Jobs.front());
      Jobs.pop_front();
    }
    Job(*Client);
  }
}

void store_worker::call_queue::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
  }
  Changed.notify_all();
  Client->interrupt();
  if (Thread.joinable())
    Thread.join();
}

store_worker::store_worker(event_loop &Loop,
                           std::unique_ptr<platform::store_client> Reader,
                           std::unique_ptr<platform::store_client> Writer)
    : Loop(Loop) {
  ReadQueue.Client = std::move(Reader);
  WriteQueue.Client = std::move(Writer);
  ReadQueue.Thread = std::thread([this] { ReadQueue.run(); });
  WriteQueue.Thread = std::thread([this] { WriteQueue.run(); });
}

result<std::unique_ptr<store_worker>>
store_worker::start(event_loop &Loop, const std::string &Address) {
  auto Reader = platform::store_client::create(Address, ReadTimeout, bootNow);
  if (const error *Error = errorOf(Reader))
    return *Error;
  auto Writer = platform::store_client::create(Address, WriteTimeout, bootNow);
  if (const error *Error = errorOf(Writer))
    return *Error;
  return std::unique_ptr<store_worker>(new store_worker(
      Loop, moveValue(std::move(Reader)), moveValue(std::move(Writer))));
}

store_worker::~store_worker() {
  ReadQueue.stop();
  WriteQueue.stop();
}

void store_worker::read(const store_read &Read, read_done Done) {
  ReadQueue.add([this, Read, Done = std::move(Done)](auto &Client) {
    const auto Update = std::make_shared<result<table_update>>(
        Read.IsSnapshot
            ? Client.readAll(Read.Table)
            : Client.readChanges(Read.Table, Read.After, Read.Wait));
    Loop.post([Update, Done] { Done(*Update); });
  });
}

void store_worker::readRange(store_table Table, std::string Prefix,
                             rows_done Done, std::size_t MaxRows) {
  ReadQueue.add([this, Table, Prefix = std::move(Prefix),
                 Done = std::move(Done), MaxRows](auto &Client) {
    const auto Rows = std::make_shared<result<std::vector<stored_row>>>(
        Client.readRange(Table, Prefix, MaxRows));
    Loop.post([Rows, Done] { Done(*Rows); });
  });
}

void store_worker::readRow(store_table Table, std::string Key, rows_done Done) {
  WriteQueue.add([this, Table, Key = std::move(Key),
                  Done = std::move(Done)](auto &Client) {
    const auto Rows = std::make_shared<result<std::vector<stored_row>>>(
        Client.readRange(Table, Key));
    if (!errorOf(*Rows))
      std::erase_if(valueOf(*Rows),
                    [&Key](const stored_row &Row) { return Row.Key != Key; });
    Loop.post([Rows, Done] { Done(*Rows); });
  });
}

void store_worker::writeIf(std::vector<platform::store_client::row_write> Rows,
                           store_version Expected, write_done Done) {
  WriteQueue.add([this, Rows = std::move(Rows), Expected,
                  Done = std::move(Done)](auto &Client) {
    const result<store_version> Result = Client.writeIf(Rows, Expected);
    Loop.post([Result, Done] { Done(Result); });
  });
}

void store_worker::write(std::vector<platform::store_client::row_write> Rows,
                         write_done Done) {
  WriteQueue.add(
      [this, Rows = std::move(Rows), Done = std::move(Done)](auto &Client) {
        const result<store_version> Result = Client.write(Rows);
        Loop.post([Result, Done] { Done(Result); });
      });
}

void store_worker::remove(std::vector<platform::store_client::row_name> Rows,
                          store_version Version, write_done Done) {
  WriteQueue.add([this, Rows = std::move(Rows), Version,
                  Done = std::move(Done)](auto &Client) {
    const result<store_version> Result = Client.remove(Rows, Version);
    Loop.post([Result, Done] { Done(Result); });
  });
}

} // namespace agatedale
