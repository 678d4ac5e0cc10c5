/// \file
/// Bounds the memory that requests' bodies take together.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace agatedale {

/// The bytes of bodies that a process holds. The load that it answers: many
/// callers send large bodies at once, or send them slowly; each stays within
/// the operators' limit, and all of them together would take more memory than
/// the VM has.
class body_budget {
public:
  explicit body_budget(std::size_t LimitBytes) : LimitBytes(LimitBytes) {}

  std::size_t reservedBytes() const { return ReservedBytes; }

private:
  friend class body_reservation;

  std::size_t LimitBytes;
  std::size_t ReservedBytes = 0;
};

/// What one request holds of a budget, given back when it is gone.
///
///   body_reservation Share(Budget);
///   if (!Share.resize(Bytes)) refuse(refusal_reason::MemoryFull);
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

  /// Holds \p NewBytes from now on. Returns false, and changes nothing, when
  /// they do not fit.
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

private:
  std::shared_ptr<body_budget> Budget;
  std::size_t Bytes = 0;
};

} // namespace agatedale
