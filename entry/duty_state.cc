#include "entry/duty_state.h"

#include <nlohmann/json.hpp>

namespace gooseberrypath::entry {

namespace {

using nlohmann::json;

json RowsToJson(std::span<const UsageRow> aRows)
{
  auto rows = json::array();
  for (const UsageRow& row : aRows) {
    rows.push_back({ row.window, row.daemon, row.team, row.count });
  }
  return rows;
}

std::vector<UsageRow> RowsFromJson(const json& aRows)
{
  std::vector<UsageRow> rows;
  for (const json& row : aRows) {
    rows.push_back({ row.at(0).get<uint64_t>(), row.at(1).get<std::string>(),
                     row.at(2).get<std::string>(), row.at(3).get<uint64_t>() });
  }
  return rows;
}

std::string ToText(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string EncodeUsage(std::span<const UsageRow> aRows)
{
  return ToText(RowsToJson(aRows));
}

Result<std::vector<UsageRow>> DecodeUsage(std::string_view aText)
{
  try {
    return RowsFromJson(json::parse(aText));
  } catch (const json::exception& problem) {
    return MakeError(ErrorKind::BadRequest, problem.what());
  }
}

std::string EncodeDutyState(const DutyState& aState)
{
  auto reports = json::array();
  for (const UsageReport& report : aState.reports) {
    reports.push_back({ { "window", report.window }, { "counts", report.counts } });
  }
  auto engineDemands = json::object();
  for (const auto& [service, engineDemand] : aState.engineDemands) {
    engineDemands[service] = { engineDemand.slowAverage, engineDemand.fastAverage };
  }
  return ToText(json{ { "holder", aState.holder },
                      { "incarnation", aState.incarnation },
                      { "token", aState.token },
                      { "renewal", aState.renewal },
                      { "era", aState.era },
                      { "reports", std::move(reports) },
                      { "firstUnreported", aState.firstUnreported },
                      { "counts", RowsToJson(aState.counts) },
                      { "needs", std::move(engineDemands) } });
}

Result<DutyState> DecodeDutyState(std::string_view aText)
{
  if (aText.empty()) {
    return DutyState{};
  }
  // A daemon of another version may have written the text, so a field of an unexpected
  // type is an input error and not a bug.
  try {
    const auto root = json::parse(aText);
    DutyState state{ .holder = root.at("holder").get<std::string>(),
                     .incarnation = root.at("incarnation").get<uint64_t>(),
                     .token = root.at("token").get<uint64_t>(),
                     .renewal = root.at("renewal").get<uint64_t>(),
                     .era = root.value("era", uint64_t{ 0 }),
                     .firstUnreported = root.at("firstUnreported").get<uint64_t>() };
    for (const auto& report : root.at("reports")) {
      state.reports.push_back(
        { report.at("window").get<uint64_t>(),
          report.at("counts").get<std::map<std::string, uint64_t>>() });
    }
    for (const auto& [service, engineDemand] : root.at("needs").items()) {
      state.engineDemands[service] = { engineDemand.at(0).get<double>(),
                                       engineDemand.at(1).get<double>() };
    }
    state.counts = RowsFromJson(root.at("counts"));
    return state;
  } catch (const json::exception& problem) {
    return MakeError(ErrorKind::BadRequest, problem.what());
  }
}

} // namespace gooseberrypath::entry
