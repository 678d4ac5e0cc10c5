/// \file
/// The threads that call the store.
#include "store_worker.h"

namespace agatedale {

namespace {

/// A call that the store did not answer in this time is given up. It answers
/// within 5 ms, and within some 300 ms when it is slow.
constexpr std::chrono::milliseconds CallTimeout{800};

} // namespace

void store_worker::lane::add(job Job) {
  {
    const std::lock_guard Guard(Lock);
    Jobs.push_back(std::move(Job));
  }
  Changed.notify_one();
}

void store_worker::lane::run() {
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

void store_worker::lane::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
  }
  Changed.notify_all();
  if (Thread.joinable())
    Thread.join();
}

store_worker::store_worker(event_loop &Loop,
                           std::unique_ptr<platform::store_client> Reader,
                           std::unique_ptr<platform::store_client> Writer)
    : Loop(Loop) {
  Reads.Client = std::move(Reader);
  Writes.Client = std::move(Writer);
  Reads.Thread = std::thread([this] { Reads.run(); });
  Writes.Thread = std::thread([this] { Writes.run(); });
}

result<std::unique_ptr<store_worker>>
store_worker::start(event_loop &Loop, const std::string &Address) {
  auto Reader = platform::store_client::create(Address, CallTimeout, bootNow);
  if (const error *Error = errorOf(Reader))
    return *Error;
  auto Writer = platform::store_client::create(Address, CallTimeout, bootNow);
  if (const error *Error = errorOf(Writer))
    return *Error;
  return std::unique_ptr<store_worker>(new store_worker(
      Loop, moveValue(std::move(Reader)), moveValue(std::move(Writer))));
}

store_worker::~store_worker() {
  Reads.stop();
  Writes.stop();
}

void store_worker::read(const store_read &Read, news_done Done) {
  Reads.add([this, Read, Done = std::move(Done)](auto &Client) {
    const auto News = std::make_shared<result<table_news>>(
        Read.Whole ? Client.readAll(Read.Table)
                   : Client.readChanges(Read.Table, Read.After, Read.Wait));
    Loop.post([News, Done] { Done(*News); });
  });
}

void store_worker::write(store_table Table, std::string Key, std::string Value,
                         write_done Done) {
  Writes.add([this, Table, Key = std::move(Key), Value = std::move(Value),
              Done = std::move(Done)](auto &Client) {
    const result<success> Result = Client.write(Table, Key, Value);
    Loop.post([Result, Done] { Done(Result); });
  });
}

void store_worker::remove(store_table Table, std::string Key,
                          std::uint64_t Version, write_done Done) {
  Writes.add([this, Table, Key = std::move(Key), Version,
              Done = std::move(Done)](auto &Client) {
    const result<success> Result = Client.remove(Table, Key, Version);
    Loop.post([Result, Done] { Done(Result); });
  });
}

} // namespace agatedale
