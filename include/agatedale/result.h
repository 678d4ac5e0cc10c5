/// \file
/// Results of operations that can fail: a value or a typed error.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace agatedale {

/// Classes of error, so that a caller can react without reading the text.
enum class error_kind {
  InvalidInput, ///< What was given breaks a rule; the text says which.
  NotFound,     ///< The named thing does not exist.
  Conflict,     ///< Somebody else changed the thing first.
  Unavailable,  ///< The other side could not be reached; nothing is known.
  Unknown,      ///< The change may or may not have taken effect.
};

/// An error with its class and a sentence for the operator.
struct error {
  error_kind Kind = error_kind::InvalidInput;
  std::string Message;
};

/// A value or the error that stands in its place.
///
///   result<settings> Loaded = settings::load("entry.toml");
///   if (const error *Error = errorOf(Loaded))
///     return fail(*Error);
///   use(valueOf(Loaded));
template <typename T> using result = std::variant<T, error>;

/// Returns the error of \p Result, or null when it holds a value.
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

/// The value of an operation that has nothing to return.
struct success {};

} // namespace agatedale
