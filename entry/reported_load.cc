#include "entry/reported_load.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// No backend has this many slots or calls.
constexpr uint32_t kMaxCalls = 10'000;

constexpr double kMinPace = 0.01;
constexpr double kMaxPace = 100;

} // namespace

bool IsValid(const LoadReport& aReport)
{
  return aReport.slots > 0 && aReport.slots <= kMaxCalls &&
         aReport.running <= kMaxCalls && aReport.waiting <= kMaxCalls &&
         aReport.pace >= kMinPace && aReport.pace <= kMaxPace;
}

bool ReportedLoad::Apply(const LoadReport& aReport, LoadReportOrigin aOrigin)
{
  const bool isOlder = report_ && aOrigin.receivedAt < origin_.receivedAt;
  if (isOlder || aOrigin.receivedAt < restartedAt_) {
    return false;
  }
  report_ = aReport;
  origin_ = aOrigin;
  return true;
}

void ReportedLoad::CountCalls(TimePoint aNow, int32_t aChange)
{
  const auto isRecent = [&](const CallChange& aChange) {
    return aChange.at + kMaxCallsAge >= aNow;
  };
  changes_.erase(changes_.begin(), std::ranges::find_if(changes_, isRecent));
  if (!changes_.empty() && changes_.back().at == aNow) {
    changes_.back().change += aChange;
  } else {
    changes_.push_back({ .at = aNow, .change = aChange });
  }
}

void ReportedLoad::Restart(TimePoint aNow)
{
  report_.reset();
  restartedAt_ = aNow;
  changes_.clear();
}

std::optional<LoadEstimate> ReportedLoad::Estimate(TimePoint aNow) const
{
  const Duration age = aNow - origin_.receivedAt;
  if (!report_ || age > kMaxPaceAge) {
    return std::nullopt;
  }
  LoadEstimate estimate{ .pace = report_->pace, .age = age };
  if (age <= kMaxCallsAge) {
    int64_t calls = int64_t{ report_->running } + report_->waiting;
    for (const CallChange& change : changes_) {
      calls += change.at >= origin_.receivedAt ? change.change : 0;
    }
    estimate.calls = static_cast<uint32_t>(std::max<int64_t>(calls, 0));
  }
  return estimate;
}

std::optional<LoadReport> ReportedLoad::OwnReportSince(TimePoint aTime) const
{
  const bool isNew = origin_.isOwn && origin_.receivedAt > aTime;
  return isNew ? report_ : std::nullopt;
}

} // namespace gooseberrypath::entry
