/// \file
/// A socket that sends and reads at the same time.
#include "exchange.h"

#include <Poco/Net/SocketAddress.h>
#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace agatedale::review {

namespace {

constexpr std::size_t PartBytes = 64 * 1024;
constexpr int PollMs = 20;

/// Closes a socket at the end of its scope.
struct open_socket {
  int File = -1;
  open_socket() = default;
  open_socket(const open_socket &) = delete;
  open_socket &operator=(const open_socket &) = delete;
  ~open_socket() {
    if (File >= 0)
      ::close(File);
  }
};

bool isTemporary() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
         errno == ENOTCONN;
}

/// Moves one whole answer from the front of \p Buffer to \p Answers.
bool takeAnswer(std::string &Buffer, std::vector<seen_answer> &Answers) {
  constexpr std::size_t StatusAt = 9;
  constexpr std::string_view LengthField = "Content-Length: ";
  const std::size_t HeadEnd = Buffer.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return false;
  const std::size_t LengthAt = Buffer.find(LengthField);
  std::size_t Whole = HeadEnd + 4;
  if (LengthAt < HeadEnd)
    Whole += std::strtoul(Buffer.c_str() + LengthAt + LengthField.size(),
                          nullptr, 10);
  if (Buffer.size() < Whole)
    return false;
  Answers.push_back({std::atoi(Buffer.c_str() + StatusAt),
                     Buffer.substr(0, Whole), clock::now()});
  Buffer.erase(0, Whole);
  return true;
}

} // namespace

std::vector<seen_answer> exchange(const std::string &Address,
                                  const std::string &Bytes, std::size_t Count,
                                  milliseconds Limit) {
  const auto End = clock::now() + Limit;
  const Poco::Net::SocketAddress To(Address);
  std::vector<seen_answer> Answers;
  open_socket Socket;
  Socket.File =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket.File < 0 || (::connect(Socket.File, To.addr(), To.length()) != 0 &&
                          errno != EINPROGRESS))
    return Answers;
  std::size_t Sent = 0;
  std::string Buffer;
  std::array<char, PartBytes> Part{};
  while (Answers.size() < Count && clock::now() < End) {
    const bool IsSending = Sent < Bytes.size();
    pollfd Poll{Socket.File,
                static_cast<short>(POLLIN | (IsSending ? POLLOUT : 0)), 0};
    if (::poll(&Poll, 1, PollMs) <= 0)
      continue;
    if (IsSending && (Poll.revents & POLLOUT) != 0) {
      const ssize_t Taken = ::send(Socket.File, Bytes.data() + Sent,
                                   Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Taken < 0 && !isTemporary())
        return Answers;
      Sent += static_cast<std::size_t>(std::max<ssize_t>(Taken, 0));
    }
    if ((Poll.revents & (POLLIN | POLLERR | POLLHUP)) == 0)
      continue;
    const ssize_t Read = ::recv(Socket.File, Part.data(), Part.size(), 0);
    if (Read == 0 || (Read < 0 && !isTemporary()))
      return Answers;
    Buffer.append(Part.data(),
                  static_cast<std::size_t>(std::max<ssize_t>(Read, 0)));
    while (Answers.size() < Count && takeAnswer(Buffer, Answers)) {
    }
  }
  return Answers;
}

std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, int DeadlineMs,
                        const std::string &Fields) {
  const std::string Length = Method == "GET" ? "" : "Content-Length: 0\r\n";
  return fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\n"
                     "Request-Id: {}\r\nDeadline-Ms: {}\r\n{}{}\r\n",
                     Method, Path, Id, DeadlineMs, Length, Fields);
}

int statusOf(const std::string &Address, const std::string &Path) {
  constexpr milliseconds Limit{1000};
  const auto Answers =
      exchange(Address, requestHead("GET", Path, "look", 1000), 1, Limit);
  return Answers.empty() ? 0 : Answers.front().Status;
}

} // namespace agatedale::review
