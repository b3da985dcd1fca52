#include "gooseberrypath/record_reader.h"

#include <utility>

namespace gooseberrypath {

std::optional<Record> ReadRecord(World& aWorld, std::string_view aPart,
                                 const LogEntry& aEntry)
{
  Result<Record> record = DecodeRecord(aEntry.data);
  if (!record || std::holds_alternative<UnknownRecord>(*record)) {
    aWorld.counters.Add(Counter::RecordsSkipped);
    aWorld.Log(LogLevel::Warning, aPart,
               "skipped the record at offset " + std::to_string(aEntry.offset) + ": " +
                 (record ? "unknown type" : record.error().message));
    return std::nullopt;
  }
  aWorld.counters.Add(Counter::RecordsApplied);
  return std::move(*record);
}

} // namespace gooseberrypath
