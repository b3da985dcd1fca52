// Account of the memory that one kind of data takes up in the whole process, for example
// callers' requests while they are read, run and are queued to backends. It counts bytes
// and holds none.
//
//   auto memory = std::make_shared<MemoryAccount>(bound);
//   MemoryCharge charge(memory);
//   if (!charge.TryResize(bytes)) { ... }   // there is no room
//   MemoryCharge bodyCharge = charge.Split(body.capacity());

#ifndef GOOSEBERRYPATH_MEMORY_ACCOUNT_H_
#define GOOSEBERRYPATH_MEMORY_ACCOUNT_H_

#include <algorithm>
#include <cstddef>
#include <memory>

namespace gooseberrypath {

/// The bound for a host whose memory is unknown.
inline constexpr size_t kDefaultAccountBound = size_t{ 32 } * 1024 * 1024;

/// Returns the bound of an account on a host with this much memory in MiB: a quarter of
/// it. The rest is for the other accounts, connections, the program and the operating
/// system. 0: unknown.
constexpr size_t AccountBoundOfHost(double aHostMb)
{
  constexpr double kShare = 0.25;
  constexpr double kBytesInMiB = 1024.0 * 1024.0;
  return aHostMb > 0 ? static_cast<size_t>(aHostMb * kBytesInMiB * kShare)
                     : kDefaultAccountBound;
}

class MemoryAccount
{
public:
  explicit MemoryAccount(size_t aBound = kDefaultAccountBound)
    : bound_(aBound)
  {
  }

  /// Sets the bytes that a single legal message may need. The bound is never lower.
  void SetLeastBound(size_t aBytes) { leastBound_ = aBytes; }

  /// Returns the bytes that may be charged together.
  size_t Bound() const { return std::max(bound_, leastBound_); }

  /// Returns the bytes that are charged now. They may exceed the bound after
  /// MemoryCharge::Resize() or a lower limit.
  size_t InUse() const { return inUse_; }

  /// Returns the bytes that may still be charged.
  size_t Free() const { return Bound() - std::min(Bound(), inUse_); }

private:
  friend class MemoryCharge;

  size_t bound_;
  size_t leastBound_ = 0;
  size_t inUse_ = 0;
};

using MemoryAccountPtr = std::shared_ptr<MemoryAccount>;

/// The bytes that one message or a part of it takes up. They are returned to the account
/// when the charge is destroyed.
class MemoryCharge
{
public:
  /// A charge without an account counts nothing.
  MemoryCharge() = default;
  explicit MemoryCharge(MemoryAccountPtr aMemory);
  ~MemoryCharge();

  MemoryCharge(MemoryCharge&& aOther) noexcept;
  MemoryCharge& operator=(MemoryCharge&& aOther) noexcept;

  size_t Bytes() const { return bytes_; }

  /// Changes the bytes of the charge. Returns false, and changes nothing, if it would
  /// grow and the account has no room for that.
  bool TryResize(size_t aBytes);

  /// Changes the bytes of the charge even beyond the account's bound.
  void Resize(size_t aBytes);

  /// Returns a charge of 0 bytes on the same account.
  MemoryCharge Sibling() const { return MemoryCharge(memory_); }

  /// Moves up to aBytes of this charge into a new one.
  MemoryCharge Split(size_t aBytes);

private:
  MemoryAccountPtr memory_;
  size_t bytes_ = 0;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MEMORY_ACCOUNT_H_
