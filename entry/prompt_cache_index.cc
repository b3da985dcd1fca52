#include "entry/prompt_cache_index.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

#include "entry/prompt_parts.h"

namespace gooseberrypath::entry {

namespace {

uint64_t Combine(uint64_t aLeft, uint64_t aRight)
{
  const std::array<uint64_t, 2> both{ aLeft, aRight };
  return XXH64(both.data(), sizeof(both), 0);
}

} // namespace

uint64_t PromptCacheIndex::EntryKey(uint64_t aEngine, uint64_t aPart)
{
  return Combine(aEngine, aPart);
}

void PromptCacheIndex::RecordPrompt(TimePoint aNow, uint64_t aEngine,
                                    const ModelDemand& aDemand)
{
  for (const PromptPart& part : aDemand.parts) {
    lastUse_[EntryKey(aEngine, part.id)] = aNow;
  }
  if (lastUse_.size() > options_.maxEntries) {
    Purge(aNow);
  }
}

uint32_t PromptCacheIndex::UncachedTokens(TimePoint aNow, uint64_t aEngine,
                                          bool aIsAffinityEngine,
                                          const ModelDemand& aDemand) const
{
  uint32_t cached = 0;
  const size_t shared = SharedParts(aDemand).size();
  for (size_t i = 0; i < aDemand.parts.size(); ++i) {
    const PromptPart& part = aDemand.parts[i];
    const auto found = lastUse_.find(EntryKey(aEngine, part.id));
    const bool isOwn =
      found != lastUse_.end() && found->second + options_.retention > aNow;
    if (!isOwn && !(aIsAffinityEngine && i < shared)) {
      break; // a cached part is only useful if all parts before it are cached
    }
    cached += part.tokens;
  }
  const uint32_t total = aDemand.promptTokens;
  return total - std::min(total, cached);
}

void PromptCacheIndex::Purge(TimePoint aNow)
{
  const auto dropOlder = [&](Duration aAge) {
    std::erase_if(lastUse_,
                  [&](const auto& aItem) { return aItem.second + aAge <= aNow; });
  };
  dropOlder(options_.retention);
  for (Duration age = options_.retention / 2;
       lastUse_.size() > options_.maxEntries && age.count() > 0; age /= 2) {
    dropOlder(age);
  }
}

size_t AffinityEngine(const ModelDemand& aDemand, std::span<const uint64_t> aEngines)
{
  const auto shared = SharedParts(aDemand);
  const uint64_t part = shared.empty() ? 0 : shared.back().id;
  const auto best = std::ranges::max_element(
    aEngines, {}, [&](uint64_t aEngine) { return Combine(part, aEngine); });
  return static_cast<size_t>(best - aEngines.begin());
}

} // namespace gooseberrypath::entry
