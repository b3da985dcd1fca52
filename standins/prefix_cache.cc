#include "standins/prefix_cache.h"

#include <algorithm>

#include "standins/chat_request.h"

namespace gooseberrypath::standins {

namespace {

/// Returns the prefix hash at the end of each whole block.
std::vector<uint64_t> BlockHashes(const std::vector<std::string>& aTokens)
{
  std::vector<uint64_t> hashes;
  uint64_t hash = 0;
  for (size_t i = 0; i < aTokens.size(); ++i) {
    hash = HashToken(hash, aTokens[i]);
    if ((i + 1) % PrefixCache::kBlockTokens == 0) {
      hashes.push_back(hash);
    }
  }
  return hashes;
}

} // namespace

size_t PrefixCache::Match(const std::vector<std::string>& aTokens) const
{
  const auto hashes = BlockHashes(aTokens);
  const auto miss = std::find_if_not(hashes.begin(), hashes.end(), [&](uint64_t aHash) {
    return blocks_.contains(aHash);
  });
  return static_cast<size_t>(miss - hashes.begin()) * kBlockTokens;
}

void PrefixCache::Insert(const std::vector<std::string>& aTokens)
{
  auto hashes = BlockHashes(aTokens);
  // A prefix longer than the memory keeps its start, which is what a later match needs.
  hashes.resize(std::min(hashes.size(), limitTokens_ / kBlockTokens));
  // From the end, so that the last block of a prefix is evicted before the first.
  std::reverse(hashes.begin(), hashes.end());
  for (const uint64_t hash : hashes) {
    const auto found = blocks_.find(hash);
    if (found != blocks_.end()) {
      order_.splice(order_.begin(), order_, found->second);
      continue;
    }
    order_.push_front(hash);
    blocks_[hash] = order_.begin();
    onChange_(hash, true);
  }
  while (UsedTokens() > limitTokens_) {
    const uint64_t evicted = order_.back();
    order_.pop_back();
    blocks_.erase(evicted);
    onChange_(evicted, false);
  }
}

} // namespace gooseberrypath::standins
