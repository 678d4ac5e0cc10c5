/// \file
/// Rendezvous hashing of servers to groups of bounded size.
#include "agatedale/server_partition.h"
#include "agatedale/entry_vm.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace agatedale {

namespace {

/// Space above the mean size of a group. Without it, a server that joins a full
/// group would push another one out.
constexpr double SizeSlack = 1.25;

/// Servers that an owner can dispatch for per core of its capacity.
constexpr double ServersPerCore = 80;

/// Servers that an owner can dispatch for per Mbit/s of its link, which carries
/// the body of each request to the owner and on to the server.
constexpr double ServersPerMegabit = 0.4;

constexpr std::size_t MinGroupServers = 4;

/// Returns the part with the highest weight for \p Server that has space.
std::size_t choosePart(const backend_server &Server,
                       std::span<const std::vector<backend_server>> Parts,
                       std::size_t MaxSize) {
  std::size_t Best = Parts.size();
  std::uint64_t BestWeight = 0;
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    if (Parts[Part].size() >= MaxSize)
      continue;
    const std::uint64_t Weight =
        rendezvousWeight(Server.Name, std::to_string(Part));
    if (Best < Parts.size() && Weight <= BestWeight)
      continue;
    Best = Part;
    BestWeight = Weight;
  }
  return Best;
}

} // namespace

std::vector<std::vector<backend_server>>
partitionServers(std::span<const backend_server> Servers,
                 std::size_t MaxServers) {
  const std::size_t PartCount = (Servers.size() + MaxServers - 1) / MaxServers;
  std::vector<std::vector<backend_server>> Parts(PartCount);
  if (PartCount <= 1) {
    if (PartCount == 1)
      Parts[0].assign(Servers.begin(), Servers.end());
    return Parts;
  }
  const double MeanSize =
      static_cast<double>(Servers.size()) / static_cast<double>(PartCount);
  const std::size_t MaxSize = std::min(
      MaxServers, static_cast<std::size_t>(std::ceil(MeanSize * SizeSlack)));
  // In the order of their hashes, so that the order among the others does not
  // depend on a server that joins.
  std::vector<std::pair<std::uint64_t, const backend_server *>> Ordered;
  Ordered.reserve(Servers.size());
  for (const backend_server &Server : Servers)
    Ordered.emplace_back(stableHash(Server.Name), &Server);
  std::sort(Ordered.begin(), Ordered.end());
  for (const auto &[Hash, Server] : Ordered)
    Parts[choosePart(*Server, Parts, MaxSize)].push_back(*Server);
  return Parts;
}

std::size_t maxGroupServers(std::span<const entry_vm> Vms) {
  if (Vms.empty())
    return MaxGroupServers;
  // The servers that each VM can dispatch for, with its capacity.
  std::vector<std::pair<double, double>> Sizes;
  Sizes.reserve(Vms.size());
  double Remaining = 0;
  for (const entry_vm &Vm : Vms) {
    Sizes.emplace_back(std::min(ServersPerCore * Vm.Capacity,
                                ServersPerMegabit * Vm.LinkMegabits),
                       Vm.Capacity);
    Remaining += Vm.Capacity / 2;
  }
  std::sort(Sizes.begin(), Sizes.end());
  double Usual = 0;
  for (const auto &[Servers, Capacity] : Sizes) {
    Usual = Servers;
    Remaining -= Capacity;
    if (Remaining <= 0)
      break;
  }
  // A group of MaxGroupServers is enough for any VM.
  Usual = std::min(Usual, static_cast<double>(MaxGroupServers));
  return std::max(static_cast<std::size_t>(std::lround(Usual)),
                  MinGroupServers);
}

} // namespace agatedale
