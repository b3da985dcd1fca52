// Statistics of a service, estimated from the calls that its backends serve. They predict
// the time to the first event of a call.
//
//   ServiceStats stats;
//   stats.RecordFirstEvent({ .tokens = 6000, .observedMs = 80 });
//   stats.prefillTokensPerMs;

#ifndef ENTRY_SERVICE_STATS_H_
#define ENTRY_SERVICE_STATS_H_

namespace gooseberrypath::entry {

/// The observed first event of a model call.
struct FirstEventSample
{
  double tokens = 0;     // uncached tokens of the prompt
  double observedMs = 0; // from the start of the attempt to the first event
};

/// The estimates for one service. The initial values apply until there are observations.
struct ServiceStats
{
  double prefillTokensPerMs = 80; // prefill speed of an engine without a queue
  double baseMs = 60;             // time to the first event of an empty prompt
  double slotTimeMs = 800;        // mean time that a call occupies its slot

  /// Updates the estimates from the first event of a model call.
  void RecordFirstEvent(const FirstEventSample& aSample);

  /// Updates the estimates from the response time of a call without a prompt.
  void RecordResponseTime(double aMs);

  /// Updates the estimates from the time that a stream occupied its slot.
  void RecordSlotTime(double aMs);
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SERVICE_STATS_H_
