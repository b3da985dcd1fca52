#include "entry/shared_bytes.h"

#include <utility>

namespace gooseberrypath::entry {

SharedBytes::SharedBytes(std::string aBytes, MemoryCharge aCharge)
  : holder_(std::make_shared<const Holder>(
      Holder{ .bytes = std::move(aBytes), .charge = std::move(aCharge) }))
{
}

} // namespace gooseberrypath::entry
