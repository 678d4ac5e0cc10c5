/// \file
/// Types of a rollout: moving the requests of a service to a new version.
#pragma once

#include "agatedale/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace agatedale {

/// Bounds on what a bad version may get.
struct rollout_bounds {
  /// Share of the requests between the order and its deadline.
  double ExposureShare = 0.1;
  double ExposureSlack = 50; ///< Requests beyond the share.
  /// Time after the 50th bad response from which it may get no request.
  std::chrono::milliseconds Rollback{5000};
};

/// The operators' order to move a service to a version.
struct rollout_order {
  std::string Service;
  std::string To; ///< The new version.
  std::chrono::milliseconds Duration{0};
  std::uint64_t Id = 0; ///< Of the row; a changed row is another order.

  bool operator==(const rollout_order &) const = default;
};

enum class rollout_phase { Running, Completed, RolledBack };

/// The stage of a rollout as its decider publishes it.
struct rollout_stage {
  std::string Service;
  std::uint64_t Order = 0;
  std::uint64_t Sequence = 0; ///< Rises with each change of the stage.
  rollout_phase Phase = rollout_phase::Running;
  double NewShare = 0; ///< Of the requests, for the new version.
  std::string Decider; ///< Name of the deciding VM.
  /// When the store last confirmed that the stage is in force. The stage
  /// permits requests to the new version for rollout_board::LeaseLength.
  time_point ConfirmedAt{};
  time_point OrderedAt{}; ///< Latest time at which the order can be given.
};

/// The versions that may serve a request while a rollout is in progress.
enum class version_choice : std::uint8_t {
  Undecided, ///< The owner of the group decides by the shares.
  Old,
  New,
  Any ///< Whatever is there: none of the old version may serve it.
};

/// The versions of a service's servers in the region of a group, and the share
/// of the new one.
struct version_shares {
  std::uint64_t Order = 0;
  std::string To;
  double NewShare = 0;
  bool HasOld = false; ///< Usable servers of other versions exist.
  bool HasNew = false;
  /// The store has not confirmed for some time a stage that gave the new
  /// version all requests. The rollout may have been completed since, and the
  /// servers of other versions may have stopped.
  bool IsFullStageLapsed = false;

  bool operator==(const version_shares &) const = default;
};

/// Counts of the responses of one server on one route.
struct response_tally {
  /// Upper bounds grow by the square root of 2 from 1 ms; the last is open.
  static constexpr std::size_t BucketCount = 32;

  std::uint32_t Failed = 0;
  /// Responses that are not failures but too uncertain to compare by their
  /// time, for example those of cold servers.
  std::uint32_t Untimed = 0;
  std::array<std::uint32_t, BucketCount> Times{};

  static std::size_t bucketOf(duration Time);
  std::uint32_t count() const;
  void add(const response_tally &Other);
  /// Returns this tally less \p Earlier, which is an earlier state of it.
  response_tally since(const response_tally &Earlier) const;
};

/// The server and the route that a tally belongs to.
struct tally_key {
  bool IsNew = false; ///< The server has the version that is rolled out.
  std::string Server;
  std::string Route;

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const tally_key &) const = default;
};

/// What one VM has counted since the order.
using rollout_evidence = std::map<tally_key, response_tally>;

/// What a VM that owns groups of the service tells the decider.
struct rollout_report {
  std::string Service;
  std::uint64_t Order = 0;
  std::uint64_t Sequence = 0;    ///< Of the stage in force there.
  std::uint32_t OldInFlight = 0; ///< Attempts at servers of other versions.
  rollout_evidence Evidence;     ///< Since the order, not since the last one.
};

} // namespace agatedale
