#include "gooseberrypath/shared_bytes.h"

#include <utility>

namespace gooseberrypath {

SharedBytes::SharedBytes(std::string aBytes, MemoryCharge aCharge)
  : holder_(std::make_shared<const Holder>(
      Holder{ .bytes = std::move(aBytes), .charge = std::move(aCharge) }))
{
}

SharedBytes SharedBytes::Derive(std::string aBytes) const
{
  MemoryCharge charge = holder_ == nullptr ? MemoryCharge() : holder_->charge.Sibling();
  charge.Resize(aBytes.capacity());
  return { std::move(aBytes), std::move(charge) };
}

} // namespace gooseberrypath
