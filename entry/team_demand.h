// The recent calls of one team at this daemon by priority, admitted or refused. Tells how
// much of the team's limit is kept for its more urgent calls, and counts the refusals for
// the log.
//
//   TeamDemand demand;
//   demand.Record(now, priority, tokens);
//   const UrgentNeed need = demand.NeedAbove(now, priority);
//   if (!quota.TryAdmit(now, tokens, need.reserve)) {
//     demand.RecordRefused(priority, tokens);
//   }

#ifndef ENTRY_TEAM_DEMAND_H_
#define ENTRY_TEAM_DEMAND_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "entry/smoothed_rate.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// What the calls of a team need that are more urgent than a given call.
struct UrgentNeed
{
  double reserve = 0;    // units of the limit until the reserve is filled again
  size_t priorities = 0; // number of more urgent priorities with recent calls
};

class TeamDemand
{
public:
  /// Counts a call that arrives. A smaller priority number is more urgent.
  void Record(TimePoint aNow, uint32_t aPriority, double aAmount)
  {
    demand_[aPriority].Add(aNow, aAmount);
  }

  /// Returns what the team's more urgent calls are expected to need.
  UrgentNeed NeedAbove(TimePoint aNow, uint32_t aPriority) const;

  /// Counts a refused call.
  void RecordRefused(uint32_t aPriority, double aAmount)
  {
    refused_[aPriority] += aAmount;
  }

  /// Returns the refused units by priority since the last call of this method.
  std::map<uint32_t, double> TakeRefused();

private:
  std::map<uint32_t, SmoothedRate> demand_;
  std::map<uint32_t, double> refused_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TEAM_DEMAND_H_
