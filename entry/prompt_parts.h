// The parts of a prompt that calls of different callers may share.

#ifndef ENTRY_PROMPT_PARTS_H_
#define ENTRY_PROMPT_PARTS_H_

#include <array>
#include <cinttypes>
#include <cstdio>
#include <span>
#include <string>

#include "entry/model.h"

namespace gooseberrypath::entry {

/// Returns the parts that other calls may share: all but the last.
inline std::span<const PromptPart> SharedParts(const ModelDemand& aDemand)
{
  const std::span<const PromptPart> parts(aDemand.parts);
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

/// Returns the id of a part in hexadecimal, as operators see it.
inline std::string PartText(uint64_t aPart)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%" PRIx64, aPart);
  return text.data();
}

/// Returns the ids of the parts, separated by commas.
inline std::string PartsText(std::span<const PromptPart> aParts)
{
  std::string text;
  for (const PromptPart& part : aParts) {
    if (!text.empty()) {
      text += ',';
    }
    text += PartText(part.id);
  }
  return text;
}

} // namespace gooseberrypath::entry

#endif // ENTRY_PROMPT_PARTS_H_
