/// \file
/// Clients that send the head of an upload at once and its body slowly.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace agatedale::review {

/// The clients of one gateway. They run in the thread of the caller.
///
///   crowd Crowd(Ip, Port, 1000, headOfClient);
///   Crowd.fill();
///   Crowd.advance();
class crowd {
public:
  using head_of_client = std::function<std::string(int Client)>;

  crowd(std::string Ip, std::uint16_t Port, int Clients, head_of_client Head)
      : Ip(std::move(Ip)), Port(Port), Head(std::move(Head)),
        Sockets(static_cast<std::size_t>(Clients), -1) {}
  ~crowd() { dropAll(); }
  crowd(crowd &&) = default;

  /// Opens the connections that are missing or that the gateway has ended,
  /// until one cannot be opened.
  void fill();

  /// Sends one more byte of each body.
  void advance();

  void dropAll();

  /// Returns the number of connections that were opened so far.
  int opened() const { return Opened; }

private:
  std::string Ip;
  std::uint16_t Port;
  head_of_client Head;
  std::vector<int> Sockets;
  int Opened = 0;
};

} // namespace agatedale::review
