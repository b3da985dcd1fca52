// Returns the memory of ended requests to the operating system.
//
//   ReturnLargeAllocations();       // once, when the process starts
//   FreedMemory freed;
//   freed.Update(memory.InUse());   // now and then

#ifndef GOOSEBERRYPATH_FREED_MEMORY_H_
#define GOOSEBERRYPATH_FREED_MEMORY_H_

#include <cstddef>

namespace gooseberrypath {

/// Sets the process up so that the memory of large allocations is returned as soon as it
/// is freed.
void ReturnLargeAllocations();

/// Returns the free parts of the heap after much memory was freed.
class FreedMemory
{
public:
  /// Tells how many bytes are in use now.
  void Update(size_t aInUse);

private:
  size_t peak_ = 0; // in use since memory was last returned
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_FREED_MEMORY_H_
