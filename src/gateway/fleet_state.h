/// \file
/// A gateway's replica of the store and the fleet snapshot decoded from it.
#pragma once

#include "agatedale/configuration_proof.h"
#include "agatedale/gateway_settings.h"
#include "agatedale/leaving_servers.h"
#include "agatedale/outage_grace_period.h"
#include "agatedale/restored_store.h"
#include "agatedale/rollout_orders.h"
#include "agatedale/server_registrations.h"
#include "agatedale/store_follower.h"
#include "agatedale/store_mirror.h"
#include "agatedale/superseded_configuration.h"
#include "agatedale/vm_directory.h"
#include "decoded_rows.h"
#include "fleet_snapshot.h"
#include "platform/decode.h"
#include "store_worker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace agatedale {

/// Replicates the store, from its own reads or from updates relayed by peers,
/// and decodes the rows into a fleet snapshot. The active configuration version
/// never decreases, whatever the store returns. A version that cannot be
/// applied supersedes the active one, see superseded().
///
///   State.tick();
///   State.applyPeerUpdate(Update);
///   std::shared_ptr<const fleet_snapshot> View = State.view();
class fleet_state {
public:
  struct handlers {
    std::function<void()> OnViewChanged;   ///< view() was replaced.
    std::function<void()> OnVmsChanged;    ///< The list of entry VMs changed.
    std::function<void()> OnStoreAnswered; ///< A read of the store succeeded.
  };

  /// Servers in \p Leaving count as leaving, whatever their rows say.
  fleet_state(const gateway_settings &Settings, vm_directory &Vms,
              store_worker &Worker, const leaving_servers &Leaving,
              handlers Handlers)
      : Settings(Settings), Vms(Vms), Worker(Worker), Leaving(Leaving),
        Handlers(std::move(Handlers)),
        Follower(followerSettings(Settings.KeyRevocation)),
        Proof(configuration_proof::create(Settings.KeyRevocation)),
        Superseded(
            superseded_configuration::create(Settings.ConfigurationApply)),
        Registrations(Settings.ServerHeartbeat),
        RestoredServers(Settings.ServerHeartbeat), RestoredVms(Settings.Vm) {}

  /// Delays the first read of the store.
  void setStart(time_point NewStartAt) { StartAt = NewStartAt; }

  /// Checks the replica's age and starts a read of the store if one is due.
  void tick();

  /// Applies an update relayed by a peer.
  void applyPeerUpdate(const table_update &Update);

  /// Records that a VM of the region was heard. \p ZoneVms is the size of its
  /// zone if it tells; it is that of the own one.
  void onPeerHeard(std::size_t ZoneVms);

  /// Returns true while listedVms() holds only the first VMs of each zone.
  bool listsHubsOnly() const {
    return !Mirror.position(store_table::Vms).isKnown() && !IsZoneRead;
  }

  /// Returns what is known of a later configuration that cannot be applied.
  const superseded_configuration &superseded() const { return Superseded; }

  /// Returns the time as of which the configuration in force is current.
  time_point currentAsOf() const;

  /// Records the version of the configuration that a peer has in force.
  void recordPeerConfiguration(std::uint64_t Version);

  /// Returns true if requests with keys may be served, or need no proof of the
  /// configuration's age.
  bool mayAdmitKeys() const;

  const configuration_proof &proof() const { return Proof; }

  /// Returns the time as of which the configuration in force is proven; zero if
  /// it is not.
  time_point provenAsOf() const;

  /// Returns true once requests can be served: a configuration is in force that
  /// is not older than that of the peers, and every table has been read.
  bool isServing();

  /// Applies what a peer knows of the servers' registrations.
  void
  applyPeerRegistrations(std::span<const known_registration> Registrations);

  /// Returns what peers may not know of the servers' registrations.
  std::vector<known_registration> registrationsToShare() const;

  /// Returns how many parts of the configuration in force have a fault.
  std::size_t configurationFaults() const { return FaultCount; }

  /// Returns how many rows held an older registration than one known before.
  std::uint64_t olderRegistrations() const { return OlderRegistrations; }

  /// Applies servers that were added to those that leave.
  void onServersLeaving() { rebuild(); }

  /// Returns the replica from which peers are updated.
  const store_mirror &mirror() const { return Mirror; }

  /// Returns the active snapshot, or null before the first configuration.
  std::shared_ptr<const fleet_snapshot> view() const { return View; }

  /// Returns true if this VM's last read of the store failed or its pending
  /// read is overdue.
  bool readsFail() const;

  /// Returns the entry VMs registered in the store; until the first snapshot
  /// only the hubs of the region, and those of the own zone if no hub is heard.
  std::vector<entry_vm> listedVms();

  /// Records for the proof whether the directory lists other VMs.
  void recordPeers();

  /// Returns the version of a VM's row; unknown if there is none.
  store_version vmRowVersion(const std::string &Key) const;

private:
  static store_follower_settings
  followerSettings(std::optional<std::chrono::milliseconds> KeyRevocation);
  void onRead(const store_read &Read, const result<table_update> &Update);
  void endRead(store_table Table, const error *Failure);
  std::optional<duration> snapshotWait(int &Rank, time_point Now);
  void readZone();
  void onZoneRead(std::span<const stored_row> Rows);
  void readHubs(std::vector<std::string> Zones);
  void onHubsRead(std::vector<std::string> Zones,
                  std::span<const stored_row> Rows);
  void addStartVms(std::span<const stored_row> Rows);
  void checkStoreAge();
  std::optional<error> failureOf(const result<table_update> &Read) const;
  void apply(const table_update &Update);
  void logEra(const table_update &Update) const;
  void rebuild();
  std::optional<platform::versioned_configuration> decodeConfigurationRow();
  result<platform::versioned_configuration>
  decodeWithDirectory(std::string_view Value) const;
  void settleSuperseded(const stored_row &Row, std::uint64_t Version);
  superseded_configuration::times timesInForce() const;
  void activate(platform::versioned_configuration Newer);
  configuration makeConfiguration();
  void putInForce(configuration Config);
  void logFaults();
  void refuse(const error &Error, const stored_row &Row);
  std::vector<backend_server> decodeServers();
  void logOlderRegistrations();
  std::vector<availability_zone> zones();
  std::vector<rollout_order> rollouts();
  void endHolds(time_point Now);
  void retainExpiredServers(std::map<std::string, backend_server> &Servers);

  gateway_settings Settings;
  vm_directory &Vms;
  store_worker &Worker;
  const leaving_servers &Leaving;
  handlers Handlers;
  store_mirror Mirror;
  std::map<std::string, entry_vm> StartVms; ///< Until the first snapshot.
  bool IsZoneRead = false;
  bool ReadsFirstSnapshot = false;
  std::size_t ReportedZoneVms = 0; ///< By a hub.
  store_follower Follower;
  configuration_proof Proof;
  superseded_configuration Superseded;
  time_point StartAt{};
  bool Reading = false;
  std::shared_ptr<const fleet_snapshot> View;
  std::optional<configuration_parts> ActiveParts;
  std::uint64_t ActiveVersion = 0;
  std::size_t FaultCount = 0;   ///< Of the active version.
  std::size_t GroupServers = 0; ///< Of the active snapshot.
  store_version LastRowVersion;
  /// Of the operators' table before the update that is applied.
  superseded_configuration::times TimesBefore;
  std::map<std::string, backend_server> LastServers;
  decoded_rows<backend_server> ServerRows;
  decoded_rows<entry_vm> VmRows;
  bool StoreUnreachable = false; ///< The replica is older than MaxStoreAge.
  outage_grace_period GracePeriod;
  bool GracePeriodWasActive = false;
  server_registrations Registrations;
  std::uint64_t OlderRegistrations = 0;
  restored_zones RestoredZones;
  restored_servers RestoredServers;
  restored_vms RestoredVms;
  configuration_catch_up CatchUp;
  rollout_orders RolloutOrders;
  /// Versions of the orders of rollouts that could not be read, so that each
  /// is logged once.
  std::map<std::string, store_version> UnreadableOrders;
  std::optional<time_point> ReadLateAt; ///< When the pending read is overdue.
  bool LastReadFailed = false;
};

} // namespace agatedale
