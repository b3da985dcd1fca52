#include "gooseberrypath/freed_memory.h"

#include <algorithm>

#include <malloc.h>

namespace gooseberrypath {

namespace {

// Allocations of this size and more have their own pages. With 64 KiB, bodies that grew
// side by side left so many holes in the heap that it took three times what they held.
constexpr int kMmapThresholdBytes = 16 * 1024;

// Freed memory is returned to the operating system after so much of it was freed.
constexpr size_t kTrimBytes = size_t{ 1024 } * 1024;

} // namespace

void ReturnLargeAllocations()
{
  // By default, the size grows to that of the largest freed allocation, and the memory of
  // bodies stays in a fragmented heap.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

void FreedMemory::Update(size_t aInUse)
{
  peak_ = std::max(peak_, aInUse);
  if (peak_ - aInUse >= kTrimBytes) {
    malloc_trim(0);
    peak_ = aInUse;
  }
}

} // namespace gooseberrypath
