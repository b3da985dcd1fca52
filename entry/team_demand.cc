#include "entry/team_demand.h"

#include <utility>

namespace gooseberrypath::entry {

namespace {

// Time for which the need of the more urgent calls is kept. The bucket that holds the
// reserve refills within about this time.
constexpr double kReserveSeconds = 0.5;

// A priority without recent calls needs less than this number of units. The average rate
// of one call decays below it within 20 s to 45 s, depending on its units.
constexpr double kMinNeed = 0.001;

} // namespace

UrgentNeed TeamDemand::NeedAbove(TimePoint aNow, uint32_t aPriority) const
{
  UrgentNeed need;
  for (const auto& [priority, rate] : demand_) {
    if (priority >= aPriority) {
      break;
    }
    if (const double units = kReserveSeconds * rate.PerSecond(aNow); units >= kMinNeed) {
      need.reserve += units;
      need.priorities += 1;
    }
  }
  return need;
}

std::map<uint32_t, double> TeamDemand::TakeRefused()
{
  return std::exchange(refused_, {});
}

} // namespace gooseberrypath::entry
