// The prefix cache of the engine stand-in: blocks of tokens, each identified by the hash
// of the whole prefix that it ends. The least recently used blocks are evicted.
//
//   PrefixCache cache(limitTokens, onChange);
//   size_t cached = cache.Match(tokens);
//   cache.Insert(tokens);

#ifndef STANDINS_PREFIX_CACHE_H_
#define STANDINS_PREFIX_CACHE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberrypath::standins {

/// A cache of prefixes in limited memory.
class PrefixCache
{
public:
  static constexpr size_t kBlockTokens = 16;

  /// Called with the prefix hash and whether it was stored (true) or removed (false).
  using OnChange = std::function<void(uint64_t, bool)>;

  PrefixCache(size_t aLimitTokens, OnChange aOnChange)
    : limitTokens_(aLimitTokens)
    , onChange_(std::move(aOnChange))
  {
  }

  /// Returns the number of leading tokens that are cached, a multiple of kBlockTokens.
  size_t Match(const std::vector<std::string>& aTokens) const;

  /// Stores all whole blocks of the tokens and marks them as used.
  void Insert(const std::vector<std::string>& aTokens);

  size_t UsedTokens() const { return order_.size() * kBlockTokens; }
  size_t LimitTokens() const { return limitTokens_; }

private:
  size_t limitTokens_;
  OnChange onChange_;
  std::list<uint64_t> order_; // most recently used first
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks_;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_PREFIX_CACHE_H_
