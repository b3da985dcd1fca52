#include "entry/request_print.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <memory>
#include <string_view>

#include <xxhash.h>

namespace gooseberrypath::entry {

namespace {

// Tells prints from other hashes of the same bytes.
constexpr XXH64_hash_t kSeed = 0x7265'7175'6573'7431;

class Hash
{
public:
  Hash() { XXH3_128bits_reset_withSeed(state_.get(), kSeed); }

  void Add(uint64_t aValue)
  {
    std::array<unsigned char, sizeof(aValue)> bytes{};
    for (unsigned char& byte : bytes) { // in the same order on each machine
      byte = static_cast<unsigned char>(aValue & 0xffU);
      aValue >>= 8U;
    }
    XXH3_128bits_update(state_.get(), bytes.data(), bytes.size());
  }

  /// Adds the text and its length, so that no two fields run together.
  void Add(std::string_view aText)
  {
    Add(uint64_t{ aText.size() });
    XXH3_128bits_update(state_.get(), aText.data(), aText.size());
  }

  RequestPrint Digest() const
  {
    const XXH128_hash_t hash = XXH3_128bits_digest(state_.get());
    return { .high = hash.high64, .low = hash.low64 };
  }

private:
  struct Free
  {
    void operator()(XXH3_state_t* aState) const { XXH3_freeState(aState); }
  };

  std::unique_ptr<XXH3_state_t, Free> state_{ XXH3_createState() };
};

} // namespace

RequestPrint PrintOf(const Call& aCall)
{
  Hash hash;
  for (const std::string_view field :
       { std::string_view(aCall.method), std::string_view(aCall.host),
         std::string_view(aCall.target), std::string_view(aCall.key),
         std::string_view(aCall.body) }) {
    hash.Add(field);
  }
  if (aCall.model) {
    for (const PromptPart& part : aCall.model->parts) {
      hash.Add(part.id);
    }
  }
  return hash.Digest();
}

std::string PrintText(const RequestPrint& aPrint)
{
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, aPrint.high,
                aPrint.low);
  return text.data();
}

} // namespace gooseberrypath::entry
