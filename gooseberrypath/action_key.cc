#include "gooseberrypath/action_key.h"

#include <array>
#include <memory>

#include <xxhash.h>

namespace gooseberrypath {

std::string HashAction(std::string_view aMethod, std::string_view aTarget,
                       std::string_view aBody)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view part : { aMethod, aTarget, aBody }) {
    std::array<unsigned char, 8> length{};
    for (size_t i = 0; i < length.size(); ++i) {
      length.at(i) = static_cast<unsigned char>(part.size() >> (8 * i));
    }
    XXH3_128bits_update(state.get(), length.data(), length.size());
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(state.get()));
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : bytes.digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

std::optional<int64_t> TimeOfUuidV7(std::string_view aKey)
{
  constexpr std::string_view kForm = "hhhhhhhh-hhhh-7hhh-vhhh-hhhhhhhhhhhh";
  constexpr size_t kTimeEnd = 13; // the first 48 bits
  if (aKey.size() != kForm.size()) {
    return std::nullopt;
  }
  int64_t timeMs = 0;
  for (size_t i = 0; i < kForm.size(); ++i) {
    const char c = aKey[i];
    if (kForm[i] == '-' || kForm[i] == '7') {
      if (c != kForm[i]) {
        return std::nullopt;
      }
      continue;
    }
    const std::string_view allowed =
      kForm[i] == 'v' ? "89abAB" : "0123456789abcdefABCDEF";
    if (allowed.find(c) == std::string_view::npos) {
      return std::nullopt;
    }
    if (i < kTimeEnd) {
      const int digit = c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
      timeMs = timeMs * 16 + digit;
    }
  }
  return timeMs;
}

} // namespace gooseberrypath
