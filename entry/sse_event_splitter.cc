#include "entry/sse_event_splitter.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// The longest end of an event: "\n\r\n".
constexpr size_t kMaxEndBytes = 3;

/// Returns the position after the empty line that ends the last complete event, or 0.
size_t EndOfLastEvent(std::string_view aText)
{
  const auto after = [&](std::string_view aEnd) {
    const size_t at = aText.rfind(aEnd);
    return at == std::string_view::npos ? 0 : at + aEnd.size();
  };
  return std::max(after("\n\n"), after("\n\r\n"));
}

/// Returns the number of events in the text, which ends after an event.
size_t CountEvents(std::string_view aEvents)
{
  size_t count = 0;
  for (size_t at = aEvents.find('\n'); at != std::string_view::npos;
       at = aEvents.find('\n', at + 1)) {
    const std::string_view rest = aEvents.substr(at + 1);
    count += rest.starts_with('\n') || rest.starts_with("\r\n") ? 1 : 0;
  }
  return count;
}

/// Returns the value of the last "id" field, or an empty string.
std::string LastEventId(std::string_view aEvents)
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

/// Tells whether any event has a "data" field. Clients dispatch no others.
bool HasData(std::string_view aEvents)
{
  return aEvents.starts_with("data") || aEvents.find("\ndata") != std::string_view::npos;
}

} // namespace

CompleteEvents SseEventSplitter::Feed(std::string_view aBytes)
{
  // Only the new bytes are searched, and so many before them as an end may begin with.
  // Otherwise the work for a long event in small parts would grow with its square.
  const size_t searched =
    partialEvent_.size() - std::min(partialEvent_.size(), kMaxEndBytes - 1);
  partialEvent_.append(aBytes);
  const size_t found = EndOfLastEvent(std::string_view(partialEvent_).substr(searched));
  if (found == 0) {
    return {};
  }
  const size_t end = searched + found;
  CompleteEvents events{ .bytes = partialEvent_.substr(0, end), .lastId = {} };
  partialEvent_.erase(0, end);
  events.lastId = LastEventId(events.bytes);
  events.count = CountEvents(events.bytes);
  events.hasData = HasData(events.bytes);
  return events;
}

} // namespace gooseberrypath::entry
