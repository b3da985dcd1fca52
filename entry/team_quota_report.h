// Reports for each team how much of its limit all daemons used and what this daemon
// refused, as a log line for teams with refusals and as metrics.
//
//   TeamQuotaReport report(world);
//   report.Start();
//   std::string text = RenderTeamQuotaMetrics(world);

#ifndef ENTRY_TEAM_QUOTA_REPORT_H_
#define ENTRY_TEAM_QUOTA_REPORT_H_

#include <map>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

class TeamQuotaReport
{
public:
  explicit TeamQuotaReport(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();
  void Run() {}

private:
  /// Ends the interval of each team.
  void Report();

  /// Writes the log line of a team with refusals.
  void Log(const std::string& aTeam, const TeamQuotaUse& aUse,
           const std::map<uint32_t, double>& aRefused);

  World& world_;
};

/// Returns the last interval of each team with a limit in the Prometheus text format.
std::string RenderTeamQuotaMetrics(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_TEAM_QUOTA_REPORT_H_
