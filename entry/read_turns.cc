#include "entry/read_turns.h"

#include <algorithm>
#include <random>
#include <string_view>
#include <utility>

namespace gooseberrypath::entry {

namespace {

// The time between turns covers a read and a digest.
constexpr Duration kTurn = std::chrono::milliseconds(100);
constexpr size_t kMaxTurns = 4;

} // namespace

size_t LiveDaemons(const World& aWorld)
{
  return 1 + std::ranges::count_if(
               aWorld.peers, [](const auto& aItem) { return aItem.second.isAlive; });
}

size_t DaemonsBefore(const World& aWorld)
{
  const std::string& host = aWorld.options.host;
  const auto order = std::pair(DigestKey(host), std::string_view(host));
  return std::ranges::count_if(aWorld.peers, [&](const auto& aItem) {
    const PeerRow& peer = aItem.second;
    return peer.isAlive && peer.digest.canReachStore && !peer.digest.isStopping &&
           std::pair(DigestKey(aItem.first), std::string_view(aItem.first)) < order;
  });
}

Duration ReadTurnDelay(const World& aWorld, Duration aLate)
{
  const size_t before = DaemonsBefore(aWorld);
  return before < kMaxTurns ? kTurn * static_cast<int64_t>(before)
                            : kTurn * static_cast<int64_t>(kMaxTurns) + aLate;
}

Duration RandomUpTo(World& aWorld, Duration aMost)
{
  return Duration(
    std::uniform_int_distribution<int64_t>(0, aMost.count())(aWorld.random));
}

} // namespace gooseberrypath::entry
