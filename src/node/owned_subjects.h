/// \file
/// The server groups and key partitions that this node owns now.
#pragma once

#include "agatedale/settings.h"
#include "control.h"
#include "group_shard.h"
#include "key_shard.h"
#include "peer_link.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace agatedale {

/// Makes a shard when the node gains a subject, and ends it when the node loses
/// it or hands it over. What a lost owner may have left running counts as
/// running until it is proved to have ended.
///
///   Owned.refresh(Now);
///   if (auto Shard = Owned.findGroup("orders/north-a/0")) Shard->serve(...);
class owned_subjects {
public:
  owned_subjects(const settings &Settings, control &Control, peer_links &Links,
                 const shard_context &Context);

  /// Brings the shards in line with the leases that the node holds.
  void refresh(time_point Now);

  /// Takes a newer configuration to the shards.
  void applyConfiguration(const configuration &Configuration);

  /// Hands a subject to another entry VM; true when it accepted. When it did
  /// not, this node goes on with the subject where it stopped.
  bool handOver(const due_hand_over &Due, time_point Now);

  /// Receives a subject from its owner: it is claimed, and its table used, if
  /// this node gains it before a third could have.
  void receive(const wire::HandOverRequest &Request, time_point Now);

  /// Keeps a copy of entries of a partition that another node owns.
  void keepCopies(const wire::CopyKeysRequest &Request);

  void tick();

  std::shared_ptr<group_shard> findGroup(const std::string &Subject) const;
  std::shared_ptr<key_shard> findKeys(const std::string &Subject) const;
  std::vector<std::shared_ptr<group_shard>> groups() const;
  std::vector<std::string> keyPartitions() const;

  /// Returns the attempts that run in all groups, owned or given up.
  std::size_t running() const;

private:
  struct received_table {
    wire::HandOverRequest Request;
    time_point At;
  };

  void gain(const lease_subject &Subject, time_point Until, time_point Now);
  void gainGroup(const group_id &Id, time_point Until, time_point Now);
  void gainKeys(const lease_subject &Subject, time_point Until, time_point Now);
  void lose(const lease_subject &Subject);
  wire::HandOverRequest stopGroup(const due_hand_over &Due, group_shard &Shard);
  wire::HandOverRequest stopKeys(const due_hand_over &Due, key_shard &Shard);
  void slotFreed(const std::string &Ip, const lease_subject &Subject,
                 const std::string &Server, attempt_id Attempt);
  std::optional<wire::HandOverRequest>
  takeReceived(const lease_subject &Subject, time_point Now);
  void copyToHolder(const lease_subject &Partition, const key_entry &Entry);

  settings Settings;
  control &Control;
  peer_links &Links;
  shard_context Context;
  mutable std::mutex Lock;
  std::map<lease_subject, std::shared_ptr<group_shard>> Groups;
  std::map<lease_subject, std::shared_ptr<key_shard>> Keys;
  std::vector<std::shared_ptr<group_shard>> GivenUp;
  std::set<lease_subject> HandingOver;
  std::map<lease_subject, received_table> Received;
  mutable std::mutex CopyLock;
  std::map<lease_subject, std::map<std::string, key_entry>> Copies;
  std::mutex RefreshLock;
};

} // namespace agatedale
