#include "entry/team_quota_report.h"

#include <algorithm>
#include <string_view>

#include "entry/duration_text.h"
#include "entry/metric_label.h"

namespace gooseberrypath::entry {

namespace {

// The peers' totals are up to a second old, so a shorter interval would show mostly the
// times of their digests.
constexpr Duration kReportInterval = std::chrono::seconds(2);

constexpr std::string_view kPrefix = "gooseberrypath_entry_team_quota_";

/// Returns the admitted share of the limit, 1 if all of it was used.
double UsedShare(const TeamQuotaUse& aUse)
{
  return aUse.limit > 0 ? aUse.admitted / aUse.limit : 0;
}

/// Formats units, rounded to a whole number.
std::string UnitsText(double aUnits)
{
  return MsText(aUnits);
}

/// Appends a metric with one line for each team that has a limit.
template<typename F>
void AppendMetric(std::string& aInto, const World& aWorld, std::string_view aName,
                  std::string_view aType, std::string_view aHelp, F aValue)
{
  aInto.append("# HELP ").append(kPrefix).append(aName).append(" ").append(aHelp);
  aInto.append("\n# TYPE ").append(kPrefix).append(aName).append(" ").append(aType);
  aInto.append("\n");
  for (const auto& [name, row] : aWorld.teams) {
    if (row.use.limit > 0) {
      aInto.append(kPrefix).append(aName).append("{team=").append(QuoteLabel(name));
      aInto.append("} ").append(std::to_string(aValue(row.use))).append("\n");
    }
  }
}

} // namespace

void TeamQuotaReport::Start()
{
  world_.timers.SubscribeEvery(kReportInterval, [this](TimePoint) { Report(); });
}

void TeamQuotaReport::Report()
{
  if (!world_.configuration) {
    return;
  }
  constexpr double kSeconds = std::chrono::duration<double>(kReportInterval).count();
  for (const Team& team : world_.configuration->teams) {
    TeamRow* row = world_.teams.Find(team.name);
    if (row == nullptr) {
      continue;
    }
    TeamQuotaUse& use = row->use;
    const double total = row->quota.TotalAdmittedByAll();
    use.admitted = std::max(total - use.totalAdmitted, 0.0);
    use.totalAdmitted = total;
    use.limit = team.ratePerSecond * kSeconds;
    const std::map<uint32_t, double> refused = row->demand.TakeRefused();
    for (const auto& [priority, units] : refused) {
      use.refusedInTotal += units;
    }
    if (!refused.empty()) {
      Log(team.name, use, refused);
    }
  }
}

void TeamQuotaReport::Log(const std::string& aTeam, const TeamQuotaUse& aUse,
                          const std::map<uint32_t, double>& aRefused)
{
  double total = 0;
  std::string byPriority;
  for (const auto& [priority, units] : aRefused) {
    total += units;
    byPriority += byPriority.empty() ? "" : " ";
    byPriority += std::to_string(priority) + ":" + UnitsText(units);
  }
  world_.Log(LogLevel::Info, "team_quota", {},
             { { "team", aTeam },
               { "interval_ms", MsText(ToMs(kReportInterval)) },
               { "admitted_by_all", UnitsText(aUse.admitted) },
               { "limit", UnitsText(aUse.limit) },
               { "used_percent", MsText(100 * UsedShare(aUse)) },
               { "refused_here", UnitsText(total) },
               { "refused_by_priority", byPriority } });
}

std::string RenderTeamQuotaMetrics(const World& aWorld)
{
  std::string text;
  AppendMetric(text, aWorld, "used_share", "gauge",
               "Share of the team's limit that all daemons admitted in the last 2 s",
               UsedShare);
  AppendMetric(text, aWorld, "refused_units_total", "counter",
               "Units that this daemon refused because the team was over its limit",
               [](const TeamQuotaUse& aUse) { return aUse.refusedInTotal; });
  return text;
}

} // namespace gooseberrypath::entry
