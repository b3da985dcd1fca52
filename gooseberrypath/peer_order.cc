#include "gooseberrypath/peer_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "gooseberrypath/membership_system.h"

namespace gooseberrypath {

namespace {

// A request for an unknown id must not make a daemon ask hundreds of peers. A receiver is
// the first daemon of the order that took the request, so it is near the front.
constexpr size_t kMaxHolders = 8;

/// Cuts "-<aMark><digits>" from the end; returns whether it was there.
bool CutNumber(std::string_view& aText, std::string_view aMark)
{
  const size_t last = aText.find_last_not_of("0123456789");
  if (last == std::string_view::npos || last + 1 == aText.size()) {
    return false;
  }
  const std::string_view head = aText.substr(0, last + 1);
  if (!head.ends_with(aMark)) {
    return false;
  }
  aText = head.substr(0, head.size() - aMark.size());
  return true;
}

struct Ranked
{
  bool isNamed = false;
  uint64_t rank = 0;
  std::string address;
};

std::vector<Ranked> RankPeers(const World& aWorld, std::string_view aRequest)
{
  const std::string named = DaemonOfRequest(aRequest).value_or("");
  std::vector<Ranked> ranked;
  for (const auto& [daemon, row] : aWorld.members) {
    if (daemon == aWorld.options.daemon || !IsReachable(aWorld, row)) {
      continue;
    }
    // A character that no name contains separates the parts.
    const std::string text = std::string(aRequest) + '\n' + daemon;
    ranked.push_back({ .isNamed = daemon == named,
                       .rank = XXH3_64bits(text.data(), text.size()),
                       .address = row.digest.peerAddress });
  }
  return ranked;
}

std::vector<std::string> AddressesOf(const std::vector<Ranked>& aRanked)
{
  std::vector<std::string> addresses;
  addresses.reserve(aRanked.size());
  for (const Ranked& peer : aRanked) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

} // namespace

std::optional<std::string> DaemonOfRequest(std::string_view aRequest)
{
  if (!CutNumber(aRequest, "-r") || !CutNumber(aRequest, "-") || aRequest.empty()) {
    return std::nullopt;
  }
  return std::string(aRequest);
}

std::vector<std::string> ReceiversOf(const World& aWorld, std::string_view aRequest)
{
  std::vector<Ranked> peers = RankPeers(aWorld, aRequest);
  std::erase_if(peers, [&](const Ranked& aPeer) {
    return std::ranges::none_of(aWorld.members, [&](const auto& aItem) {
      return aItem.second.digest.peerAddress == aPeer.address &&
             aItem.second.digest.state == DaemonState::Serving;
    });
  });
  std::ranges::sort(peers, std::greater{}, &Ranked::rank);
  return AddressesOf(peers);
}

std::vector<std::string> HoldersOf(const World& aWorld, std::string_view aRequest)
{
  std::vector<Ranked> peers = RankPeers(aWorld, aRequest);
  std::ranges::sort(peers, std::greater{}, [](const Ranked& aPeer) {
    return std::pair(aPeer.isNamed, aPeer.rank);
  });
  peers.resize(std::min(peers.size(), kMaxHolders));
  return AddressesOf(peers);
}

} // namespace gooseberrypath
