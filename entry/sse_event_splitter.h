// Cuts the body of an event stream into whole events, unchanged.
//
//   SseEventSplitter splitter;
//   CompleteEvents whole = splitter.Feed(bytes);

#ifndef ENTRY_SSE_EVENT_SPLITTER_H_
#define ENTRY_SSE_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace gooseberrypath::entry {

/// Whole events with their bytes as they came.
struct CompleteEvents
{
  std::string bytes;
  std::string lastId; // of the last event with an id; empty: none has one
};

class SseEventSplitter
{
public:
  /// Takes bytes and returns the events that are whole now.
  CompleteEvents Feed(std::string_view aBytes);

  /// Returns what is kept of an event that is not whole.
  const std::string& PartialEvent() const { return rest_; }

private:
  std::string rest_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SSE_EVENT_SPLITTER_H_
