/// \file
/// Calls to other entry VMs.
#pragma once

#include "agatedale/configuration_state.h"
#include "agatedale/entry_vm.h"
#include "agatedale/key_table.h"
#include "agatedale/result.h"
#include "request.h"

#include "agatedale.pb.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace agatedale {

class peer_channel;

/// Bytes of control messages sent and received.
struct control_traffic {
  std::atomic<std::uint64_t> Messages{0};
  std::atomic<std::uint64_t> Bytes{0};
};

/// The connections of this node to its peers. Calls are never repeated by the
/// transport: what may have arrived is told as such.
///
///   peer_links Links(PeerPort);
///   Links.exchange(Peer, Request, Timeout, OnReply);
///   node_answer Answer = Links.forward(Peer, Request, "orders/a/0", Writer);
class peer_links {
public:
  explicit peer_links(std::uint16_t PeerPort);
  ~peer_links();

  /// Sends a heartbeat; \p OnReply gets the reply, or null when there is none,
  /// on a thread of the transport.
  void exchange(const std::string &Ip, const wire::ExchangeRequest &Request,
                duration Timeout,
                std::function<void(const wire::ExchangeReply *)> OnReply);

  /// Hands a request to a peer and returns its answer. A refusal by this
  /// function is NotRun only when nothing was sent. \p Group is empty when the
  /// peer is to route the request itself.
  node_answer forward(const entry_vm &Peer, const node_request &Request,
                      const std::string &Group, const answer_writer &Writer);

  /// Breaks off every request that waits for the peer at \p Ip.
  void breakOff(const std::string &Ip);

  /// Single calls with one reply; nothing is returned when it did not come.
  std::optional<wire::FetchConfigurationReply>
  fetchConfiguration(const std::string &Ip, std::uint64_t AtLeast,
                     duration Timeout);
  bool handOver(const std::string &Ip, const wire::HandOverRequest &Request,
                duration Timeout);
  void slotFreed(const std::string &Ip, const wire::SlotFreedRequest &Request);
  std::optional<wire::ClaimKeyReply>
  claimKey(const std::string &Ip, const wire::ClaimKeyRequest &Request,
           duration Timeout);
  bool settleKey(const std::string &Ip, const wire::SettleKeyRequest &Request,
                 duration Timeout);
  void copyKeys(const std::string &Ip, const wire::CopyKeysRequest &Request);

  /// Returns true if a call to \p Ip would be sent at once.
  bool isConnected(const std::string &Ip);

  const control_traffic &traffic() const { return Traffic; }

private:
  std::shared_ptr<peer_channel> channelTo(const std::string &Ip);

  std::uint16_t PeerPort;
  std::mutex Lock;
  std::map<std::string, std::shared_ptr<peer_channel>> Channels;
  control_traffic Traffic;
  std::atomic<int> Pending{0};
};

} // namespace agatedale
