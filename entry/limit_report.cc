#include "entry/limit_report.h"

#include "entry/metric_label.h"

namespace gooseberrypath::entry {

namespace {

constexpr std::string_view kMetric = "gooseberrypath_entry_backend_limit_per_second";

/// Calls the function with each backend that has a limit and is not removed.
template<typename F>
void ForEachLimit(const World& aWorld, F aFunction)
{
  for (const auto& [id, row] : aWorld.backends) {
    if (row.limit.InForce() && !row.removedAt) {
      aFunction(row, *row.limit.InForce());
    }
  }
}

} // namespace

std::string RenderLimitMetrics(const World& aWorld)
{
  std::string text;
  text.append("# HELP ").append(kMetric);
  text.append(" Requests a second that the backend takes from all daemons together\n");
  text.append("# TYPE ").append(kMetric).append(" gauge\n");
  ForEachLimit(aWorld, [&](const BackendRow& aRow, double aPerSecond) {
    text.append(kMetric).append("{backend=").append(QuoteLabel(aRow.entry.id));
    text.append("} ").append(std::to_string(aPerSecond)).append("\n");
  });
  return text;
}

nlohmann::json LimitStatus(const World& aWorld)
{
  auto limits = nlohmann::json::array();
  ForEachLimit(aWorld, [&](const BackendRow& aRow, double aPerSecond) {
    const std::chrono::duration<double> known = aWorld.Now() - aRow.limitedSince;
    limits.push_back({ { "backend", aRow.entry.id },
                       { "service", aRow.entry.service },
                       { "per_second", aPerSecond },
                       { "known_s", known.count() } });
  });
  return limits;
}

} // namespace gooseberrypath::entry
