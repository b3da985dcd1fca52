#include "entry/sse_event_splitter.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

/// Returns the position after the last empty line that ends an event, or 0.
size_t EndOfEvents(std::string_view aText)
{
  const auto after = [&](std::string_view aEnd) {
    const size_t at = aText.rfind(aEnd);
    return at == std::string_view::npos ? 0 : at + aEnd.size();
  };
  return std::max(after("\n\n"), after("\n\r\n"));
}

/// Returns the value of the last "id" field.
std::string LastId(std::string_view aEvents)
{
  constexpr std::string_view kField = "id:";
  size_t at = aEvents.rfind("\nid:");
  if (at != std::string_view::npos) {
    ++at;
  } else if (aEvents.starts_with(kField)) {
    at = 0;
  } else {
    return {};
  }
  std::string_view value = aEvents.substr(at + kField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return std::string(value);
}

} // namespace

CompleteEvents SseEventSplitter::Feed(std::string_view aBytes)
{
  rest_.append(aBytes);
  const size_t end = EndOfEvents(rest_);
  CompleteEvents events{ .bytes = rest_.substr(0, end), .lastId = {} };
  rest_.erase(0, end);
  events.lastId = LastId(events.bytes);
  return events;
}

} // namespace gooseberrypath::entry
