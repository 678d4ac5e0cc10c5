/// \file
/// Interface to the platform's table service, object store and VM list.
#pragma once

#include "agatedale/result.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// A row of the table service. Versions start at 1; 0 means that the row does
/// not exist.
struct table_row {
  std::uint64_t Version = 0;
  std::string Value;
};

/// A VM in the platform's list. The list may be out of date.
struct listed_vm {
  std::string Name;
  std::string Ip;
  std::string Zone;
  bool Leaving = false;
};

/// The platform's services. Reads fail with NotFound or Unavailable. Writes
/// fail with Conflict if the row's version is not Expected, with Unavailable if
/// the write was not sent or refused, and with Unknown if it may have taken
/// effect.
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
