// The process's limit of file descriptors, and how many of them callers' connections may
// use.
//
//   LimitDescriptors(600);
//   const size_t most = ConnectionsWithin(DescriptorLimit());

#ifndef GOOSEBERRYPATH_DESCRIPTORS_H_
#define GOOSEBERRYPATH_DESCRIPTORS_H_

#include <cstddef>

namespace gooseberrypath {

/// Lowers the process's own limit of descriptors to this number, so that no kind of
/// connection can pass it. A lower limit stays.
void LimitDescriptors(size_t aDescriptors);

/// Returns the process's limit of descriptors.
size_t DescriptorLimit();

/// Returns how many connections callers may have with so many descriptors. The others are
/// for everything else.
size_t ConnectionsWithin(size_t aDescriptors);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_DESCRIPTORS_H_
