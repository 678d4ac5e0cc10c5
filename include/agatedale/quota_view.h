/// \file
/// The VMs among which quotas are divided, and the owners of the buckets.
#pragma once

#include "agatedale/clock.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// What a VM knows of itself or of another one.
struct quota_vm {
  std::string Name;
  std::string Zone;
  std::string Region;
  bool IsHeard = false;   ///< Its heartbeat is recent; own zone only.
  bool CanOwn = false;    ///< It is ready and does not leave.
  bool IsLeaving = false; ///< It has announced its end.
};

/// The part of an account's quota that the owner of a bucket may use.
struct quota_share {
  /// Of the fleet's quota. The shares of owners that do not hear each other
  /// add up to at most one.
  double Fraction = 0;
  /// True if the owner hears at least half of its zone.
  bool HearsMost = false;
  /// Since when the VM owns the bucket and hears most of its zone, or does not.
  time_point OwnedSince{};
};

/// Divides an account's quota among the zones by their VMs. Each zone has one
/// owner of the account's bucket, selected by rendezvous hashing over the VMs
/// of the zone with a recent heartbeat. While none of them is ready, a VM that
/// leaves stays the owner until its end. A VM that is not heard is presumed to
/// serve its own fraction, so the owner uses only the fraction of the VMs that
/// it hears, itself included. A VM that hears nobody is the owner of everything
/// in its own view, and its share is that of one VM.
///
///   quota_view View = quota_view::create("vm-1", "a", "r");
///   View.update(Vms, Now);
///   std::string Owner = View.ownerOf("web");
class quota_view {
public:
  /// How long a VM that is no longer listed counts as serving its fraction,
  /// unless it has announced its end. It may be partitioned and serve on.
  static constexpr duration UnlistedRetention = std::chrono::minutes(5);

  /// How long a VM that stops may serve after its row was removed: it removes
  /// the row when the stop begins, and the platform's grace is 6 s.
  static constexpr duration LeavingTime = std::chrono::seconds(6);

  static quota_view create(std::string Vm, std::string Zone,
                           std::string Region) {
    return quota_view(std::move(Vm), std::move(Zone), std::move(Region));
  }

  /// Replaces the listed VMs and their liveness. \p Vms includes this VM.
  void update(std::span<const quota_vm> Vms, time_point Now);

  /// Updates the liveness of listed VMs, this one included. Others stay as they
  /// are.
  void updateLiveness(std::span<const quota_vm> Vms, time_point Now);

  /// Returns the owner of the account's bucket in the own zone; empty if no VM
  /// of the zone can own it.
  std::string ownerOf(std::string_view Account) const;

  bool isOwner(std::string_view Account) const {
    return ownerOf(Account) == Self;
  }

  /// Returns the share of the bucket that this VM owns.
  quota_share shareOf(std::string_view Account) const;

  /// Returns the fair fraction of one VM.
  double fairFraction() const {
    return 1.0 / static_cast<double>(std::max<std::size_t>(AllVms, 1));
  }

  /// Returns the presumed owners of the account's buckets in the other zones of
  /// the own region or, if \p IsAbroad, of the other regions. In a zone without
  /// a listed VM it is one that is no longer listed but may not have ended.
  std::vector<std::string> otherOwners(std::string_view Account, bool IsAbroad,
                                       time_point Now) const;

  /// Records that a VM of another zone did not answer as an owner. The
  /// liveness of other zones is not known otherwise.
  void recordNotOwner(const std::string &Vm, time_point Now);

  const std::string &self() const { return Self; }

private:
  struct member {
    quota_vm Vm;
    time_point ChangedAt{};  ///< Of the ability to own buckets.
    time_point EndedAt{};    ///< When a VM that leaves was heard last.
    time_point UnlistedAt{}; ///< Zero while listed.
    time_point AvoidUntil{};
  };

  quota_view(std::string Vm, std::string Zone, std::string Region)
      : Self(std::move(Vm)), Zone(std::move(Zone)), Region(std::move(Region)) {}

  void apply(const quota_vm &Vm, time_point Now);
  void recount(time_point Now);

  std::string Self;
  std::string Zone;
  std::string Region;
  std::map<std::string, member> Vms;
  std::size_t AllVms = 0;
  std::size_t ZoneVms = 0; ///< Of the own zone, heard or not.
  std::size_t HeardVms = 0;
  std::size_t ServedVms = 0; ///< Whose fractions this VM's buckets have.
  bool HearsMost = false;
  /// A VM that was partitioned may be the owner again of buckets that another
  /// VM has spent meanwhile.
  time_point HearsMostChangedAt{};
};

} // namespace agatedale
