/// \file
/// Choice of the VMs of other regions that are asked.
#include "agatedale/region_inquiry.h"

#include <algorithm>
#include <utility>

namespace agatedale {

std::vector<entry_vm> region_inquiry::next(std::span<const entry_vm> Vms,
                                           time_point Now) {
  if (isOver(Now))
    return {};
  // Starting VMs ask different ones.
  std::vector<std::pair<std::uint64_t, const entry_vm *>> Ranked;
  for (const entry_vm &Vm : Vms) {
    if (Vm.Region == Region || Vm.Leaving || Asked.contains(Vm.Id.Name) ||
        Replies[Vm.Region] >= RepliesPerRegion)
      continue;
    Ranked.emplace_back(rendezvousWeight(Name, Vm.Id.Name), &Vm);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::map<std::string, std::size_t> Pending = Replies;
  std::vector<entry_vm> Chosen;
  for (const auto &[Weight, Vm] : Ranked) {
    if (Pending[Vm->Region]++ >= RepliesPerRegion)
      continue;
    Asked.insert(Vm->Id.Name);
    Chosen.push_back(*Vm);
  }
  return Chosen;
}

} // namespace agatedale
