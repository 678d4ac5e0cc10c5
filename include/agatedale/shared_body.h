/// \file
/// Body of a message that several owners share.
#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace agatedale {

/// Bytes that do not change and are kept once, however many attempts, sockets
/// and messages between VMs refer to them. Copies refer to the same bytes,
/// which are freed with the last one. The bytes may be a part of a longer
/// message.
///
///   shared_body Body = Decoder.takeMessage().Body;
///   Stream->send(Head, Body);
class shared_body {
public:
  shared_body() = default;
  // Implicit, so that bodies are set like strings.
  shared_body(std::string Bytes) { // NOLINT(google-explicit-constructor)
    if (Bytes.empty())
      return;
    Owner = std::make_shared<const std::string>(std::move(Bytes));
    Part = *Owner;
  }
  shared_body(const char *Text) // NOLINT(google-explicit-constructor)
      : shared_body(std::string(Text)) {}

  /// Refers to \p Part of \p Owner.
  shared_body(std::shared_ptr<const std::string> Owner, std::string_view Part)
      : Owner(std::move(Owner)), Part(Part) {}

  std::string_view view() const { return Part; }
  operator std::string_view() const { // NOLINT(google-explicit-constructor)
    return Part;
  }
  std::size_t size() const { return Part.size(); }
  bool empty() const { return Part.empty(); }

  friend bool operator==(const shared_body &Left, std::string_view Right) {
    return Left.Part == Right;
  }
  friend std::ostream &operator<<(std::ostream &Out, const shared_body &Body) {
    return Out << Body.Part;
  }

private:
  std::shared_ptr<const std::string> Owner;
  std::string_view Part;
};

} // namespace agatedale
