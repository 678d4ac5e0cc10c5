/// \file
/// Connections of a crowd.
#include "crowd.h"
#include "sockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace agatedale::review {

namespace {

constexpr std::chrono::milliseconds ConnectWait{200};

void drop(int &Socket) {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

/// Returns true if the gateway has answered or ended the connection.
bool hasEnded(int Socket) {
  char Next = 0;
  return ::recv(Socket, &Next, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace

void crowd::fill() {
  int Client = 0;
  for (int &Socket : Sockets) {
    ++Client;
    if (Socket >= 0 && hasEnded(Socket))
      drop(Socket);
    if (Socket >= 0)
      continue;
    Socket = connectTo(Ip, Port, ConnectWait);
    if (Socket < 0)
      return;
    ++Opened;
    if (!sendAll(Socket, Head(Client)))
      drop(Socket);
  }
}

void crowd::advance() {
  for (int &Socket : Sockets) {
    if (Socket >= 0 && !sendAll(Socket, "x"))
      drop(Socket);
  }
}

void crowd::dropAll() {
  for (int &Socket : Sockets)
    drop(Socket);
}

} // namespace agatedale::review
