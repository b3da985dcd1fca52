#include "standins/platform_model.h"

#include <algorithm>

namespace gooseberrypath::standins {

using nlohmann::json;

namespace {

json ListOf(const std::map<std::string, json>& aHosts)
{
  json list = json::array();
  for (const auto& [name, host] : aHosts) {
    list.push_back(host);
  }
  return list;
}

} // namespace

void PlatformModel::SetHosts(const json& aHosts, TimePoint aNow)
{
  Advance(aNow);
  HostList hosts;
  for (const json& item : aHosts) {
    json host = item.is_string() ? json{ { "host", item } } : item;
    const std::string name = host.at("host");
    host["state"] = host.value("state", "live");
    hosts[name] = std::move(host);
  }
  hosts_.Set(aNow, std::move(hosts));
}

void PlatformModel::AddNotice(const std::string& aHost, int64_t aSecondsLeft,
                              TimePoint aNow)
{
  Advance(aNow);
  notices_.push_back({ .host = aHost, .end = aNow + std::chrono::seconds(aSecondsLeft) });
  SetState(aHost, "leaving", aNow);
}

std::optional<json> PlatformModel::StartHost(const std::string& aZone,
                                             const std::string& aClass,
                                             const std::string& aKind, TimePoint aNow)
{
  Advance(aNow);
  HostList hosts = hosts_.Newest();
  const auto existing = std::count_if(hosts.begin(), hosts.end(), [](const auto& aItem) {
    return aItem.second.at("state") != "gone";
  });
  if (refusesStarts_ ||
      (options_.maxHosts != 0 && static_cast<size_t>(existing) >= options_.maxHosts)) {
    return std::nullopt;
  }
  std::string name;
  do {
    name = "started-" + std::to_string(++started_);
  } while (hosts.contains(name));
  json host = { { "host", name },
                { "state", "live" },
                { "zone", aZone },
                { "class", aClass },
                { "kind", aKind } };
  hosts[name] = host;
  hosts_.Set(aNow, std::move(hosts));
  return host;
}

json PlatformModel::Hosts(TimePoint aNow)
{
  Advance(aNow);
  return { { "hosts", ListOf(hosts_.Get(aNow)) } };
}

json PlatformModel::Notices(uint64_t aAfter, TimePoint aNow) const
{
  json notices = json::array();
  for (size_t i = std::min<uint64_t>(aAfter, notices_.size()); i < notices_.size(); ++i) {
    // Rounded up, so that a notice is first seen with its full time.
    const auto left = std::chrono::ceil<std::chrono::seconds>(notices_[i].end - aNow);
    notices.push_back({ { "seq", i + 1 },
                        { "host", notices_[i].host },
                        { "seconds_left", std::max<int64_t>(left.count(), 0) } });
  }
  return { { "notices", std::move(notices) } };
}

json PlatformModel::State(TimePoint aNow)
{
  Advance(aNow);
  return { { "hosts", ListOf(hosts_.Newest()) },
           { "notices", Notices(0, aNow).at("notices") },
           { "refuse_starts", refusesStarts_ } };
}

void PlatformModel::Advance(TimePoint aNow)
{
  std::vector<Notice*> due;
  for (Notice& notice : notices_) {
    if (!notice.ended && notice.end <= aNow) {
      due.push_back(&notice);
    }
  }
  std::sort(due.begin(), due.end(), [](const Notice* aLeft, const Notice* aRight) {
    return aLeft->end < aRight->end;
  });
  for (Notice* notice : due) {
    notice->ended = true;
    SetState(notice->host, "gone", notice->end);
  }
}

void PlatformModel::SetState(const std::string& aHost, const char* aState, TimePoint aAt)
{
  HostList hosts = hosts_.Newest();
  const auto found = hosts.find(aHost);
  if (found != hosts.end()) {
    found->second["state"] = aState;
    hosts_.Set(aAt, std::move(hosts));
  }
}

} // namespace gooseberrypath::standins
