// The share of the engines of one model service that less urgent calls leave free for
// urgent calls, from what urgent calls needed recently.
//
//   UrgentReserve reserve;
//   reserve.RecordArrival(now);                           // an urgent call arrived
//   reserve.RecordUse({ .seconds = 0.4, .kvTokens = 900 }); // and has ended
//   const ReservedShares shares = reserve.Shares(now, capacity);
//   if (!HasRoom(engineLoad, shares) && !reserve.TakeMinimum(priority)) { ... } // refuse

#ifndef ENTRY_URGENT_RESERVE_H_
#define ENTRY_URGENT_RESERVE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "entry/model.h"
#include "entry/smoothed_rate.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// What one urgent call needed from its engine.
struct UrgentUse
{
  double seconds = 0; // in which it occupied a slot
  double kvTokens = 0;
};

/// The engines of a service and the daemons that send calls to them.
struct ServiceCapacity
{
  double slots = 0;
  double kvTokens = 0; // 0: unlimited
  double daemons = 1;
};

/// The parts of each engine that less urgent calls leave free.
struct ReservedShares
{
  double slots = 0;
  double kvTokens = 0;
};

/// An engine and a less urgent call that may be sent to it.
struct EngineRoom
{
  double slots = 1;
  double inFlight = 0;
  double kvCapacityTokens = 0; // 0: unlimited
  double kvTokens = 0;         // of the calls in flight
  double neededKvTokens = 0;   // of the call
};

/// Returns the priority of the urgent calls of a service: the lowest number among its
/// routes. Returns nothing if all its routes have the same priority.
std::optional<uint32_t> UrgentPriority(const Configuration& aConfiguration,
                                       std::string_view aService);

/// Tells whether the call leaves the reserve free. An engine without calls has room.
bool HasRoom(const EngineRoom& aEngine, const ReservedShares& aReserved);

class UrgentReserve
{
public:
  /// Records an urgent call of this daemon, also one that is refused.
  void RecordArrival(TimePoint aNow) { arrivals_.Add(aNow, 1); }

  /// Records what an urgent call of this daemon needed.
  void RecordUse(const UrgentUse& aUse);

  /// Returns the shares that urgent calls need, from 0.1 to 0.4. The other daemons are
  /// taken to have as many urgent calls as this one.
  ReservedShares Shares(TimePoint aNow, const ServiceCapacity& aCapacity) const;

  /// Counts a less urgent call that finds no room. Returns true for one in ten calls of
  /// each priority, which are sent all the same, so that no priority starves.
  bool TakeMinimum(uint32_t aPriority);

private:
  SmoothedRate arrivals_;
  UrgentUse meanUse_;
  bool hasUse_ = false;
  std::map<uint32_t, uint32_t> withoutRoom_; // calls, by priority
};

} // namespace gooseberrypath::entry

#endif // ENTRY_URGENT_RESERVE_H_
