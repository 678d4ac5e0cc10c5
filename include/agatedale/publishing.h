/// \file
/// Publishes numbered configuration versions by compare-and-set.
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

/// Name of the store row that refers to the published configuration.
inline constexpr std::string_view ConfigurationRow = "configuration";

/// A published change. The row keeps recent changes so that an operator whose
/// write got no response can read whether the change was applied.
struct configuration_change {
  std::uint64_t Version = 0;
  std::string ChangeId;
  std::string Operator;
};

/// The content of the configuration row.
struct configuration_record {
  std::uint64_t Version = 0;
  std::string Object; ///< Name of the object that contains the document.
  std::vector<configuration_change> Changes; ///< Newest first.
};

/// Maximum number of changes kept in the row.
inline constexpr std::size_t MaxRecordedChanges = 32;

/// Converts a configuration record to and from JSON.
std::string toJson(const configuration_record &Record);
result<configuration_record> recordFromJson(std::string_view Text);

/// Converts a roster to and from JSON.
std::string toJson(const roster &Roster);
result<roster> rosterFromJson(std::string_view Text);

/// Returns the name of the row with the roster of \p Region.
std::string rosterRowName(std::string_view Region);

/// Returns the change \p ChangeId of \p Record, or null.
const configuration_change *findChange(const configuration_record &Record,
                                       std::string_view ChangeId);

/// Reads the configuration record and its row version. A missing row yields an
/// empty record with row version 0.
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

/// Reads the published configuration with its document.
template <platform_service Platform>
result<published_configuration> readPublishedConfiguration(Platform &Service) {
  const auto Read = readConfigurationRecord(Service);
  if (const error *Error = errorOf(Read))
    return *Error;
  const configuration_record &Record = valueOf(Read).first;
  if (Record.Version == 0)
    return error{error_kind::NotFound, "no configuration has been published"};
  result<std::string> Document = Service.getObject(Record.Object);
  if (const error *Error = errorOf(Document))
    return *Error;
  const configuration_change &Latest = Record.Changes.front();
  return published_configuration{Record.Version, Latest.ChangeId,
                                 Latest.Operator,
                                 moveValue(std::move(Document))};
}

/// Determines the outcome of a publish whose write got no response by reading
/// the row, at most \p MaxReads times.
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
    return error{
        error_kind::Conflict,
        fmt::format("not published: version {} by {} was published first",
                    Record.Version, Publisher)};
  }
  return error{
      error_kind::Unknown,
      fmt::format("outcome of change {} unknown: the store could "
                  "not be read; run the same command with --change-id {}",
                  ChangeId, ChangeId)};
}

/// Publishes \p Document as the version that follows \p Base. Of several
/// concurrent operators exactly one succeeds; the others get a Conflict error
/// that names the winner. Publishing is idempotent for the same \p ChangeId.
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
    return error{
        error_kind::Conflict,
        fmt::format("not published: version {} by {} was published first",
                    Record.Version,
                    Record.Changes.empty() ? "nobody"
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
