#include "gooseberrypath/descriptors.h"

#include <sys/resource.h>

namespace gooseberrypath {

namespace {

// File descriptors that are reserved for everything except callers' connections.
constexpr size_t kReserved = 1000;

// For a system that does not tell its limit.
constexpr size_t kUsualLimit = 1024;

} // namespace

void LimitDescriptors(size_t aDescriptors)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur > aDescriptors) {
    limit.rlim_cur = aDescriptors;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

size_t DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : kUsualLimit;
}

size_t ConnectionsWithin(size_t aDescriptors)
{
  return aDescriptors > 2 * kReserved ? aDescriptors - kReserved : aDescriptors / 2;
}

} // namespace gooseberrypath
