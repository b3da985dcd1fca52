#include "standins/log_http.h"

#include <algorithm>

#include "standins/clock.h"

namespace gooseberrypath::standins {

using nlohmann::json;

namespace {

constexpr uint64_t kMaxWaitMs = 60'000;
constexpr uint64_t kDefaultLimit = 1000;

} // namespace

kj::Promise<void> LogHttp::Handle(HttpCall& aCall)
{
  if (cut_) {
    return aCall.Cut();
  }
  if (outage_) {
    return aCall.SendError(503, "the log is out of service");
  }
  const auto& path = aCall.Path();
  if (path.size() != 3 || path[0] != "streams" || path[2] != "records") {
    return aCall.SendError(404, "no such path");
  }
  if (aCall.Method() == kj::HttpMethod::POST) {
    return Append(aCall, path[1]);
  }
  if (aCall.Method() != kj::HttpMethod::GET) {
    return aCall.SendError(404, "no such method");
  }
  const auto wait =
    std::chrono::milliseconds(std::min(aCall.QueryNumber("wait_ms", 0), kMaxWaitMs));
  return Slowness()
    .then([this, &aCall, until = SteadyNow() + slow_ + wait] {
      return Read(aCall, aCall.Path()[1], until);
    })
    .exclusiveJoin(aCall.WatchClient());
}

kj::Promise<void> LogHttp::Append(HttpCall& aCall, const std::string& aStream)
{
  json data = aCall.JsonBody();
  if (!data.is_object()) {
    return aCall.SendError(400, "the record is not a JSON object");
  }
  const auto offset = model_.Append(aStream, std::move(data), WallMs());
  if (!offset) {
    return aCall.SendError(429, "above the append rate");
  }
  changed_.Notify();
  if (loseAppendAnswers_ > 0) {
    --loseAppendAnswers_;
    return aCall.Cut();
  }
  return Slowness().then([&aCall, offset] {
    return aCall.SendJson(200, { { "offset", *offset } });
  });
}

kj::Promise<void> LogHttp::Read(HttpCall& aCall, const std::string& aStream,
                                TimePoint aUntil)
{
  if (cut_) {
    return aCall.Cut();
  }
  if (outage_) {
    return aCall.SendError(503, "the log is out of service");
  }
  const Offset from = aCall.QueryNumber("from", 1);
  const Duration left = aUntil - SteadyNow();
  if (model_.Head(aStream) > from || left <= Duration::zero()) {
    const uint64_t limit = aCall.QueryNumber("limit", kDefaultLimit);
    return aCall.SendJson(200, model_.Read(aStream, from, limit, WallMs()));
  }
  return changed_.Wait()
    .exclusiveJoin(timer_.afterDelay(ToKj(left)))
    .then([this, &aCall, aStream, aUntil] { return Read(aCall, aStream, aUntil); });
}

kj::Promise<void> LogHttp::Slowness()
{
  return slow_ > Duration::zero() ? timer_.afterDelay(ToKj(slow_))
                                  : kj::Promise<void>(kj::READY_NOW);
}

json LogHttp::Control(const json& aControl)
{
  outage_ = aControl.value("outage", outage_);
  cut_ = aControl.value("cut", cut_);
  loseAppendAnswers_ = aControl.value("lose_append_answers", loseAppendAnswers_);
  if (aControl.contains("slow_ms")) {
    slow_ = std::chrono::milliseconds(aControl["slow_ms"].get<uint32_t>());
  }
  changed_.Notify();
  return { { "outage", outage_ },
           { "cut", cut_ },
           { "lose_append_answers", loseAppendAnswers_ },
           { "slow_ms", slow_.count() / 1000 } };
}

} // namespace gooseberrypath::standins
