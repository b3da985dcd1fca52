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
  uint64_t DroppedCount() const { return dropped_; }

private:
  /// A bucket of lines.
  struct Budget
  {
    double level = 0;
    TimePoint filled{};
  };

  bool TakeLine(Budget& aBudget, double aRate);
  bool IsCallSelected(const std::string& aRequest);
  void Write(const std::string& aLine);

  EventLogOptions options_;
  Budget other_;
  TimePoint secondBegan_{};
  uint64_t callLines_ = 0;   // that were asked for in this second
  double selectedShare_ = 1; // of the calls
  uint64_t dropped_ = 0;
  uint64_t toldDropped_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_EVENT_LOG_H_
