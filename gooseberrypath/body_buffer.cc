#include "gooseberrypath/body_buffer.h"

#include <algorithm>

namespace gooseberrypath {

namespace {

// Bodies grow by this factor. Doubling would leave up to half of the memory unused.
constexpr size_t kGrowthNumerator = 3;
constexpr size_t kGrowthDenominator = 2;

} // namespace

size_t BodyBuffer::CapacityFor(size_t aSize, size_t aLimit) const
{
  const size_t current = bytes_.capacity();
  if (aSize <= current) {
    return current;
  }
  const size_t grown =
    std::max(firstBytes_, current * kGrowthNumerator / kGrowthDenominator);
  return std::min(std::max(aSize, aLimit), std::max(aSize, grown));
}

void BodyBuffer::Append(std::string_view aBytes, size_t aCapacity)
{
  if (aCapacity > bytes_.capacity()) {
    // std::string::reserve() would at least double the capacity.
    std::string grown;
    grown.reserve(aCapacity);
    grown += bytes_;
    bytes_ = std::move(grown);
  }
  bytes_.append(aBytes);
}

} // namespace gooseberrypath
