/// \file
/// Order of the store's versions across restores from a copy.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace agatedale {

/// A version of the store. The store numbers its transactions. When it comes
/// back from an older copy it gives numbers out again, in a higher era, so that
/// any version of a later era is newer.
struct store_version {
  std::uint64_t Era = 0; ///< 0 if the source of the version reports none.
  std::uint64_t Number = 0;

  constexpr store_version() = default;
  /// A version of a store that reports no era.
  constexpr store_version(std::uint64_t Number) // NOLINT: implicit conversion
      : Number(Number) {}
  constexpr store_version(std::uint64_t Era, std::uint64_t Number)
      : Era(Era), Number(Number) {}

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  constexpr auto operator<=>(const store_version &) const = default;

  /// Returns true if this is a version at all: the store's numbers start at 1.
  constexpr bool isKnown() const { return Number > 0; }
};

inline std::ostream &operator<<(std::ostream &Out,
                                const store_version &Version) {
  return Out << Version.Era << '.' << Version.Number;
}

} // namespace agatedale
