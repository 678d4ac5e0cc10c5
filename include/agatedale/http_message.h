/// \file
/// HTTP messages as the request path holds them.
#pragma once

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatedale {

/// Returns true if two header names are equal, whatever their case.
inline bool equalNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

/// The headers of a message in their order.
class header_list {
public:
  using header = std::pair<std::string, std::string>;

  /// Returns the first value of \p Name, or an empty view.
  std::string_view get(std::string_view Name) const {
    for (const auto &[Known, Value] : All) {
      if (equalNames(Known, Name))
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

  void set(std::string_view Name, std::string_view Value) {
    remove(Name);
    add(Name, Value);
  }

  const std::vector<header> &all() const { return All; }

private:
  std::vector<header> All;
};

/// A whole request, without the headers that concern one connection.
struct http_request_message {
  std::string Method;
  std::string Target; ///< Path and query as they were sent.
  header_list Headers;
  std::string Body;
};

/// A whole answer, without the headers that concern one connection.
struct http_response_message {
  int Status = 0;
  header_list Headers;
  std::string Body;
};

} // namespace agatedale
