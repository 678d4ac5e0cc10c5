/// \file
/// Blocking sockets with time limits.
#include "sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <string_view>

namespace agatedale::review {

namespace {

using steady_clock = std::chrono::steady_clock;

sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

int millisUntil(steady_clock::time_point End) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      End - steady_clock::now());
  return static_cast<int>(std::max<std::int64_t>(Left.count(), 0));
}

/// Returns the whole length of the response that \p Bytes begins with; 0 if
/// its head is not complete.
std::size_t wholeLength(const std::string &Bytes) {
  const std::size_t HeadEnd = Bytes.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  constexpr std::string_view Name = "\r\nContent-Length: ";
  const std::size_t At = Bytes.find(Name);
  std::size_t Length = 0;
  if (At < HeadEnd)
    std::from_chars(Bytes.data() + At + Name.size(),
                    Bytes.data() + Bytes.size(), Length);
  return HeadEnd + 4 + Length;
}

} // namespace

std::uint16_t freePort(const std::string &Ip) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = addressOf(Ip, 0);
  socklen_t Length = sizeof(Address);
  const bool IsBound =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) ==
          0;
  ::close(Socket);
  return IsBound ? ntohs(Address.sin_port) : 0;
}

int listenOn(const std::string &Ip, std::uint16_t Port) {
  constexpr int Backlog = 64;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  const int Reuse = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0 &&
      ::listen(Socket, Backlog) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

int connectTo(const std::string &Ip, std::uint16_t Port,
              std::chrono::milliseconds Wait) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = addressOf(Ip, Port);
  const int Result = ::connect(
      Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  int Failure = Result == 0 ? 0 : errno;
  if (Failure == EINPROGRESS) {
    pollfd Poll{Socket, POLLOUT, 0};
    socklen_t Length = sizeof(Failure);
    if (::poll(&Poll, 1, static_cast<int>(Wait.count())) > 0)
      ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Length);
  }
  if (Failure != 0) {
    ::close(Socket);
    return -1;
  }
  ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  return Socket;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

std::string readResponse(int Socket, std::chrono::milliseconds Wait) {
  const auto End = steady_clock::now() + Wait;
  std::string Bytes;
  while (true) {
    const std::size_t Whole = wholeLength(Bytes);
    if (Whole > 0 && Bytes.size() >= Whole)
      return Bytes;
    pollfd Poll{Socket, POLLIN, 0};
    if (::poll(&Poll, 1, millisUntil(End)) <= 0)
      return Bytes;
    std::array<char, 16 * 1024> Part{};
    const ssize_t Count = ::recv(Socket, Part.data(), Part.size(), 0);
    if (Count <= 0)
      return Bytes;
    Bytes.append(Part.data(), static_cast<std::size_t>(Count));
  }
}

int statusOf(const std::string &Response) {
  constexpr std::string_view Start = "HTTP/1.1 ";
  constexpr std::size_t Digits = 3;
  int Status = 0;
  if (Response.starts_with(Start) && Response.size() >= Start.size() + Digits)
    std::from_chars(Response.data() + Start.size(),
                    Response.data() + Start.size() + Digits, Status);
  return Status;
}

int exchange(const std::string &Ip, std::uint16_t Port,
             const std::string &Request, std::chrono::milliseconds Wait) {
  const int Socket = connectTo(Ip, Port, Wait);
  if (Socket < 0)
    return 0;
  const std::string Response =
      sendAll(Socket, Request) ? readResponse(Socket, Wait) : std::string();
  ::close(Socket);
  return statusOf(Response);
}

void raiseDescriptorLimit() {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace agatedale::review
