/// \file
/// Publishing a configuration as one numbered version by compare-and-set.
#pragma once

#include "agatedale/configuration.h"
#include "agatedale/configuration_state.h"
#include "agatedale/platform_service.h"
#include "agatedale/roster.h"

#include <fmt/format.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// The row that names the configuration in force.
inline constexpr std::string_view ConfigurationRow = "configuration";

/// A change that the row remembers, so that a lost answer is settled by
/// reading.
struct configuration_change {
  std::uint64_t Version = 0;
  std::string ChangeId;
  std::string Operator;
};

/// What the configuration row holds.
struct configuration_record {
  std::uint64_t Version = 0;
  std::string Object; ///< Name of the object with the document.
  std::vector<configuration_change> Changes; ///< The latest first.
};

/// The most changes that the row remembers.
inline constexpr std::size_t MaxRecordedChanges = 32;

/// Writes a record as JSON, and reads it back.
std::string toJson(const configuration_record &Record);
result<configuration_record> recordFromJson(std::string_view Text);

/// Writes a roster as JSON, and reads it back.
std::string toJson(const roster &Roster);
result<roster> rosterFromJson(std::string_view Text);

/// Returns the name of the row that holds the roster of \p Region.
std::string rosterRowName(std::string_view Region);

/// Returns the change with \p ChangeId that \p Record remembers, or null.
const configuration_change *findChange(const configuration_record &Record,
                                       std::string_view ChangeId);

/// Reads the configuration record and the row version that holds it; an absent
/// row is an empty record with row version 0.
template <platform_service Platform>
result<std::pair<configuration_record, std::uint64_t>>
readConfigurationRecord(Platform &Service) {
  const result<table_row> Row = Service.readRow(ConfigurationRow);
  if (const error *Error = errorOf(Row)) {
    if (Error->Kind == error_kind::NotFound)
      return std::pair{configuration_record{}, std::uint64_t{0}};
    return *Error;
  }
  result<configuration_record> Record = recordFromJson(valueOf(Row).Value);
  if (const error *Error = errorOf(Record))
    return *Error;
  return std::pair{moveValue(std::move(Record)), valueOf(Row).Version};
}

/// Reads the configuration in force, document and all.
template <platform_service Platform>
result<published_configuration> readPublishedConfiguration(Platform &Service) {
  const auto Read = readConfigurationRecord(Service);
  if (const error *Error = errorOf(Read))
    return *Error;
  const configuration_record &Record = valueOf(Read).first;
  if (Record.Version == 0)
    return error{error_kind::NotFound, "no configuration is published yet"};
  result<std::string> Document = Service.getObject(Record.Object);
  if (const error *Error = errorOf(Document))
    return *Error;
  const configuration_change &Latest = Record.Changes.front();
  return published_configuration{Record.Version, Latest.ChangeId,
                                 Latest.Operator,
                                 moveValue(std::move(Document))};
}

/// Settles a publish whose answer was lost: reads until the row tells whether
/// the change took effect. At most \p MaxReads reads.
template <platform_service Platform>
result<std::uint64_t> resolvePublish(Platform &Service,
                                     std::string_view ChangeId, int MaxReads) {
  for (int Attempt = 0; Attempt < MaxReads; ++Attempt) {
    const auto Read = readConfigurationRecord(Service);
    if (errorOf(Read))
      continue;
    const configuration_record &Record = valueOf(Read).first;
    if (const configuration_change *OwnChange = findChange(Record, ChangeId))
      return OwnChange->Version;
    const std::string Publisher =
        Record.Changes.empty() ? "nobody" : Record.Changes.front().Operator;
    return error{error_kind::Conflict,
                 fmt::format("not published: version {} by {} came first",
                             Record.Version, Publisher)};
  }
  return error{error_kind::Unknown,
               fmt::format("the store did not say whether change {} took "
                           "effect; run the same command with --change-id {}",
                           ChangeId, ChangeId)};
}

/// Publishes \p Document as the version after \p Base, under \p ChangeId. Of
/// several operators exactly one wins; the others learn by whom. Running it
/// again with the same change id never publishes twice.
template <platform_service Platform>
result<std::uint64_t>
publishDocument(Platform &Service, const std::string &Document,
                const std::string &ChangeId, const std::string &Operator,
                std::uint64_t Base, int MaxResolveReads) {
  const auto Read = readConfigurationRecord(Service);
  if (const error *Error = errorOf(Read))
    return *Error;
  configuration_record Record = valueOf(Read).first;
  if (const configuration_change *OwnChange = findChange(Record, ChangeId))
    return OwnChange->Version;
  if (Record.Version != Base)
    return error{error_kind::Conflict,
                 fmt::format("not published: version {} by {} came first",
                             Record.Version,
                             Record.Changes.empty()
                                 ? "nobody"
                                 : Record.Changes.front().Operator)};
  Record.Version = Base + 1;
  Record.Object = fmt::format("configuration-{}-{}", Base + 1, ChangeId);
  Record.Changes.insert(Record.Changes.begin(), {Base + 1, ChangeId, Operator});
  if (Record.Changes.size() > MaxRecordedChanges)
    Record.Changes.resize(MaxRecordedChanges);
  const result<success> Put = Service.putObject(Record.Object, Document);
  if (const error *Error = errorOf(Put))
    return *Error;
  const result<std::uint64_t> Written =
      Service.writeRow(ConfigurationRow, toJson(Record), valueOf(Read).second);
  const error *Error = errorOf(Written);
  if (!Error)
    return Base + 1;
  if (Error->Kind == error_kind::Unavailable)
    return *Error;
  return resolvePublish(Service, ChangeId, MaxResolveReads);
}

} // namespace agatedale
