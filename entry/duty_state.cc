#include "entry/duty_state.h"

#include <nlohmann/json.hpp>

namespace gooseberrypath::entry {

std::string EncodeDutyState(const DutyState& aState)
{
  auto reports = nlohmann::json::array();
  for (const UsageReport& report : aState.reports) {
    reports.push_back({ { "window", report.window }, { "counts", report.counts } });
  }
  auto counts = nlohmann::json::array();
  for (const UsageRow& row : aState.counts) {
    counts.push_back({ row.window, row.daemon, row.team, row.count });
  }
  auto needs = nlohmann::json::object();
  for (const auto& [service, need] : aState.needs) {
    needs[service] = { need.lasting, need.recent };
  }
  return nlohmann::json{
    { "holder", aState.holder },       { "incarnation", aState.incarnation },
    { "token", aState.token },         { "renewal", aState.renewal },
    { "reports", std::move(reports) }, { "firstUnreported", aState.firstUnreported },
    { "counts", std::move(counts) },   { "needs", std::move(needs) }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<DutyState> DecodeDutyState(std::string_view aText)
{
  if (aText.empty()) {
    return DutyState{};
  }
  // The text was written by a daemon of this version or another one, so a field of an
  // unexpected type is an error and not a bug.
  try {
    const auto json = nlohmann::json::parse(aText);
    DutyState state{ .holder = json.at("holder").get<std::string>(),
                     .incarnation = json.at("incarnation").get<uint64_t>(),
                     .token = json.at("token").get<uint64_t>(),
                     .renewal = json.at("renewal").get<uint64_t>(),
                     .firstUnreported = json.at("firstUnreported").get<uint64_t>() };
    for (const auto& report : json.at("reports")) {
      state.reports.push_back(
        { report.at("window").get<uint64_t>(),
          report.at("counts").get<std::map<std::string, uint64_t>>() });
    }
    for (const auto& [service, need] : json.at("needs").items()) {
      state.needs[service] = { need.at(0).get<double>(), need.at(1).get<double>() };
    }
    for (const auto& row : json.at("counts")) {
      state.counts.push_back({ row.at(0).get<uint64_t>(), row.at(1).get<std::string>(),
                               row.at(2).get<std::string>(), row.at(3).get<uint64_t>() });
    }
    return state;
  } catch (const nlohmann::json::exception& problem) {
    return MakeError(ErrorKind::BadRequest, problem.what());
  }
}

} // namespace gooseberrypath::entry
