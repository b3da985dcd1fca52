// What engines are expected to hold of a prompt. A daemon remembers the parts that it
// sent to each engine. For parts that other daemons may have sent, all daemons agree on
// one engine a part by rendezvous hashing, without messages.
//
//   PromptCacheIndex cache({});
//   cache.Remember(now, engine, demand);
//   uint32_t missing = cache.UncachedTokens(now, engine, isHome, demand);

#ifndef ENTRY_PROMPT_CACHE_INDEX_H_
#define ENTRY_PROMPT_CACHE_INDEX_H_

#include <cstdint>
#include <span>
#include <unordered_map>

#include "entry/model.h"

namespace gooseberrypath::entry {

struct PromptCacheIndexOptions
{
  Duration retention = std::chrono::seconds(60); // after the last use of a part
  size_t maxEntries = 20'000;                    // of parts and engines; about 1.5 MB
};

class PromptCacheIndex
{
public:
  explicit PromptCacheIndex(PromptCacheIndexOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Notes that the engine reads the prompt. `aEngine` is the hash of its id.
  void RecordPrompt(TimePoint aNow, uint64_t aEngine, const ModelDemand& aDemand);

  /// Returns the prompt tokens that the engine is expected to read. `aIsAffinityEngine`
  /// tells whether the engine is the one that the daemons agree on for this prompt.
  uint32_t UncachedTokens(TimePoint aNow, uint64_t aEngine, bool aIsAffinityEngine,
                          const ModelDemand& aDemand) const;

  /// Returns the number of parts at engines that are remembered.
  size_t Size() const { return lastUse_.size(); }

  /// Forgets what is too old.
  void Purge(TimePoint aNow);

private:
  static uint64_t EntryKey(uint64_t aEngine, uint64_t aPart);

  PromptCacheIndexOptions options_;
  std::unordered_map<uint64_t, TimePoint> lastUse_;
};

/// Returns the index of the engine on which all daemons agree for this prompt: the first
/// choice for its last part that other calls share. The list must not be empty.
size_t AffinityEngine(const ModelDemand& aDemand, std::span<const uint64_t> aEngines);

} // namespace gooseberrypath::entry

#endif // ENTRY_PROMPT_CACHE_INDEX_H_
