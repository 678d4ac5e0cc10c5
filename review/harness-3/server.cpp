/// \file
/// Blocking sockets, a thread for each connection.
#include "server.h"
#include "sockets.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace agatedale::review {

namespace {

constexpr int PollMillis = 20;
constexpr int ColdFactor = 2; ///< How much slower a cold server works.

/// Returns the value of \p Name in the head of \p Request.
std::string headerOf(const std::string &Request, const std::string &Name) {
  const std::size_t At = Request.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Name.size() + 4;
  return Request.substr(Begin, Request.find("\r\n", Begin) - Begin);
}

/// Returns the length of the first request in \p Buffer; 0 if it is not whole.
std::size_t wholeRequest(const std::string &Buffer) {
  const std::size_t HeadEnd = Buffer.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  const std::string Head = Buffer.substr(0, HeadEnd + 2);
  const std::size_t Length =
      HeadEnd + 4 +
      std::strtoull(headerOf(Head, "Content-Length").c_str(), nullptr, 10);
  return Buffer.size() < Length ? 0 : Length;
}

bool isReadable(int Socket, int Millis) {
  pollfd Poll{Socket, POLLIN, 0};
  return ::poll(&Poll, 1, Millis) > 0;
}

} // namespace

server::server(const server_terms &Terms)
    : Terms(Terms),
      Born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      Listener(listenOn(Terms.Ip, Terms.Port)) {
  Acceptor = std::thread([this] { acceptAll(); });
}

server::~server() {
  Stopping = true;
  SlotFree.notify_all();
  Acceptor.join();
  ::close(Listener);
  for (std::thread &Thread : Threads)
    Thread.join();
}

std::chrono::milliseconds server::coldLeft() const {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      ColdUntil.load() - steady_clock::now());
  return std::max(Left, std::chrono::milliseconds(0));
}

std::string server::nextRow() {
  return fmt::format(
      R"({{"address":"{}:{}","info":{{"service":"{}","version":"v1",)"
      R"("zone":"{}","slots":{}}},"status":{{"state":"ready",)"
      R"("sequence":{},"warmup_left_ms":{}}},"born":{}}})",
      Terms.Ip, Terms.Port, Terms.Service, Terms.Zone, Terms.Slots, ++Sequence,
      coldLeft().count(), Born);
}

void server::becomeCold(std::chrono::milliseconds Length) {
  ColdUntil = steady_clock::now() + Length;
}

std::vector<arrival> server::arrivals() {
  const std::lock_guard Guard(Lock);
  return Arrivals;
}

void server::acceptAll() {
  while (!Stopping) {
    if (!isReadable(Listener, PollMillis))
      continue;
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket >= 0)
      Threads.emplace_back([this, Socket] { serve(Socket); });
  }
}

void server::serve(int Socket) {
  std::string Buffer;
  while (!Stopping) {
    if (!isReadable(Socket, PollMillis))
      continue;
    std::array<char, 4096> Part{};
    const ssize_t Count = ::recv(Socket, Part.data(), Part.size(), 0);
    if (Count <= 0)
      break;
    Buffer.append(Part.data(), static_cast<std::size_t>(Count));
    const std::size_t Whole = wholeRequest(Buffer);
    if (Whole == 0)
      continue;
    const std::string Answer = answerTo(Buffer.substr(0, Whole), Socket);
    Buffer.erase(0, Whole);
    if (Answer.empty() || !sendAll(Socket, Answer))
      break;
  }
  ::close(Socket);
}

std::string server::load() {
  const std::lock_guard Guard(Lock);
  return fmt::format("Server-Load: {},{},{},100\r\n", Running, Waiting,
                     Terms.Slots);
}

/// Returns the answer; nothing if the connection has ended meanwhile.
std::string server::answerTo(const std::string &Request, int Socket) {
  const auto ColdLeft = coldLeft();
  const std::string Warmup =
      ColdLeft.count() > 0 ? fmt::format("Warmup-Ms: {}\r\n", ColdLeft.count())
                           : "";
  if (Request.starts_with("GET /healthz "))
    return fmt::format("HTTP/1.1 {}\r\nInstance-Id: {}\r\n{}{}"
                       "Content-Length: 0\r\n\r\n",
                       SaysIll ? "503 Service Unavailable" : "200 OK", Terms.Id,
                       load(), Warmup);
  const std::string RequestId = headerOf(Request, "Request-Id");
  if (headerOf(Request, "Expect-Instance") != Terms.Id)
    return fmt::format("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\n"
                       "Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                       RequestId, Terms.Id);
  std::string Refusal =
      fmt::format("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                  "Request-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                  RequestId, load());
  const auto Now = steady_clock::now();
  std::size_t Index = 0;
  {
    const std::lock_guard Guard(Lock);
    Index = Arrivals.size();
    Arrivals.push_back({RequestId, Now, ColdLeft.count() > 0, false});
    if (Running + Waiting >= Terms.Slots + Terms.QueueLength)
      return Refusal;
  }
  const auto Deadline =
      Now + std::chrono::milliseconds(std::strtoll(
                headerOf(Request, "Deadline-Ms").c_str(), nullptr, 10));
  if (!awaitSlot(Deadline))
    return Refusal;
  {
    const std::lock_guard Guard(Lock);
    Arrivals[Index].Runs = true;
  }
  const bool IsWanted =
      work(Socket, Terms.Work * (ColdLeft.count() > 0 ? ColdFactor : 1));
  releaseSlot();
  if (!IsWanted)
    return "";
  const std::string Body = Terms.Id + " has run " + RequestId;
  return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                     "Response-Signature: sig-{}\r\n{}"
                     "Content-Length: {}\r\n\r\n{}",
                     RequestId, RequestId, load(), Body.size(), Body);
}

bool server::awaitSlot(steady_clock::time_point Deadline) {
  std::unique_lock Guard(Lock);
  ++Waiting;
  const bool HasSlot = SlotFree.wait_until(
      Guard, Deadline, [this] { return Stopping || Running < Terms.Slots; });
  --Waiting;
  if (!HasSlot || Stopping)
    return false;
  ++Running;
  return true;
}

void server::releaseSlot() {
  {
    const std::lock_guard Guard(Lock);
    --Running;
  }
  SlotFree.notify_one();
}

/// Works for \p Length. Returns false if the connection ends meanwhile.
bool server::work(int Socket, std::chrono::milliseconds Length) const {
  const auto End = steady_clock::now() + Length;
  while (steady_clock::now() < End) {
    if (Stopping || isReadable(Socket, PollMillis / 4))
      return false;
  }
  return true;
}

} // namespace agatedale::review
