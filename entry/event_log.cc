#include "entry/event_log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "entry/peer_digest.h"

namespace gooseberrypath::entry {

namespace {

// A pipe takes a write of this size whole or not at all.
constexpr size_t kMaxLineBytes = 4096;

std::string_view NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

} // namespace

EventLog::EventLog(EventLogOptions aOptions)
  : options_(std::move(aOptions))
{
  other_.level = options_.otherLinesPerSecond;
}

void EventLog::Execute(const WriteEvent& aAction)
{
  const bool isWritten = aAction.request.empty()
                           ? TakeLine(other_, options_.otherLinesPerSecond)
                           : IsCallSelected(aAction.request);
  if (!isWritten) {
    ++dropped_;
    return;
  }
  nlohmann::ordered_json line{ { "time_ms", options_.wallNow().count() },
                               { "level", NameOf(aAction.level) },
                               { "host", options_.host },
                               { "event", aAction.event } };
  if (!aAction.request.empty()) {
    line["request"] = aAction.request;
  }
  for (const auto& [name, value] : aAction.fields) {
    if (!value.empty()) {
      line[name] = value;
    }
  }
  if (dropped_ != toldDropped_) {
    line["lines_left_out"] = dropped_ - toldDropped_;
    toldDropped_ = dropped_;
  }
  Write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool EventLog::TakeLine(Budget& aBudget, double aRate)
{
  const TimePoint now = options_.now();
  const double seconds = std::chrono::duration<double>(now - aBudget.filled).count();
  aBudget.filled = now;
  aBudget.level = std::min(aRate, aBudget.level + seconds * aRate);
  if (aBudget.level < 1) {
    return false;
  }
  aBudget.level -= 1;
  return true;
}

bool EventLog::IsCallSelected(const std::string& aRequest)
{
  const TimePoint now = options_.now();
  if (now - secondBegan_ >= std::chrono::seconds(1)) {
    // The share for this second follows from the lines of the last one.
    const double lines = std::max<double>(1, static_cast<double>(callLines_));
    selectedShare_ = std::min(1.0, options_.callLinesPerSecond / lines);
    secondBegan_ = now;
    callLines_ = 0;
  }
  ++callLines_;
  constexpr uint64_t kParts = 1000;
  return static_cast<double>(DigestKey(aRequest) % kParts) < selectedShare_ * kParts;
}

void EventLog::Write(const std::string& aLine)
{
  pollfd ready{ .fd = options_.descriptor, .events = POLLOUT, .revents = 0 };
  const bool isTaken = aLine.size() <= kMaxLineBytes && poll(&ready, 1, 0) == 1 &&
                       (ready.revents & POLLOUT) != 0 &&
                       write(options_.descriptor, aLine.data(), aLine.size()) > 0;
  dropped_ += isTaken ? 0 : 1;
}

} // namespace gooseberrypath::entry
