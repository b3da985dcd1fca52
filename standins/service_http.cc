#include "standins/service_http.h"

#include <algorithm>

#include "standins/clock.h"

namespace gooseberrypath::standins {

using nlohmann::json;

kj::Promise<void> ServiceHttp::Handle(HttpCall& aCall)
{
  if (aCall.Is(kj::HttpMethod::GET, "stats")) {
    return aCall.SendJson(200, model_.Stats());
  }
  model_.CountRequest();
  if (refuse_) {
    return aCall.SendError(503, "the service refuses requests", true);
  }
  if (breakBeforeRun_) {
    return aCall.Cut();
  }
  const json answer =
    model_.Run(kj::str(aCall.Method()).cStr(), aCall.Target(),
               std::string(aCall.Header("Idempotency-Key")), aCall.Body());
  const bool cuts = breakAfter_ > 0;
  if (cuts) {
    --breakAfter_;
  }
  const TimePoint now = SteadyNow();
  const Duration wait = std::max(delay_, frozenUntil_ - now);
  auto delay = wait > Duration::zero() ? timer_.afterDelay(ToKj(wait))
                                       : kj::Promise<void>(kj::READY_NOW);
  return delay.then(
    [this, &aCall, answer, cuts] { return cuts ? aCall.Cut() : Answer(aCall, answer); });
}

kj::Promise<void> ServiceHttp::Answer(HttpCall& aCall, const json& aAnswer)
{
  Headers headers;
  const std::string_view id = aCall.Header("X-Request-Id");
  if (!id.empty()) {
    headers.push_back({ "X-Request-Id", std::string(id) });
  }
  return aCall.SendJson(200, aAnswer, headers);
}

json ServiceHttp::Control(const json& aControl)
{
  refuse_ = aControl.value("refuse", refuse_);
  breakBeforeRun_ = aControl.value("break_before_run", breakBeforeRun_);
  breakAfter_ = aControl.value("break_after", breakAfter_);
  if (aControl.contains("delay_ms")) {
    delay_ = std::chrono::milliseconds(aControl["delay_ms"].get<uint32_t>());
  }
  if (aControl.contains("freeze_ms")) {
    frozenUntil_ =
      SteadyNow() + std::chrono::milliseconds(aControl["freeze_ms"].get<uint32_t>());
  }
  return { { "refuse", refuse_ },
           { "break_before_run", breakBeforeRun_ },
           { "break_after", breakAfter_ },
           { "delay_ms", delay_.count() / 1000 } };
}

} // namespace gooseberrypath::standins
