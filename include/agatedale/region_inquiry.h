/// \file
/// Which VMs of other regions a starting VM asks what they know.
#pragma once

#include "agatedale/entry_vm.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// Chooses the VMs of other regions that a VM asks once after its start. VMs
/// exchange heartbeats inside their region only, and all VMs of a region may
/// have started since a server left: what the rows do not show is then known in
/// other regions only.
///
///   for (const entry_vm &Vm : Inquiry.next(Vms.otherVms(), Now))
///     ask(Vm, [&] { Inquiry.onReply(Vm); });
class region_inquiry {
public:
  /// Replies of a region after which it is asked no more. More than one,
  /// because a VM that replies may have started just now as well.
  static constexpr std::size_t RepliesPerRegion = 2;

  /// Time after the start until which VMs are asked.
  static constexpr duration MaxTime = std::chrono::seconds(5);

  /// \p Self asks; it has started at \p StartedAt.
  static region_inquiry create(const entry_vm &Self, time_point StartedAt) {
    return {Self, StartedAt};
  }

  /// Returns true once nobody is asked any more.
  bool isOver(time_point Now) const { return Now - StartedAt >= MaxTime; }

  /// Returns the VMs to ask now, each at most once.
  std::vector<entry_vm> next(std::span<const entry_vm> Vms, time_point Now);

  /// Records the reply of \p Vm.
  void onReply(const entry_vm &Vm) { ++Replies[Vm.Region]; }

private:
  region_inquiry(const entry_vm &Self, time_point StartedAt)
      : Name(Self.Id.Name), Region(Self.Region), StartedAt(StartedAt) {}

  std::string Name;
  std::string Region;
  time_point StartedAt;
  std::map<std::string, std::size_t> Replies; ///< By region.
  std::set<std::string> Asked;
};

} // namespace agatedale
