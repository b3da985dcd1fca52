// Splits the body of a stream of server-sent events (SSE) at the ends of events. The
// bytes are passed on unchanged.
//
//   SseEventSplitter splitter;
//   CompleteEvents events = splitter.Feed(bytes);

#ifndef ENTRY_SSE_EVENT_SPLITTER_H_
#define ENTRY_SSE_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace gooseberrypath::entry {

/// Zero or more complete events, byte for byte as received.
struct CompleteEvents
{
  std::string bytes;
  std::string lastId; // value of the last "id" field; empty if there is none
  size_t count = 0;
  bool hasData = false; // an event has a "data" field
};

class SseEventSplitter
{
public:
  /// Consumes bytes of the stream and returns the events that they complete.
  CompleteEvents Feed(std::string_view aBytes);

  /// Returns the buffered bytes of the incomplete event.
  const std::string& PartialEvent() const { return partialEvent_; }

private:
  std::string partialEvent_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SSE_EVENT_SPLITTER_H_
