// Structured log on standard output: one JSON object a line. It never blocks: lines that
// the reader does not take, or that are over the budget, are left out and counted.
//
//   EventLog log({ .descriptor = 1, .host = "d1", ... });
//   log.Execute(WriteEvent{ .event = "answered", .request = id, .fields = { ... } });

#ifndef ENTRY_EVENT_LOG_H_
#define ENTRY_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <string>

#include "entry/messages.h"

namespace gooseberrypath::entry {

struct EventLogOptions
{
  int descriptor = 1;
  std::string host;
  std::function<WallTime()> wallNow;
  std::function<TimePoint()> now;
  // Lines a second about calls. All lines about one call are written or left out
  // together, so part of the calls stays whole when there are too many.
  double callLinesPerSecond = 150;
  double otherLinesPerSecond = 50;
};

class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions);

  void Execute(const WriteEvent& aAction);

  /// Returns the number of lines that were left out.
  uint64_t DroppedCount() const { return droppedLines_; }

private:
  /// A bucket of lines.
  struct TokenBucket
  {
    double tokens = 0;
    TimePoint refilledAt{};
  };

  bool TakeToken(TokenBucket& aBucket, double aRate);
  bool IsCallSampled(const std::string& aRequest);
  void Write(const std::string& aLine);

  EventLogOptions options_;
  TokenBucket otherLines_;
  TimePoint sampleWindowStart_{};
  uint64_t callLinesInWindow_ = 0; // that were asked for in this second
  double callSampleRate_ = 1;      // of the calls
  uint64_t droppedLines_ = 0;
  uint64_t reportedDroppedLines_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_EVENT_LOG_H_
