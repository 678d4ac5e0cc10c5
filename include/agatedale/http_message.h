/// \file
/// Decoded HTTP messages of the request path.
#pragma once

#include "agatedale/shared_body.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatedale {

class byte_reservation;

/// Returns true if two header names are equal, ignoring the case of ASCII
/// letters, which are all that names may have.
inline bool equalNames(std::string_view Left, std::string_view Right) {
  const auto ToLower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [ToLower](char A, char B) {
                      return A == B || ToLower(A) == ToLower(B);
                    });
}

/// Returns true if \p Status is that of a final response. Values above 599 are
/// invalid (RFC 9110, 15).
constexpr bool isFinalStatus(std::int64_t Status) {
  return Status >= 200 && Status <= 599;
}

/// The headers of a message in the order in which they were received or added.
class header_list {
public:
  using header = std::pair<std::string, std::string>;

  /// Returns the first value of \p Name, or an empty string.
  std::string_view get(std::string_view Name) const {
    for (const auto &[HeaderName, Value] : All) {
      if (equalNames(HeaderName, Name))
        return Value;
    }
    return {};
  }

  bool has(std::string_view Name) const {
    return std::any_of(All.begin(), All.end(), [Name](const header &Header) {
      return equalNames(Header.first, Name);
    });
  }

  void add(std::string_view Name, std::string_view Value) {
    All.emplace_back(Name, Value);
  }

  void remove(std::string_view Name) {
    std::erase_if(All, [Name](const header &Header) {
      return equalNames(Header.first, Name);
    });
  }

  /// Puts one header named \p Name in place of all that are named \p Old or
  /// \p Name, or removes these if \p Value is empty. In one pass, and in the
  /// memory of the first of them.
  void replace(std::string_view Old, std::string_view Name,
               std::string_view Value);

  void set(std::string_view Name, std::string_view Value) {
    remove(Name);
    add(Name, Value);
  }

  const std::vector<header> &all() const { return All; }

private:
  std::vector<header> All;
};

/// A complete request without its hop-by-hop headers.
struct http_request_message {
  std::string Method;
  std::string Target; ///< Path and query, unmodified.
  header_list Headers;
  shared_body Body;
  std::shared_ptr<byte_reservation> Held = nullptr; ///< Of the body; or null.
};

/// A complete response without its hop-by-hop headers.
struct http_response_message {
  int Status = 0;
  header_list Headers;
  shared_body Body;
  std::shared_ptr<byte_reservation> Held = nullptr; ///< Of the body; or null.
};

} // namespace agatedale
