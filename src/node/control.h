/// \file
/// The control state of a node: membership, roster, leases, configuration.
#pragma once

#include "agatedale/configuration_state.h"
#include "agatedale/entry_vm.h"
#include "agatedale/event_log.h"
#include "agatedale/lease.h"
#include "agatedale/platform_service.h"
#include "agatedale/roster.h"
#include "agatedale/settings.h"

#include "agatedale.pb.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// What the request path reads; made anew when something in it changes.
struct routing_view {
  bool MayServe = false; ///< Requests are taken.
  bool Leaving = false;  ///< A stop was asked for; readyz says so.
  std::uint64_t Version = 0;
  std::shared_ptr<const configuration> Configuration;
  std::map<lease_subject, entry_vm> Owners; ///< Believed owners.
  std::vector<entry_vm> Live;
};

/// A heartbeat that is due.
struct due_exchange {
  entry_vm Peer;
  wire::ExchangeRequest Request;
};

/// A planned change of owner that is due.
struct due_hand_over {
  lease_subject Subject;
  entry_vm To;
};

/// A member as status shows it.
struct member_status {
  entry_vm Vm;
  std::uint64_t ConfigurationVersion = 0;
};

/// The names of a region's key partitions as lease subjects.
inline constexpr int KeyPartitionCount = 8;
inline constexpr std::string_view KeyService = "#keys";
lease_subject keyPartition(std::string_view Region, std::string_view Account,
                           std::string_view Key);

/// Holds the node's control state under one lock. It sends nothing itself: it
/// says what is due, and is told what came back.
///
///   for (due_exchange &Due : Control.dueExchanges(Now)) send(Due);
///   Control.onReply(Due.Peer, Reply, AskedAt, Now);
class control {
public:
  control(const settings &Settings, const entry_vm &Self, event_log &Events);

  /// Answers a peer's heartbeat.
  wire::ExchangeReply answer(const wire::ExchangeRequest &Request,
                             time_point Now);

  /// Takes in the reply to a heartbeat; null when it did not come.
  void onReply(const entry_vm &Peer, const wire::ExchangeReply *Reply,
               time_point AskedAt, time_point Now);

  /// Returns the heartbeats that are due.
  std::vector<due_exchange> dueExchanges(time_point Now);

  /// Takes in the platform's list of VMs.
  void onVmList(std::span<const listed_vm> Vms, time_point Now);

  /// Takes in the roster that the store holds, or that a peer sent.
  void onRoster(const roster &Roster, time_point Now);

  /// Records that the store answered and named \p StoreVersion as in force.
  void onStoreContact(std::uint64_t StoreVersion, time_point Now);

  /// Takes a configuration into force if it is newer.
  void onConfiguration(const published_configuration &Published,
                       time_point Now);

  /// Returns the roster that this node should write, if it is the one to do so.
  std::optional<roster> rosterToWrite(time_point Now);
  roster currentRoster() const;

  /// Decides again what this node should own. Returns the planned hand-overs
  /// that are due.
  std::vector<due_hand_over> reviewOwnership(time_point Now);

  /// Stops wanting \p Subject: it was handed over, or is left to lapse.
  void release(const lease_subject &Subject, time_point Now);

  /// Claims \p Subject at once: its owner hands it over.
  void claimNow(const lease_subject &Subject, time_point Now);

  /// Returns, for each wanted subject, until when it is owned; a time not after
  /// \p Now when it is not.
  std::map<lease_subject, time_point> ownership(time_point Now) const;

  /// Returns the peer to fetch a newer configuration from, if one has it.
  std::optional<entry_vm> peerWithNewer(time_point Now) const;

  /// Owns nothing new from now on; requests are still served.
  void setLeaving(time_point Now);

  /// Refuses requests from now on.
  void setRefusing();
  std::shared_ptr<const routing_view> makeView(time_point Now);
  std::vector<member_status> members(time_point Now) const;
  /// Returns the configuration in force, or null.
  std::shared_ptr<const configuration> currentConfiguration() const;
  std::uint64_t version() const;
  published_configuration published() const;
  std::optional<entry_vm> findMember(std::string_view Name) const;
  std::vector<entry_vm> live(time_point Now) const;

  /// Returns the member that should hold the copy of \p Partition: the second
  /// in rendezvous order, in another zone where there is one.
  std::optional<entry_vm> copyHolder(const lease_subject &Partition,
                                     time_point Now) const;

private:
  /// Completes what a message says of its sender; nothing when it left out
  /// what this node does not know.
  std::optional<entry_vm> identify(const wire::Vm &Message) const;
  std::vector<lease_subject> subjectsOfRegion() const;
  std::optional<entry_vm> preferredOwner(const lease_subject &Subject,
                                         time_point Now) const;
  std::optional<entry_vm> believedOwner(const lease_subject &Subject,
                                        time_point Now) const;
  void heard(const entry_vm &Vm, bool Retired, std::uint64_t RosterEpoch,
             std::uint64_t Version, time_point Now);
  void noteLostMembers(time_point Now);
  bool isNear(const entry_vm &Vm) const { return Vm.Region == Self.Region; }
  bool mayServe(time_point Now) const;

  settings Settings;
  entry_vm Self;
  event_log &Events;
  mutable std::mutex Lock;
  member_view Members;
  termination_tracker Terminations;
  roster_adoption Adoption;
  lease_voter Voter;
  lease_holder Holder;
  configuration_state Configuration;
  bool Leaving = false;
  bool Refusing = false;
  std::map<std::string, listed_vm> Listed;
  std::map<std::string, std::uint64_t> Introduced; ///< Lives that know us.
  std::map<std::string, std::uint64_t> PeerEpochs;
  std::map<std::string, std::uint64_t> PeerVersions;
  std::map<std::string, time_point> NextHeartbeat;
  std::map<std::string, std::vector<lease_record>> Holdings;
  std::map<lease_subject, std::pair<std::string, time_point>> BetterSince;
  std::set<lease_subject> Wanted;
  std::set<std::string> LiveBefore;
};

} // namespace agatedale
