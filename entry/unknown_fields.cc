#include "entry/unknown_fields.h"

namespace gooseberrypath::entry {

namespace {

// Limit for the reported names. A faulty backend may make up a new one for each response.
constexpr size_t kMaxReported = 50;

// Longer names are cut.
constexpr size_t kMaxNameBytes = 64;

} // namespace

void ReportUnknownFields(World& aWorld, const std::string& aSource,
                         std::span<const std::string> aNames)
{
  for (const std::string& name : aNames) {
    if (aWorld.unknownFields.size() >= kMaxReported) {
      return;
    }
    const std::string reported = name.substr(0, kMaxNameBytes);
    if (!aWorld.unknownFields.emplace(aSource, reported).second) {
      continue;
    }
    aWorld.counters.Add(EntryCounter::UnknownFields);
    aWorld.Log(LogLevel::Warning, "unknown_field", {},
               { { "source", aSource }, { "name", reported } });
  }
}

} // namespace gooseberrypath::entry
