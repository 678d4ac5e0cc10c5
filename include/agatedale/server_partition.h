/// \file
/// Partition of the servers of a service in a zone into server groups.
#pragma once

#include "agatedale/configuration.h"

#include <cstddef>
#include <span>
#include <vector>

namespace agatedale {

struct entry_vm;

/// Partitions \p Servers into groups of at most \p MaxServers. Every node that
/// knows the same servers computes the same groups. A server that joins or
/// leaves moves only few others to another group, because a moved server loses
/// what its owner knows of it: requests in flight, speed and warm-up.
std::vector<std::vector<backend_server>>
partitionServers(std::span<const backend_server> Servers,
                 std::size_t MaxServers);

/// Returns the maximum number of servers in a group that the usual entry VM of
/// \p Vms can dispatch for, with its cores and its link: half of the fleet's
/// capacity is in VMs that can dispatch for as many or more. One VM of another
/// size does not change it.
std::size_t maxGroupServers(std::span<const entry_vm> Vms);

} // namespace agatedale
