#include "standins/platform_http.h"

#include <algorithm>

#include "standins/clock.h"

namespace gooseberrypath::standins {

using nlohmann::json;

namespace {

constexpr uint64_t kMaxWaitMs = 60'000;

} // namespace

kj::Promise<void> PlatformHttp::Handle(HttpCall& aCall)
{
  if (outage_) {
    return aCall.SendError(503, "the platform is out of service");
  }
  if (aCall.Is(kj::HttpMethod::GET, "hosts")) {
    return aCall.SendJson(200, model_.Hosts(SteadyNow()));
  }
  if (aCall.Is(kj::HttpMethod::POST, "hosts")) {
    return Start(aCall);
  }
  if (aCall.Is(kj::HttpMethod::GET, "notices")) {
    const auto wait =
      std::chrono::milliseconds(std::min(aCall.QueryNumber("wait_ms", 0), kMaxWaitMs));
    return Notices(aCall, SteadyNow() + wait).exclusiveJoin(aCall.WatchClient());
  }
  return aCall.SendError(404, "no such path");
}

kj::Promise<void> PlatformHttp::Notices(HttpCall& aCall, TimePoint aUntil)
{
  if (outage_) {
    return aCall.SendError(503, "the platform is out of service");
  }
  const uint64_t after = aCall.QueryNumber("after", 0);
  const TimePoint now = SteadyNow();
  if (model_.LastNotice() > after || now >= aUntil) {
    return aCall.SendJson(200, model_.Notices(after, now));
  }
  return changed_.Wait()
    .exclusiveJoin(timer_.afterDelay(ToKj(aUntil - now)))
    .then([this, &aCall, aUntil] { return Notices(aCall, aUntil); });
}

kj::Promise<void> PlatformHttp::Start(HttpCall& aCall)
{
  const json body = aCall.JsonBody();
  try {
    const std::string kind = body.at("kind");
    if (kind != "reclaimable" && kind != "on_demand") {
      return aCall.SendError(400, "kind is neither reclaimable nor on_demand");
    }
    const auto host =
      model_.StartHost(body.at("zone"), body.at("class"), kind, SteadyNow());
    return host ? aCall.SendJson(201, *host)
                : aCall.SendError(409, "no capacity for this host");
  } catch (const json::exception& error) {
    return aCall.SendError(400, error.what());
  }
}

json PlatformHttp::Control(const json& aControl)
{
  const TimePoint now = SteadyNow();
  if (aControl.contains("hosts")) {
    model_.SetHosts(aControl["hosts"], now);
  }
  if (aControl.contains("notice")) {
    const json& notice = aControl["notice"];
    model_.AddNotice(notice.at("host"), notice.at("seconds_left"), now);
  }
  if (aControl.contains("refuse_starts")) {
    model_.RefuseStarts(aControl["refuse_starts"]);
  }
  outage_ = aControl.value("outage", outage_);
  changed_.Notify();
  json state = model_.State(now);
  state["outage"] = outage_;
  return state;
}

} // namespace gooseberrypath::standins
