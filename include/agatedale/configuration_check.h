/// \file
/// Findings about a valid configuration, and the difference between two.
#pragma once

#include "agatedale/configuration.h"
#include "agatedale/result.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

enum class finding_severity { Error, Warning };

enum class finding_kind {
  Invalid,            ///< The documents cannot be read.
  HiddenRoute,        ///< Other routes are always chosen first.
  NoCommonRegion,     ///< No account may use the home regions of a route.
  NoServers,          ///< A region lacks servers of a service that it needs.
  ZeroWeight,         ///< An entry that receives nothing.
  NoKey,              ///< An account that no request can name.
  NoAccounts,         ///< An empty table of accounts: no key is valid.
  DrainedRegion,      ///< All zones of a home region are drained.
  TimeoutUnderAim,    ///< Requests end before their target time.
  NoRetryBudget,      ///< Several attempts, and no retry is allowed.
  QuotaAboveCapacity, ///< A quota that the servers cannot bear.
  ColdWithoutRate,    ///< A cold time without effect.
  BodyLimit,          ///< Body limits that contradict each other.
};

/// Something that an operator should mend before publishing.
struct finding {
  finding_severity Severity = finding_severity::Warning;
  finding_kind Kind = finding_kind::Invalid;
  std::string Place; ///< "file:line"; empty if not known.
  std::string Text;
};

/// Returns the words used in output, such as "hidden-route".
std::string_view toText(finding_severity Severity);
std::string_view toText(finding_kind Kind);

/// Splits a message "file:line: reason" into place and text.
finding findingOf(const error &Error);

/// Returns the entries of \p Config that have no effect and the limits that
/// contradict each other. Findings contain no key of an account.
///
///   for (const finding &Finding : checkConfiguration(Config))
///     fmt::print("{}: {}\n", Finding.Place, Finding.Text);
std::vector<finding> checkConfiguration(const configuration &Config);

/// The old and the new value of a field; empty if the entry did not exist.
struct field_change {
  std::string Name;
  std::string Before;
  std::string After;
};

enum class entry_change_kind { Added, Removed, Changed };

/// An entry such as "routes.orders" that differs between two configurations.
struct entry_change {
  entry_change_kind Kind = entry_change_kind::Changed;
  std::string Entry;
  std::vector<field_change> Fields;
};

/// Returns "added", "removed" or "changed".
std::string_view toText(entry_change_kind Kind);

/// Returns the entries that differ, sorted by name. A default value equals the
/// same value written out. Keys of accounts appear as counts only.
std::vector<entry_change> configurationDifference(const configuration &Before,
                                                  const configuration &After);

} // namespace agatedale
