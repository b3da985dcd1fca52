#include "entry/status_report.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "entry/limit_report.h"
#include "entry/part_guard.h"
#include "entry/prompt_parts.h"
#include "entry/store_report.h"

namespace gooseberrypath::entry {

namespace {

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

nlohmann::json BlockedPartStatus(const World& aWorld)
{
  auto parts = nlohmann::json::array();
  for (const auto& [part, block] : aWorld.partEvidence.Blocks()) {
    const auto known = aWorld.partEvidence.Trials().find(part);
    const PartTrials trials =
      known == aWorld.partEvidence.Trials().end() ? PartTrials{} : known->second;
    nlohmann::json row = { { "part", PartText(part) },
                           { "engines", block.starts },
                           { "teams", block.teams.size() },
                           { "blocked_s", Seconds(aWorld.Now() - block.since) },
                           { "trials", trials.count },
                           { "next_trial_s", nullptr } };
    if (const auto next = NextTrialAt(block, trials)) {
      row["next_trial_s"] = std::max(Seconds(*next - aWorld.Now()), 0.0);
    }
    parts.push_back(std::move(row));
  }
  return parts;
}

} // namespace

std::string RenderStatus(const World& aWorld)
{
  const nlohmann::json status = { { "store", StoreStatus(aWorld) },
                                  { "limits", LimitStatus(aWorld) },
                                  { "blocked_parts", BlockedPartStatus(aWorld) } };
  return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace gooseberrypath::entry
