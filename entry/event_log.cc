#include "entry/event_log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "entry/peer_digest.h"

namespace gooseberrypath::entry {

namespace {

// Writes to a pipe are atomic up to this size (PIPE_BUF on Linux).
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
  otherLines_.tokens = options_.otherLinesPerSecond;
}

void EventLog::Execute(const WriteEvent& aAction)
{
  const bool isAdmitted = aAction.request.empty()
                            ? TakeToken(otherLines_, options_.otherLinesPerSecond)
                            : IsCallSampled(aAction.request);
  if (!isAdmitted) {
    ++droppedLines_;
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
  if (droppedLines_ != reportedDroppedLines_) {
    line["lines_left_out"] = droppedLines_ - reportedDroppedLines_;
    reportedDroppedLines_ = droppedLines_;
  }
  Write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

bool EventLog::TakeToken(TokenBucket& aBucket, double aRate)
{
  const TimePoint now = options_.now();
  const double seconds = std::chrono::duration<double>(now - aBucket.refilledAt).count();
  aBucket.refilledAt = now;
  aBucket.tokens = std::min(aRate, aBucket.tokens + seconds * aRate);
  if (aBucket.tokens < 1) {
    return false;
  }
  aBucket.tokens -= 1;
  return true;
}

bool EventLog::IsCallSampled(const std::string& aRequest)
{
  const TimePoint now = options_.now();
  if (now - sampleWindowStart_ >= std::chrono::seconds(1)) {
    // The sample rate of this second is computed from the lines of the previous one.
    const double lines = std::max<double>(1, static_cast<double>(callLinesInWindow_));
    callSampleRate_ = std::min(1.0, options_.callLinesPerSecond / lines);
    sampleWindowStart_ = now;
    callLinesInWindow_ = 0;
  }
  ++callLinesInWindow_;
  constexpr uint64_t kHashBuckets = 1000;
  return static_cast<double>(DigestKey(aRequest) % kHashBuckets) <
         callSampleRate_ * kHashBuckets;
}

void EventLog::Write(const std::string& aLine)
{
  pollfd ready{ .fd = options_.descriptor, .events = POLLOUT, .revents = 0 };
  const bool isWritten = aLine.size() <= kMaxLineBytes && poll(&ready, 1, 0) == 1 &&
                         (ready.revents & POLLOUT) != 0 &&
                         write(options_.descriptor, aLine.data(), aLine.size()) > 0;
  droppedLines_ += isWritten ? 0 : 1;
}

} // namespace gooseberrypath::entry
