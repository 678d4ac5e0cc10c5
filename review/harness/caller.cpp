/// \file
/// Sends requests and reads answers on blocking sockets.
#include "caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include <array>

namespace agatedale::review {

namespace {

Poco::Timespan timespan(clock::duration Time) {
  return {static_cast<Poco::Timespan::TimeDiff>(
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count())};
}

/// Returns the length of the answer that begins \p Bytes, or nothing yet.
std::size_t lengthOf(const std::string &Bytes) {
  constexpr std::string_view Field = "\r\nContent-Length: ";
  const std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::string::npos;
  const std::size_t At = Bytes.find(Field);
  const bool HasLength = At != std::string::npos && At < End;
  return End + 4 +
         (HasLength ? std::stoul(Bytes.substr(At + Field.size())) : 0);
}

} // namespace

std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, milliseconds Deadline) {
  return fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\n"
                     "Request-Id: {}\r\nDeadline-Ms: {}\r\n",
                     Method, Path, Id, Deadline.count());
}

reply exchange(const std::string &Address, const std::string &Request,
               milliseconds Patience) {
  constexpr std::size_t StatusAt = 9;
  const auto End = clock::now() + Patience;
  std::string Bytes;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address), timespan(Patience));
    Socket.setNoDelay(true);
    Socket.sendBytes(Request.data(), static_cast<int>(Request.size()),
                     MSG_NOSIGNAL);
    while (lengthOf(Bytes) > Bytes.size()) {
      if (clock::now() >= End || !Socket.poll(timespan(End - clock::now()),
                                              Poco::Net::Socket::SELECT_READ))
        return {};
      std::array<char, 4096> Part; // NOLINT: filled by receiveBytes
      const int Count = Socket.receiveBytes(Part.data(), Part.size());
      if (Count <= 0)
        return {};
      Bytes.append(Part.data(), static_cast<std::size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    return {};
  }
  return {std::stoi(Bytes.substr(StatusAt, 3)),
          Bytes.substr(Bytes.find("\r\n\r\n") + 4)};
}

} // namespace agatedale::review
