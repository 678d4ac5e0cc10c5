/// \file
/// Limits the total memory used by request bodies.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace agatedale {

/// Process-wide limit on the bytes of buffered request bodies. Many concurrent
/// or slow uploads can each respect the per-request limit and still exceed the
/// memory of the VM together.
class body_budget {
public:
  explicit body_budget(std::size_t LimitBytes) : LimitBytes(LimitBytes) {}

  std::size_t reservedBytes() const { return ReservedBytes; }

private:
  friend class body_reservation;

  std::size_t LimitBytes;
  std::size_t ReservedBytes = 0;
};

/// One request's reservation from a body_budget; the destructor releases it.
///
///   body_reservation Reservation(Budget);
///   if (!Reservation.resize(Bytes)) refuse(refusal_reason::MemoryFull);
class body_reservation {
public:
  body_reservation() = default;
  explicit body_reservation(std::shared_ptr<body_budget> Budget)
      : Budget(std::move(Budget)) {}
  body_reservation(body_reservation &&Other) noexcept
      : Budget(std::move(Other.Budget)), Bytes(std::exchange(Other.Bytes, 0)) {}
  body_reservation &operator=(body_reservation &&Other) noexcept {
    std::swap(Budget, Other.Budget);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~body_reservation() {
    if (Budget)
      Budget->ReservedBytes -= Bytes;
  }

  /// Changes the reservation to \p NewBytes. Returns false and leaves the
  /// reservation unchanged if the budget would be exceeded.
  bool resize(std::size_t NewBytes) {
    if (!Budget)
      return true;
    if (NewBytes > Bytes &&
        Budget->ReservedBytes - Bytes + NewBytes > Budget->LimitBytes)
      return false;
    Budget->ReservedBytes = Budget->ReservedBytes - Bytes + NewBytes;
    Bytes = NewBytes;
    return true;
  }

  std::size_t bytes() const { return Bytes; }

private:
  std::shared_ptr<body_budget> Budget;
  std::size_t Bytes = 0;
};

} // namespace agatedale
