// Structured log on standard output with one JSON object per line. Writing never blocks:
// lines are dropped and counted if the pipe is full or the rate limit is exceeded.
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
  // Rate limits. Above the first one, calls are sampled by request id, so that the log
  // normally has all lines of a call or none.
  double callLinesPerSecond = 150;
  double otherLinesPerSecond = 50;
};

class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions);

  void Execute(const WriteEvent& aAction);

  /// Returns the number of dropped lines.
  uint64_t DroppedCount() const { return droppedLines_; }

private:
  /// Rate limiter with one token per line.
  struct TokenBucket
  {
    double tokens = 0;
    TimePoint refilledAt{};
  };

  /// Refills the bucket at aRate tokens per second, up to aRate tokens, and takes one.
  /// Returns false if the bucket is empty.
  bool TakeToken(TokenBucket& aBucket, double aRate);

  /// Counts a line about the call and returns whether the call is in the current sample.
  bool IsCallSampled(const std::string& aRequest);

  /// Writes the line, or drops it if it is too long or the descriptor is not writable.
  void Write(const std::string& aLine);

  EventLogOptions options_;
  TokenBucket otherLines_;
  TimePoint sampleWindowStart_{};
  uint64_t callLinesInWindow_ = 0; // lines about calls in this second, also dropped ones
  double callSampleRate_ = 1;      // fraction of the calls that is logged
  uint64_t droppedLines_ = 0;
  uint64_t reportedDroppedLines_ = 0; // part of droppedLines_ that a line has reported
};

} // namespace gooseberrypath::entry

#endif // ENTRY_EVENT_LOG_H_
