/// \file
/// Answers on blocking sockets, with a thread for each connection.
#include "backend.h"

#include <Poco/Exception.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>

namespace agatedale::review {

namespace {

constexpr Poco::Timespan::TimeDiff PollMicros = 10'000;

std::string headerOf(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  const std::size_t Begin = At + Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

void send(Poco::Net::StreamSocket &Socket, const std::string &Bytes) {
  Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()), MSG_NOSIGNAL);
}

} // namespace

backend::backend(settings NewSettings, record &Record)
    : Settings(std::move(NewSettings)), Record(Record),
      AnswerBody(Settings.Id) {
  AnswerBody.resize(std::max(AnswerBody.size(), Settings.AnswerBytes), '.');
  constexpr int Backlog = 256;
  Listener.bind(Poco::Net::SocketAddress(Settings.Address), true);
  Listener.listen(Backlog);
  Acceptor = std::thread([this] { acceptAll(); });
}

backend::~backend() {
  Stopping = true;
  Acceptor.join();
  for (std::thread &Thread : Threads)
    Thread.join();
}

void backend::becomeCold(milliseconds Length) {
  ColdUntil = clock::now() + Length;
}

int backend::coldLeftMs() const {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(ColdUntil.load() - clock::now());
  return static_cast<int>(std::max<std::int64_t>(Left.count(), 0));
}

std::string backend::nextReport(const std::string &State) {
  const std::lock_guard Guard(Lock);
  return fmt::format(
      R"({{"address":"{}","born":1700000000000,"info":{{"service":"desk",)"
      R"("version":"v1","zone":"{}","slots":{}}},"status":{{"state":"{}",)"
      R"("sequence":{},"warmup_left_ms":{}}}}})",
      Settings.Address, Settings.Zone, Settings.Slots, State, ++Reports,
      coldLeftMs());
}

std::vector<arrival> backend::arrivals() {
  const std::lock_guard Guard(Lock);
  return Arrivals;
}

void backend::acceptAll() {
  while (!Stopping) {
    if (!Listener.poll({PollMicros}, Poco::Net::Socket::SELECT_READ))
      continue;
    const Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    Threads.emplace_back([this, Socket] { serve(Socket); });
  }
}

void backend::serve(Poco::Net::StreamSocket Socket) {
  std::string Buffer;
  try {
    while (!Stopping) {
      if (!Socket.poll({PollMicros}, Poco::Net::Socket::SELECT_READ))
        continue;
      std::array<char, 4096> Part; // NOLINT: filled by receiveBytes
      const int Count = Socket.receiveBytes(Part.data(), Part.size());
      if (Count <= 0)
        return;
      Buffer.append(Part.data(), static_cast<std::size_t>(Count));
      const std::size_t End = Buffer.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      const std::string Head = Buffer.substr(0, End + 2);
      const std::string Length = headerOf(Head, "Content-Length");
      const std::size_t Whole =
          End + 4 + (Length.empty() ? 0 : std::stoul(Length));
      if (Buffer.size() < Whole)
        continue;
      const std::string Body = Buffer.substr(End + 4, Whole - End - 4);
      Buffer.erase(0, Whole);
      if (!answer(Socket, Head, Body))
        return;
    }
  } catch (const Poco::Exception &) {
    return; // The gateway closed the connection.
  }
}

/// Drawn from the id, so that a repeat meets another draw at another server.
bool backend::sheds(const std::string &RequestId) const {
  constexpr std::size_t Steps = 1000;
  const std::size_t Draw =
      std::hash<std::string>()(RequestId + Settings.Id) % Steps;
  return static_cast<double>(Draw) < ShedShare * Steps;
}

/// Returns false if the connection closed while the request was at work.
bool backend::work(Poco::Net::StreamSocket &Socket) const {
  const auto End = clock::now() + Settings.Work;
  while (clock::now() < End) {
    const auto Left = std::chrono::duration_cast<std::chrono::microseconds>(
        End - clock::now());
    const auto Step =
        std::clamp<Poco::Timespan::TimeDiff>(Left.count(), 0, PollMicros);
    if (Stopping || Socket.poll({Step}, Poco::Net::Socket::SELECT_READ))
      return false;
  }
  return true;
}

bool backend::answer(Poco::Net::StreamSocket &Socket, const std::string &Head,
                     const std::string &Body) {
  const std::string Load =
      Settings.TellsLoad
          ? fmt::format("Server-Load: 0,0,{},100\r\n", Settings.Slots)
          : "";
  if (Head.starts_with("GET /healthz ")) {
    send(Socket, fmt::format("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n"
                             "Warmup-Ms: {}\r\n{}Content-Length: 0\r\n\r\n",
                             Settings.Id, coldLeftMs(), Load));
    return true;
  }
  const std::string Id = headerOf(Head, "Request-Id");
  const bool Sheds = sheds(Id);
  arrival Arrival{clock::now(), clock::now(), Id, Body, !Sheds};
  Record.write(fmt::format("{} reaches {} with {} bytes{}", Id, Settings.Id,
                           Body.size(), Sheds ? ", not run" : ", run"));
  const bool IsWhole = Sheds || work(Socket);
  Arrival.EndedAt = clock::now();
  {
    const std::lock_guard Guard(Lock);
    Arrivals.push_back(Arrival);
  }
  if (!IsWhole) {
    Record.write(
        fmt::format("{} ends at {}: connection closed", Id, Settings.Id));
    return false;
  }
  send(Socket, Sheds ? fmt::format("HTTP/1.1 503 Service Unavailable\r\n"
                                   "Not-Executed: 1\r\nRequest-Id: {}\r\n{}"
                                   "Content-Length: 0\r\n\r\n",
                                   Id, Load)
                     : fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {0}\r\n"
                                   "Response-Signature: s-{0}\r\n{1}"
                                   "Content-Length: {2}\r\n\r\n{3}",
                                   Id, Load, AnswerBody.size(), AnswerBody));
  return true;
}

} // namespace agatedale::review
