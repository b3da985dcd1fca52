// The daemon's own counters and gauges, rendered in the Prometheus text form.
//
//   counters.Add(Counter::RequestsAccepted);
//   std::string text = counters.Render();

#ifndef GOOSEBERRYPATH_COUNTERS_H_
#define GOOSEBERRYPATH_COUNTERS_H_

#include <array>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

#include "gooseberrypath/messages.h"

namespace gooseberrypath {

/// Every counter. The names for /metrics stand in counters.cc, in the same order.
enum class Counter : uint8_t
{
  RequestsAccepted,
  RequestsAnswered,
  RequestsRefused,
  CallersGone,
  AttemptsStarted,
  AttemptsNotSent,
  AttemptsBroken,
  AttemptsStalled,
  AttemptsResumed,
  TokensReceived,
  TokensDropped,  // late, crossed or out of order
  TokensRepeated, // generated again after a resume that began too early
  ClaimsAppended,
  ClaimsAdmitted,
  ClaimsLost,
  ClaimsGivenUp,
  OutcomesRecorded,
  OutcomesReplayed,
  OutcomesUnknown,
  JobsAccepted,
  JobsTakenOver,
  JobsSuperseded,
  JobsEnded,
  JobsGivenUp,
  RecordsApplied,
  RecordsSkipped,
  WritesAccepted,
  WritesRefused,
  LogReadFailures,
  AppendFailures,
  GossipSent,
  GossipReceived,
  GossipFailures,
  HostsLeaving,
  SnapshotsAppended,
  SnapshotsDiffering, // another state than the own one at that offset
  SnapshotsInstalled,
  StreamsMoved,
  KvExportsAsked,
  KvExportsFailed,
  KvExportsLate,
  KvHandlesRefused,
  StreamsKept,         // went on after their caller had gone
  StreamsReattached,   // read again by a caller
  StreamsHandedOver,   // taken by a peer
  StreamsTakenOver,    // taken from a peer
  StreamsNotTakenOver, // refused to a peer
  Count_,              // not a counter
};

/// All counters, starting at 0.
class Counters
{
public:
  void Add(Counter aCounter, uint64_t aAmount = 1)
  {
    values_.at(static_cast<size_t>(aCounter)) += aAmount;
  }

  uint64_t Get(Counter aCounter) const
  {
    return values_.at(static_cast<size_t>(aCounter));
  }

  /// Returns all counters in the Prometheus text form, with HELP and TYPE lines.
  std::string Render() const;

private:
  std::array<uint64_t, static_cast<size_t>(Counter::Count_)> values_{};
};

/// One value that may fall.
struct Gauge
{
  std::string_view name; // without prefix
  std::string_view help;
  double value = 0;
};

/// The gauges of a daemon.
struct DaemonGauges
{
  DaemonState state = DaemonState::Starting;
  uint64_t runningRequests = 0;
  Offset appliedOffset = 0;
  double secondsSinceLogContact = std::numeric_limits<double>::infinity(); // no contact
};

/// Returns gauges in the Prometheus text form, with HELP and TYPE lines.
std::string RenderGauges(std::span<const Gauge> aGauges);
std::string RenderGauges(const DaemonGauges& aGauges);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_COUNTERS_H_
