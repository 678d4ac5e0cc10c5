/// \file
/// What the platform gives: a table, an object store and a list of VMs.
#pragma once

#include "agatedale/result.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// A row of the table service. Versions start at 1; 0 stands for no row.
struct table_row {
  std::uint64_t Version = 0;
  std::string Value;
};

/// A VM as the platform lists it; the list lags.
struct listed_vm {
  std::string Name;
  std::string Ip;
  std::string Zone;
  bool Leaving = false;
};

/// The platform's service as the system uses it. Reads fail as NotFound or
/// Unavailable. A write fails as Conflict when the row's version is not
/// Expected, as Unavailable when it was not sent, and as Unknown when it may
/// have taken effect.
///
///   template <platform_service Platform> void poll(Platform &Service) {
///     const result<table_row> Row = Service.readRow("configuration");
///   }
template <typename T>
concept platform_service = requires(T &Service, std::string_view Name,
                                    std::string_view Value,
                                    std::uint64_t Expected) {
  { Service.readRow(Name) } -> std::same_as<result<table_row>>;
  {
    Service.writeRow(Name, Value, Expected)
    } -> std::same_as<result<std::uint64_t>>;
  { Service.getObject(Name) } -> std::same_as<result<std::string>>;
  { Service.putObject(Name, Value) } -> std::same_as<result<success>>;
  { Service.listVms() } -> std::same_as<result<std::vector<listed_vm>>>;
};

} // namespace agatedale
