/// \file
/// Encoding, pacing and decoding of relayed table updates.
#include "store_relay.h"

#include "../core/log.h"
#include "compression.h"
#include "wire_convert.h"

#include <algorithm>

namespace agatedale {

namespace {

namespace wire = agatedale::gateway;

/// Updates up to this size are sent as they are.
constexpr std::size_t MaxUnpackedBytes = 1024;

/// Maximum number of positions per table for which an update is kept encoded.
constexpr std::size_t MaxCachedUpdates = 16;

/// Larger updates are refused.
constexpr std::size_t MaxUpdateBytes = 64 << 20;

void addPosition(wire::Heartbeat &Message, store_version Position) {
  Message.add_positions(Position.Number);
  Message.add_eras(Position.Era);
}

void refuse(const wire::Heartbeat &Message, const error &Error) {
  logLine(log_level::Error, "peer-message-refused",
          {{"why", Error.Message}, {"vm", Message.vm()}});
}

result<table_update> unpack(const wire::PackedNews &Packed, time_point Now,
                            std::optional<time_point> RequestedAt) {
  if (Packed.unpacked_bytes() > MaxUpdateBytes)
    return error{error_kind::InvalidInput, "table update is too large"};
  const result<std::string> Bytes =
      decompress(Packed.rows(), Packed.unpacked_bytes());
  if (const error *Error = errorOf(Bytes))
    return *Error;
  wire::TableNews News;
  if (!News.ParseFromString(valueOf(Bytes)))
    return error{error_kind::InvalidInput, "unreadable table update"};
  const auto Rows = std::move(*News.mutable_rows());
  News = Packed.news();
  *News.mutable_rows() = Rows;
  return fromMessage(News, Now, RequestedAt);
}

} // namespace

store_version
store_relay::peer_positions::of(store_table Table,
                                const store_mirror &Mirror) const {
  const store_version Reported = Tables[static_cast<std::size_t>(Table)];
  return HasEras ? Reported
                 : store_version(Mirror.position(Table).Era, Reported.Number);
}

const store_relay::encoded_update &
store_relay::encode(const store_mirror &Mirror, store_table Table,
                    store_version Since) {
  table_cache &Known = Cache[static_cast<std::size_t>(Table)];
  const bool IsOutdated = Known.Revision != Mirror.revision(Table);
  const auto Found = Known.BySince.find(Since);
  if (!IsOutdated && Found != Known.BySince.end())
    return Found->second;
  if (IsOutdated || Known.BySince.size() >= MaxCachedUpdates)
    Known.BySince.clear();
  Known.Revision = Mirror.revision(Table);
  encoded_update &Encoded = Known.BySince[Since];
  Encoded.Update = Mirror.updateSince(Table, Since);
  addRows(std::exchange(Encoded.Update.Rows, {}), Encoded.Rows);
  Encoded.Bytes = Encoded.Rows.ByteSizeLong();
  if (Encoded.Bytes <= MaxUnpackedBytes)
    return Encoded;
  Encoded.Packed.set_unpacked_bytes(static_cast<std::uint32_t>(Encoded.Bytes));
  Encoded.Packed.set_rows(compress(Encoded.Rows.SerializeAsString()));
  Encoded.Bytes = Encoded.Packed.rows().size();
  Encoded.Rows.Clear();
  return Encoded;
}

void store_relay::addUpdates(wire::Heartbeat &Message, const std::string &Peer,
                             const store_mirror &Mirror, time_point Now) {
  for (const store_table Table : AllStoreTables)
    addPosition(Message, Mirror.position(Table));
  const auto Known = PeerPositions.find(Peer);
  // The snapshots of a restored store go out together: a peer that has been
  // sent one waits for the next.
  if (Known == PeerPositions.end() || !Mirror.isComplete() ||
      !Mirror.isOfOneEra())
    return;
  const peer_positions &Positions = Known->second;
  std::array<const encoded_update *, AllStoreTables.size()> Due{};
  bool HasSnapshot = false;
  std::size_t Bytes = 0;
  for (const store_table Table : AllStoreTables) {
    // A peer of a later era would ignore the rows.
    if (Positions.of(Table, Mirror).Era > Mirror.position(Table).Era)
      continue;
    Pacer.recordPosition(Peer, Table, Positions.of(Table, Mirror));
    if (!Pacer.maySend(Peer, Table, Now))
      continue;
    const auto Index = static_cast<std::size_t>(Table);
    Due[Index] = &encode(Mirror, Table, Positions.of(Table, Mirror));
    HasSnapshot = HasSnapshot || Due[Index]->Update.IsSnapshot;
    Bytes += Due[Index]->Bytes;
  }
  if (HasSnapshot && !SnapshotLimiter.tryAcquire(Peer, Bytes, Now))
    return;
  for (const encoded_update *Encoded : Due) {
    if (!Encoded)
      continue;
    table_update Update = Encoded->Update;
    Update.Position = Mirror.position(Update.Table);
    Update.AsOf = Mirror.asOf(Update.Table);
    Update.ProvenAsOf = Mirror.provenAsOf(Update.Table);
    Pacer.onSent(Peer, Update, Encoded->Bytes, Now);
    if (Encoded->Packed.rows().empty()) {
      wire::TableNews &News = *Message.add_news();
      News = Encoded->Rows;
      News.MergeFrom(toMessage(Update, Now));
      continue;
    }
    wire::PackedNews &Packed = *Message.add_packed();
    Packed = Encoded->Packed;
    *Packed.mutable_news() = toMessage(Update, Now);
  }
}

void store_relay::readUpdates(
    const wire::Heartbeat &Message, time_point Now,
    const std::function<void(const table_update &Update)> &OnUpdate,
    std::optional<time_point> RequestedAt) {
  if (Message.positions_size() == static_cast<int>(AllStoreTables.size())) {
    peer_positions &Positions = PeerPositions[Message.vm()];
    Positions.HasEras = Message.eras_size() == Message.positions_size();
    for (int I = 0; I < Message.positions_size(); ++I)
      Positions.Tables[static_cast<std::size_t>(I)] = {
          Positions.HasEras ? Message.eras(I) : 0, Message.positions(I)};
  }
  const auto Apply = [&](const result<table_update> &Update) {
    if (const error *Error = errorOf(Update))
      refuse(Message, *Error);
    else
      OnUpdate(valueOf(Update));
  };
  for (const wire::TableNews &News : Message.news())
    Apply(fromMessage(News, Now, RequestedAt));
  for (const wire::PackedNews &Packed : Message.packed())
    Apply(unpack(Packed, Now, RequestedAt));
}

} // namespace agatedale
