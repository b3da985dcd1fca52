// What is learned about the backends of a service from the calls that they serve.
//
//   ServiceStats stats;
//   stats.RecordFirstEvent({ .tokens = 6000, .observedMs = 80 });
//   stats.tokensPerMs;

#ifndef ENTRY_SERVICE_STATS_H_
#define ENTRY_SERVICE_STATS_H_

namespace gooseberrypath::entry {

/// The first event of a model call.
struct FirstEventSample
{
  double tokens = 0;     // of the prompt, that the engine had to read
  double observedMs = 0; // from the sending to the first event
};

struct ServiceStats
{
  double tokensPerMs = 80; // prompt tokens that an engine reads when no others wait
  double baseMs = 60;      // to the first event of an empty prompt
  double slotTimeMs = 800; // how long a call keeps its slot

  void RecordFirstEvent(const FirstEventSample& aStart);

  /// Takes in the time of a call without a prompt, in milliseconds.
  void RecordResponseTime(double aMs);

  /// Takes in the time that a stream kept its slot, in milliseconds.
  void RecordSlotTime(double aMs);
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SERVICE_STATS_H_
