#include "entry/store_report.h"

#include <string_view>

namespace gooseberrypath::entry {

namespace {

constexpr std::string_view kMetric = "gooseberrypath_entry_topic_age_seconds";

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

std::string RenderStoreMetrics(const World& aWorld)
{
  std::string text;
  text.append("# HELP ").append(kMetric);
  text.append(" Time since which records of a topic of the store may be missing here\n");
  text.append("# TYPE ").append(kMetric).append(" gauge\n");
  for (const StoreTopic topic : kStoreTopics) {
    if (const auto age = aWorld.freshness.AgeOf(topic, aWorld.Now())) {
      text.append(kMetric).append("{topic=\"").append(NameOf(topic)).append("\"} ");
      text.append(std::to_string(Seconds(*age))).append("\n");
    }
  }
  return text;
}

nlohmann::json StoreStatus(const World& aWorld)
{
  nlohmann::json status = { { "reachable", aWorld.isStoreReachable },
                            { "configuration_version", nullptr } };
  if (aWorld.configuration) {
    status["configuration_version"] = aWorld.configuration->version;
  }
  for (const StoreTopic topic : kStoreTopics) {
    const auto age = aWorld.freshness.AgeOf(topic, aWorld.Now());
    nlohmann::json& field = status[std::string(NameOf(topic)) + "_age_s"];
    if (age) {
      field = Seconds(*age);
    }
  }
  return status;
}

} // namespace gooseberrypath::entry
