// The shared state of the duties that one daemon at a time carries out: who holds them,
// the usage reports that were decided, and the counts behind the next ones. It lies in
// the platform's store as one value, and each write replaces it only if no other came
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

/// The usage of one window. Once written it never changes.
struct UsageReport
{
  uint64_t window = 0;
  std::map<std::string, uint64_t> counts; // calls that began, by team

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

/// The number of engines that the load of a service keeps busy.
struct EngineDemand
{
  double slowAverage = 0; // follows the load slowly; ordinary backends are ordered by it
  double fastAverage =
    0; // follows a rise at once; reclaimable backends are ordered by it

  bool operator==(const EngineDemand&) const = default;
};

struct DutyState
{
  std::string holder;               // name of the daemon's host; empty: never held
  uint64_t incarnation = 0;         // of the holder's process
  uint64_t token = 0;               // fencing token, grows with each holder
  uint64_t renewal = 0;             // grows with each write
  std::vector<UsageReport> reports; // decided and not known to be delivered
  uint64_t firstUnreported = 0;     // windows before it have a report
  std::vector<UsageRow> counts;     // of windows without a report
  std::map<std::string, EngineDemand> engineDemands; // by service

  bool operator==(const DutyState&) const = default;
};

/// Returns the JSON text of counts.
std::string EncodeUsage(std::span<const UsageRow> aRows);

/// Parses the text. Fails with BadRequest.
Result<std::vector<UsageRow>> DecodeUsage(std::string_view aText);

/// Returns the JSON text of the state.
std::string EncodeDutyState(const DutyState& aState);

/// Parses the text; an empty text is the state before the first holder. Fails with
/// BadRequest.
Result<DutyState> DecodeDutyState(std::string_view aText);

} // namespace gooseberrypath::entry

#endif // ENTRY_DUTY_STATE_H_
