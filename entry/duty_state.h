// The stored state of the lease holder's duties: who holds the lease, the usage reports
// that were finalized, and the counts for the next reports. The platform's store keeps
// the state as one value. A write replaces the value only if no other write came in
// between.
//
//   Result<DutyState> state = DecodeDutyState(text);
//   state->renewal += 1;
//   std::string text = EncodeDutyState(*state);

#ifndef ENTRY_DUTY_STATE_H_
#define ENTRY_DUTY_STATE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "entry/usage_count.h"
#include "gooseberrypath/errors.h"

namespace gooseberrypath::entry {

/// The usage in one window. A stored report never changes.
struct UsageReport
{
  uint64_t window = 0;
  std::map<std::string, uint64_t> counts; // started calls by team

  bool operator==(const UsageReport&) const = default;
};

/// An order for the number of backends of a service in a data centre.
struct FleetOrder
{
  std::string service;
  std::string dataCentre;
  bool isReclaimable = false;
  uint32_t count = 0;

  bool operator==(const FleetOrder&) const = default;
};

/// Smoothed numbers of engines that the load of a service keeps busy.
struct EngineDemand
{
  double slowAverage = 0; // follows the load slowly; sizes the ordinary backends
  double fastAverage = 0; // follows a rise at once; sizes the reclaimable backends

  bool operator==(const EngineDemand&) const = default;
};

/// The lease and the progress of the duties, as they are stored.
struct DutyState
{
  std::string holder;       // host name of the lease holder; empty: the lease is free
  uint64_t incarnation = 0; // of the holder's process
  uint64_t token = 0;       // fencing token; grows with each new holder
  uint64_t renewal = 0;     // grows with each write
  uint64_t era = 0;         // of the store when it was written
  std::vector<UsageReport> reports; // finalized, but not known to be delivered
  uint64_t firstUnreported = 0;     // all windows before it have a report
  std::vector<UsageRow> counts;     // of windows without a report
  std::map<std::string, EngineDemand> engineDemands; // by service

  bool operator==(const DutyState&) const = default;
};

/// Returns the usage counts as JSON.
std::string EncodeUsage(std::span<const UsageRow> aRows);

/// Parses usage counts from JSON. Fails with BadRequest.
Result<std::vector<UsageRow>> DecodeUsage(std::string_view aText);

/// Returns the state as JSON.
std::string EncodeDutyState(const DutyState& aState);

/// Parses the state from JSON. An empty text gives the state before the first holder.
/// Fails with BadRequest.
Result<DutyState> DecodeDutyState(std::string_view aText);

} // namespace gooseberrypath::entry

#endif // ENTRY_DUTY_STATE_H_
