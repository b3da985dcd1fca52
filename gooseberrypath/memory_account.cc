#include "gooseberrypath/memory_account.h"

#include <utility>

namespace gooseberrypath {

MemoryCharge::MemoryCharge(MemoryAccountPtr aMemory)
  : memory_(std::move(aMemory))
{
}

MemoryCharge::~MemoryCharge()
{
  Resize(0);
}

MemoryCharge::MemoryCharge(MemoryCharge&& aOther) noexcept
  : memory_(std::move(aOther.memory_))
  , bytes_(std::exchange(aOther.bytes_, 0))
{
}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& aOther) noexcept
{
  if (this != &aOther) {
    Resize(0);
    memory_ = std::move(aOther.memory_);
    bytes_ = std::exchange(aOther.bytes_, 0);
  }
  return *this;
}

bool MemoryCharge::TryResize(size_t aBytes)
{
  if (memory_ != nullptr && aBytes > bytes_ && aBytes - bytes_ > memory_->Free()) {
    return false;
  }
  Resize(aBytes);
  return true;
}

void MemoryCharge::Resize(size_t aBytes)
{
  if (memory_ != nullptr) {
    memory_->inUse_ += aBytes - bytes_;
    bytes_ = aBytes;
  }
}

MemoryCharge MemoryCharge::Split(size_t aBytes)
{
  MemoryCharge part(memory_);
  part.bytes_ = std::min(aBytes, bytes_);
  bytes_ -= part.bytes_;
  return part;
}

} // namespace gooseberrypath
