// The newest load report of a backend, joined with the calls that this daemon has begun
// and ended at the backend since.
//
//   ReportedLoad load;
//   load.Apply(report, { .receivedAt = now, .isOwn = true });
//   load.CountCalls(now, +1); // a call of this daemon began
//   if (const auto estimate = load.Estimate(now)) { ... }

#ifndef ENTRY_REPORTED_LOAD_H_
#define ENTRY_REPORTED_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "entry/load_report.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Tells whether a report from outside can be one: it has slots, no count is over 10,000
/// calls, and the pace is from 0.01 to 100.
bool IsValid(const LoadReport& aReport);

/// Where a report came from.
struct LoadReportOrigin
{
  TimePoint receivedAt{}; // by the daemon to which the backend responded
  bool isOwn = false;     // that was this daemon
};

/// The load of a backend as its newest report shows it.
struct LoadEstimate
{
  std::optional<uint32_t> calls; // of all daemons; empty: the report is too old for it
  double pace = 1;               // time that work takes now, relative to the usual time
  Duration age{};                // of the report
};

class ReportedLoad
{
public:
  // Calls to plain services take some ten milliseconds of work, so an older count says
  // little about the present one.
  static constexpr Duration kMaxCallsAge = std::chrono::milliseconds(300);

  // At the deployments that state it, the pace changes every 0.6 s.
  static constexpr Duration kMaxPaceAge = std::chrono::milliseconds(600);

  /// Applies a valid report and returns whether it replaced the known one. A report that
  /// was received before the known one or before the backend's restart does not.
  bool Apply(const LoadReport& aReport, LoadReportOrigin aOrigin);

  /// Records a change of the number of calls that this daemon has at the backend. A
  /// report counts the call that it answers, whose end is recorded after it.
  void CountCalls(TimePoint aNow, int32_t aChange);

  /// Forgets the report, as the backend started anew. Reports that were received earlier,
  /// or in response to calls sent earlier, are not applied any more.
  void Restart(TimePoint aNow);

  /// Returns when the latest start of the backend was learned.
  TimePoint RestartedAt() const { return restartedAt_; }

  /// Returns the load, or nothing if there is no report that is new enough.
  std::optional<LoadEstimate> Estimate(TimePoint aNow) const;

  /// Returns the newest report if the backend sent it to this daemon, after the time.
  std::optional<LoadReport> OwnReportSince(TimePoint aTime) const;

  /// Returns when the newest report was received.
  TimePoint ReceivedAt() const { return origin_.receivedAt; }

private:
  /// A change of the number of calls that this daemon has at the backend.
  struct CallChange
  {
    TimePoint at{};
    int32_t change = 0;
  };

  std::optional<LoadReport> report_;
  LoadReportOrigin origin_;
  TimePoint restartedAt_{};
  std::vector<CallChange> changes_; // of the last kMaxCallsAge, oldest first
};

} // namespace gooseberrypath::entry

#endif // ENTRY_REPORTED_LOAD_H_
