/// \file
/// Which entry VMs can be handed work, and which of them owns a server group.
#pragma once

#include "agatedale/entry_vm.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace agatedale {

/// What a vm_directory is built from.
struct vm_directory_settings {
  /// A VM of the own region that was not heard for this long is taken as lost.
  duration HeardWithin = std::chrono::milliseconds(700);
  /// A VM that failed a hand-over is passed over for this long at first.
  duration FirstSuspicion = std::chrono::milliseconds(500);
  duration LongestSuspicion = std::chrono::seconds(4);
};

/// The entry VMs that the store lists, with what this VM has seen of them. The
/// owner of a group is found by rendezvous hashing over those that can be used,
/// so that VMs which see the same fleet agree without asking each other. Two
/// VMs that disagree for a moment send to the same servers; each keeps to the
/// slots, and servers queue what is beyond them.
///
///   vm_directory Vms = vm_directory::create(Self, Settings);
///   Vms.setListed(Listed, Now);
///   std::optional<entry_vm> Owner = Vms.ownerOf("orders/a/0", "a", Now);
class vm_directory {
public:
  static vm_directory create(const entry_vm &Self,
                             const vm_directory_settings &Settings) {
    return vm_directory(Self, Settings);
  }

  /// Takes over the list of VMs in the store.
  void setListed(std::span<const entry_vm> Vms, time_point Now);

  /// Records a sign of life of \p Name with what it says of itself.
  void heard(const std::string &Name, bool Ready, bool Leaving, time_point Now);

  /// Records that a request handed to \p Name got no answer, or that it did.
  void failed(const std::string &Name, time_point Now);
  void answered(const std::string &Name);

  void setSelf(bool Ready, bool Leaving);
  const entry_vm &self() const { return Self; }

  /// Returns the other VMs that the store lists, of the own region first.
  std::vector<entry_vm> others() const;

  /// Returns the listed VM named \p Name.
  std::optional<entry_vm> find(const std::string &Name) const;

  /// Returns true if \p Name can be handed work.
  bool isUsable(const std::string &Name, time_point Now) const;

  /// Returns the VM that should dispatch for \p Subject, which stands in
  /// \p Zone: one of that zone, else one of its region.
  std::optional<entry_vm> ownerOf(std::string_view Subject,
                                  std::string_view Zone,
                                  std::string_view Region,
                                  time_point Now) const;

  /// Returns how many usable VMs of the region come before this one in the
  /// order of those that read the store for the others; 0 for the reader.
  int readerRank(time_point Now) const;

  /// Returns the listed VMs of the own zone that were silent for \p Length.
  std::vector<std::string> silentFor(duration Length, time_point Now) const;

private:
  struct member {
    entry_vm Vm;
    time_point ListedAt{};
    time_point HeardAt{};
    time_point SuspectUntil{};
    int Failures = 0;
  };

  vm_directory(const entry_vm &Self, const vm_directory_settings &Settings)
      : Self(Self), Settings(Settings) {}

  bool isUsable(const member &Member, time_point Now) const;

  entry_vm Self;
  vm_directory_settings Settings;
  std::map<std::string, member> Members;
};

} // namespace agatedale
