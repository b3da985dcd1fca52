// Estimates which parts of a prompt are in the prompt cache of each engine. A daemon
// records the parts that it sent to each engine. For parts that other daemons may have
// sent, all daemons choose the same affinity engine by rendezvous hashing, without
// exchanging messages.
//
//   PromptCacheIndex index({});
//   index.RecordPrompt(now, engine, demand);
//   uint32_t tokens = index.UncachedTokens(now, engine, isAffinityEngine, demand);

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
  size_t maxEntries = 20'000;                    // pairs of engine and part; about 1.5 MB
};

class PromptCacheIndex
{
public:
  explicit PromptCacheIndex(PromptCacheIndexOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Records that the prompt is sent to the engine. `aEngine` is the hash of its id.
  void RecordPrompt(TimePoint aNow, uint64_t aEngine, const ModelDemand& aDemand);

  /// Returns the number of prompt tokens that the engine is expected to compute.
  /// `aIsAffinityEngine` is whether AffinityEngine() returns this engine for the prompt.
  uint32_t UncachedTokens(TimePoint aNow, uint64_t aEngine, bool aIsAffinityEngine,
                          const ModelDemand& aDemand) const;

  /// Returns the number of recorded pairs of engine and part.
  size_t Size() const { return lastUse_.size(); }

  /// Removes entries that are older than the retention time. If there are still too many,
  /// also removes the least recently used ones.
  void Purge(TimePoint aNow);

private:
  static uint64_t EntryKey(uint64_t aEngine, uint64_t aPart);

  PromptCacheIndexOptions options_;
  std::unordered_map<uint64_t, TimePoint> lastUse_;
};

/// Returns the index of the engine that all daemons choose for this prompt, by rendezvous
/// hashing of the last part that other calls may share. The list must not be empty.
size_t AffinityEngine(const ModelDemand& aDemand, std::span<const uint64_t> aEngines);

} // namespace gooseberrypath::entry

#endif // ENTRY_PROMPT_CACHE_INDEX_H_
