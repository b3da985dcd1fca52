// Keeps a share of the engines of model services free for urgent calls: records what
// urgent calls need, and refuses less urgent calls that would use the share.
//
//   EngineReserve reserve(world);
//   reserve.RecordArrival(row);
//   if (const auto retryAfter = reserve.Check(row)) { ... } // refuse the call

#ifndef ENTRY_ENGINE_RESERVE_H_
#define ENTRY_ENGINE_RESERVE_H_

#include <map>
#include <optional>
#include <string>

#include "entry/urgent_reserve.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class EngineReserve
{
public:
  explicit EngineReserve(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Records the call if it is an urgent one of a service whose routes have different
  /// priorities.
  void RecordArrival(const RequestRow& aRow);

  /// Records what the call needed from its engine if it is such a call.
  void RecordUse(const RequestRow& aRow, const AttemptRow& aAttempt);

  /// Returns the shares of each engine that the call has to leave free, or nothing if it
  /// may use all of them: it is urgent, was sent before, or there are few daemons.
  std::optional<ReservedShares> SharesToLeave(const RequestRow& aRow) const;

  /// Returns the time after which a call should be sent again if no engine has room for
  /// it. Some of these calls are sent all the same and get no time.
  std::optional<Duration> Check(const RequestRow& aRow);

private:
  World& world_;
  std::map<std::string, UrgentReserve, std::less<>> reserves_; // by service
};

} // namespace gooseberrypath::entry

#endif // ENTRY_ENGINE_RESERVE_H_
