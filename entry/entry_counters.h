// Counters and latency histograms of the entry daemon, in the Prometheus text format.
//
//   counters.Add(EntryCounter::CallsAnswered);
//   counters.Observe(EntryHistogram::FirstEvent, milliseconds);
//   std::string text = counters.Render();

#ifndef ENTRY_ENTRY_COUNTERS_H_
#define ENTRY_ENTRY_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string>

namespace gooseberrypath::entry {

enum class EntryCounter : uint8_t
{
  CallsArrived,
  CallsAnswered, // with a backend's response
  CallsRefused,  // not executed
  CallsFailed,   // may have been executed
  CallsAborted,  // streams aborted before their end
  CallersDisconnected,
  AttemptsSent,
  AttemptsNotSent,
  AttemptsRefused, // by the backend, not executed
  AttemptsBroken,
  AttemptsBrokenAtStart,   // the connection ended before any event of the answer
  AttemptsRedirected,      // before they were sent, as the backend became unusable
  ResponsesOversized,      // aborted because the response was too large
  ResponsesCloseDelimited, // whose end only the end of the connection marked
  UnsolicitedBytes,        // connections closed for bytes outside a response
  StreamsStalled,
  BackOffsRequested, // responses in which a backend asked for a back-off
  LimitChanges,      // limits that backends named, changed or lifted
  LimitsAvoided,     // attempts sent elsewhere because a backend was at its limit
  LimitsRefused,     // calls refused because all backends were at their limits
  PartsBlocked,      // times that a part of a prompt was blocked
  PartsFreed,
  RequestsBlocked, // times that a request was blocked
  PartsRefused,    // calls refused for a blocked part
  PartsStopped,    // attempts ended because a part was blocked meanwhile
  PartTrials,      // calls with a blocked part that were sent to try it
  PermitsAsked,
  PermitsUnanswered, // requests for permits without a reply
  PermitsGranted,    // by this daemon
  PermitsDenied,     // requests that got none from this daemon
  PlacementsAsked,
  PlacementsPlaced,     // replies with a backend
  PlacementsHeld,       // replies that a call waits for a slot
  PlacementsRefused,    // calls refused as they could not start in time
  PlacementsUnanswered, // requests for placements without a reply in time
  PlacementsReleased,   // after the call was sent
  PlacementsGivenUp,    // requests and placements that were not used
  UnknownFields,        // names that the platform uses and this version does not know
  AttemptsRetried,
  RetriesDenied, // because the retry budget was exhausted
  StreamsResumed,
  ConfigurationsApplied,
  ConfigurationChecks, // reads besides the long poll
  FleetChanges,
  FleetChecks, // reads because nobody had confirmed the fleet
  FleetReads,  // also those without changes
  StoreDisconnects,
  StoreReadsFailed,
  StoreRestores, // times that the store came back from a copy
  DigestsReceived,
  DigestsMalformed,
  DutiesTaken,
  DutiesLost,
  ReportsSent,
  OrdersSent,
  LogLinesDropped,
  Count_, // not a counter
};

enum class EntryHistogram : uint8_t
{
  FirstEvent,     // from the arrival of a call on a streaming route to its first event
  PlainAnswer,    // from the arrival of any other call to its response
  Refusal,        // from the arrival of a call to its refusal
  PlacementReply, // from a request for a placement to the first reply
  Count_,         // not a histogram
};

class EntryCounters
{
public:
  void Add(EntryCounter aCounter, uint64_t aAmount = 1)
  {
    values_.at(static_cast<size_t>(aCounter)) += aAmount;
  }

  uint64_t Get(EntryCounter aCounter) const
  {
    return values_.at(static_cast<size_t>(aCounter));
  }

  /// Adds one observation in milliseconds.
  void Observe(EntryHistogram aHistogram, double aMilliseconds);

  /// Returns all counters and histograms with HELP and TYPE lines.
  std::string Render() const;

private:
  static constexpr size_t kBuckets = 14; // the last one is unbounded

  struct Histogram
  {
    std::array<uint64_t, kBuckets> buckets{};
    double sum = 0;
  };

  std::array<uint64_t, static_cast<size_t>(EntryCounter::Count_)> values_{};
  std::array<Histogram, static_cast<size_t>(EntryHistogram::Count_)> histograms_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_ENTRY_COUNTERS_H_
