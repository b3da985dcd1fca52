#include "entry/world.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// By then a daemon has heard the others, or forgets the addresses of those that are gone.
constexpr Duration kMeetTime = std::chrono::seconds(20);

} // namespace

size_t World::DaemonCount() const
{
  size_t count = 1;
  for (const auto& [host, peer] : peers) {
    count += peer.digest.isStopping ? 0 : 1;
  }
  if (Now() < started + kMeetTime) {
    count = std::max(count, peerAddresses.size() + 1);
  }
  return count;
}

TotalBackendUse World::TotalUseOf(const BackendRow& aBackend) const
{
  TotalBackendUse sum{ .inFlight = aBackend.inFlight,
                       .waitingTokens = aBackend.waitingTokens,
                       .kvTokens = aBackend.kvTokens };
  if (const auto found = peerUse.find(aBackend.key); found != peerUse.end()) {
    sum.inFlight += found->second.inFlight;
    sum.waitingTokens += found->second.waitingTokens;
    sum.kvTokens += found->second.kvTokens;
  }
  return sum;
}

} // namespace gooseberrypath::entry
