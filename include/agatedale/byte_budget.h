/// \file
/// Limits the total memory used by bytes that are held for others.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace agatedale {

/// What held bytes are.
enum class held_kind {
  RequestHead,    ///< Received from callers, not part of a whole request yet.
  RequestBody,    ///< From callers and peers, until the response.
  ServerResponse, ///< Being received from servers, or waiting for its turn.
  PeerMessage,    ///< From peers and to them, longer than a frame.
  CallerOutput    ///< Responses that callers have not taken.
};

constexpr std::size_t HeldKinds = 5;

/// Process-wide limit on the bytes that are held for callers, servers and
/// peers. Each of many slow clients can respect the limits of a request and
/// together still exceed the memory of the VM.
///
/// Bodies of requests may take BodyShare of the limit, so that the largest one
/// fits on the smallest VM, and heads that are being received HeadShare; both
/// leave room for responses. Above HighWater no new work is accepted. It is
/// above BodyShare, so that small requests are accepted beside the largest one.
class byte_budget {
public:
  static constexpr double HighWater = 0.75;
  static constexpr double BodyShare = 0.65;
  static constexpr double HeadShare = 0.2;

  /// Frees memory by closing a connection of a slow client. Returns false if
  /// there is none. The handler must not call into the owner of a reservation
  /// that is being resized.
  using relieve = std::function<bool()>;

  explicit byte_budget(std::size_t LimitBytes) : LimitBytes(LimitBytes) {}

  std::size_t limitBytes() const { return LimitBytes; }
  std::size_t bodyLimitBytes() const { return share(BodyShare); }
  std::size_t reservedBytes() const { return Reserved; }
  std::size_t reservedBytes(held_kind Kind) const {
    return ByKind[static_cast<std::size_t>(Kind)];
  }

  void setRelief(relieve Handler) { Relieve = std::move(Handler); }

  /// Returns true if new work must wait or be refused. Slow clients are closed
  /// first.
  bool refusesWork() {
    return !makeRoom([this] { return Reserved <= share(HighWater); });
  }

private:
  friend class byte_reservation;

  std::size_t share(double Share) const {
    return static_cast<std::size_t>(Share * static_cast<double>(LimitBytes));
  }

  /// Returns true if a reservation of \p Bytes may become \p NewBytes.
  bool fits(held_kind Kind, std::size_t Bytes, std::size_t NewBytes) const {
    if (Reserved - Bytes + NewBytes > LimitBytes)
      return false;
    const std::size_t OfKind = reservedBytes(Kind) - Bytes + NewBytes;
    return (Kind != held_kind::RequestHead || OfKind <= share(HeadShare)) &&
           (Kind != held_kind::RequestBody || OfKind <= share(BodyShare));
  }

  template <typename Condition> bool makeRoom(Condition HasRoom) {
    while (!HasRoom()) {
      if (!Relieve || !Relieve())
        return false;
    }
    return true;
  }

  void add(held_kind Kind, std::size_t Bytes) {
    Reserved += Bytes;
    ByKind[static_cast<std::size_t>(Kind)] += Bytes;
  }
  void remove(held_kind Kind, std::size_t Bytes) {
    Reserved -= Bytes;
    ByKind[static_cast<std::size_t>(Kind)] -= Bytes;
  }

  std::size_t LimitBytes;
  std::size_t Reserved = 0;
  std::array<std::size_t, HeldKinds> ByKind{};
  relieve Relieve;
};

/// A reservation from a byte_budget; the destructor releases it.
///
///   byte_reservation Reservation(Budget, held_kind::RequestBody);
///   if (!Reservation.resize(Bytes)) refuse(refusal_reason::MemoryFull);
class byte_reservation {
public:
  byte_reservation() = default;
  byte_reservation(std::shared_ptr<byte_budget> Budget, held_kind Kind)
      : Budget(std::move(Budget)), Kind(Kind) {}
  byte_reservation(byte_reservation &&Other) noexcept
      : Budget(std::move(Other.Budget)), Kind(Other.Kind),
        Bytes(std::exchange(Other.Bytes, 0)) {}
  byte_reservation &operator=(byte_reservation &&Other) noexcept {
    std::swap(Budget, Other.Budget);
    std::swap(Kind, Other.Kind);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~byte_reservation() {
    if (Budget)
      Budget->remove(Kind, Bytes);
  }

  /// Changes the reservation to \p NewBytes. If the budget would be exceeded,
  /// slow clients are closed; if that does not suffice, returns false and
  /// leaves the reservation unchanged.
  bool resize(std::size_t NewBytes) {
    if (!Budget)
      return true;
    const bool HasRoom =
        NewBytes <= Bytes || Budget->makeRoom([this, NewBytes] {
          return Budget->fits(Kind, Bytes, NewBytes);
        });
    if (HasRoom)
      set(NewBytes);
    return HasRoom;
  }

  /// Returns true if resize() would not have to close slow clients.
  bool fits(std::size_t NewBytes) const {
    return !Budget || NewBytes <= Bytes || Budget->fits(Kind, Bytes, NewBytes);
  }

  /// Changes the reservation to \p NewBytes, which are in memory already, even
  /// if the budget is exceeded.
  void set(std::size_t NewBytes) {
    if (!Budget)
      return;
    Budget->remove(Kind, Bytes);
    Budget->add(Kind, NewBytes);
    Bytes = NewBytes;
  }

  /// Counts the bytes as \p NewKind from now on.
  void setKind(held_kind NewKind) {
    const std::size_t Held = Bytes;
    set(0);
    Kind = NewKind;
    set(Held);
  }

  std::size_t bytes() const { return Bytes; }

private:
  std::shared_ptr<byte_budget> Budget;
  held_kind Kind = held_kind::RequestBody;
  std::size_t Bytes = 0;
};

} // namespace agatedale
