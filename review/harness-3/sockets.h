/// \file
/// Sockets of the clients, and one exchange over them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace agatedale::review {

/// Returns a TCP port that no program uses on \p Ip at the moment; 0 if there
/// is none.
std::uint16_t freePort(const std::string &Ip);

/// Listens on \p Ip and \p Port. Returns -1 if that fails.
int listenOn(const std::string &Ip, std::uint16_t Port);

/// Opens a connection to \p Ip and \p Port within \p Wait. Returns -1 if that
/// fails.
int connectTo(const std::string &Ip, std::uint16_t Port,
              std::chrono::milliseconds Wait);

/// Sends all of \p Bytes. Returns false if the connection is broken.
bool sendAll(int Socket, const std::string &Bytes);

/// Reads until a response with a Content-Length is whole, or the connection
/// ends, or \p Wait is over. Returns what was read.
std::string readResponse(int Socket, std::chrono::milliseconds Wait);

/// Returns the status of a response; 0 if it has none.
int statusOf(const std::string &Response);

/// Sends \p Request on a connection of its own and returns the status of the
/// response; 0 if there is none within \p Wait.
int exchange(const std::string &Ip, std::uint16_t Port,
             const std::string &Request, std::chrono::milliseconds Wait);

/// Allows this process as many descriptors as the system lets it have.
void raiseDescriptorLimit();

} // namespace agatedale::review
