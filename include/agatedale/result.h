/// \file
/// Result type of fallible operations: a value or an error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace agatedale {

/// Error categories that callers can handle without parsing the message.
enum class error_kind {
  InvalidInput, ///< The input violates a rule; the message names it.
  NotFound,     ///< The named object does not exist.
  Conflict,     ///< A concurrent change was applied first.
  Unavailable,  ///< The remote side was unreachable.
  Unknown,      ///< The change may have been applied.
};

/// An error with its category and a message for the operator.
struct error {
  error_kind Kind = error_kind::InvalidInput;
  std::string Message;
};

/// A value or an error.
///
///   result<settings> Loaded = settings::fromFile("entry.toml");
///   if (const error *Error = errorOf(Loaded))
///     return fail(*Error);
///   use(valueOf(Loaded));
template <typename T> using result = std::variant<T, error>;

/// Returns the error of \p Result, or null if it holds a value.
template <typename T> const error *errorOf(const result<T> &Result) {
  return std::get_if<error>(&Result);
}

/// Returns the value of \p Result, which must hold one.
template <typename T> T &valueOf(result<T> &Result) {
  return std::get<0>(Result);
}

/// Returns the value of \p Result, which must hold one.
template <typename T> const T &valueOf(const result<T> &Result) {
  return std::get<0>(Result);
}

/// Moves the value out of \p Result, which must hold one.
template <typename T> T moveValue(result<T> &&Result) {
  return std::get<0>(std::move(Result));
}

/// The value type of operations without a return value.
struct success {};

} // namespace agatedale
