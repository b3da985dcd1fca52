#include "gooseberrypath/platform_http.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

// The announced time is limited to a day so that it cannot overflow a Duration.
constexpr double kMaxSecondsLeft = 86'400;

// A platform that answers an empty long poll at once must not make the port spin.
constexpr Duration kMinNoticesTime = std::chrono::milliseconds(20);

std::optional<HostState> ParseState(const std::string& aName)
{
  if (aName == "live") {
    return HostState::Live;
  }
  if (aName == "leaving") {
    return HostState::Leaving;
  }
  if (aName == "gone") {
    return HostState::Gone;
  }
  return std::nullopt;
}

/// Returns the array field of a JSON object, or null if the body is malformed.
nlohmann::json ParseList(const HttpReply& aReply, const char* aName)
{
  const auto json = nlohmann::json::parse(aReply.body, nullptr, false);
  if (aReply.status != 200 || !json.is_object() || !json.contains(aName) ||
      !json[aName].is_array()) {
    return nullptr;
  }
  return json[aName];
}

bool HasText(const nlohmann::json& aObject, const char* aName)
{
  return aObject.is_object() && aObject.contains(aName) && aObject[aName].is_string();
}

} // namespace

PlatformHttp::PlatformHttp(PlatformHttpOptions aOptions)
  : options_(std::move(aOptions))
  , backoff_(options_.minBackoff)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    address_ = kj::mv(*address);
  } else {
    KJ_FAIL_REQUIRE("the platform address is not IP:port", options_.address.c_str());
  }
  client_ = kj::newHttpClient(options_.timer, HeaderTable(), *address_);
}

void PlatformHttp::Start()
{
  const auto onError = [this](kj::Exception&& aError) {
    errors_.taskFailed(kj::mv(aError));
  };
  hosts_ = kj::evalLater([this] { return PollHosts(); }).eagerlyEvaluate(onError);
  notices_ = kj::evalLater([this] { return PollNotices(); }).eagerlyEvaluate(onError);
}

kj::Promise<HttpReply> PlatformHttp::Get(std::string aTarget, Duration aTimeout)
{
  return Fetch(*client_, options_.timer,
               HttpRequest{ .target = std::move(aTarget),
                            .headers = { { "Host", options_.address } } },
               options_.maxReadBytes, aTimeout);
}

kj::Promise<void> PlatformHttp::PollHosts()
{
  return Get("/hosts", options_.readTimeout)
    .then([this](const HttpReply& aReply) { return EmitHosts(aReply); },
          [](kj::Exception&&) { return false; })
    .then([this](bool aIsGood) {
      failures_ += aIsGood ? 0 : 1;
      return options_.timer.afterDelay(Jittered(options_.hostsInterval));
    })
    .then([this] { return PollHosts(); });
}

kj::Promise<void> PlatformHttp::PollNotices()
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(options_.noticesWait);
  const kj::TimePoint started = options_.timer.now();
  return Get("/notices?after=" + std::to_string(lastNotice_) +
               "&wait_ms=" + std::to_string(wait.count()),
             options_.noticesWait + options_.readTimeout)
    .then([this](const HttpReply& aReply) { return EmitNotices(aReply); },
          [](kj::Exception&&) { return false; })
    .then([this, started](bool aIsGood) -> kj::Promise<void> {
      if (aIsGood) {
        backoff_ = options_.minBackoff;
        if (options_.timer.now() - started < ToKj(kMinNoticesTime)) {
          return options_.timer.afterDelay(ToKj(kMinNoticesTime));
        }
        return kj::READY_NOW;
      }
      ++failures_;
      const Duration backoff = backoff_;
      backoff_ = std::min(backoff * 2, options_.maxBackoff);
      return options_.timer.afterDelay(Jittered(backoff));
    })
    .then([this] { return PollNotices(); });
}

bool PlatformHttp::EmitHosts(const HttpReply& aReply)
{
  const auto list = ParseList(aReply, "hosts");
  if (!list.is_array()) {
    return false;
  }
  HostList hosts;
  for (const auto& item : list) {
    if (!HasText(item, "host") || !HasText(item, "state")) {
      return false;
    }
    const auto state = ParseState(item["state"].get<std::string>());
    if (!state) {
      return false;
    }
    hosts.hosts.push_back(HostEntry{ item["host"].get<std::string>(), *state });
  }
  options_.sink(std::move(hosts));
  return true;
}

bool PlatformHttp::EmitNotices(const HttpReply& aReply)
{
  const auto list = ParseList(aReply, "notices");
  if (!list.is_array()) {
    return false;
  }
  for (const auto& item : list) {
    if (!HasText(item, "host") || !item.contains("seq") ||
        !item["seq"].is_number_unsigned() || !item.contains("seconds_left") ||
        !item["seconds_left"].is_number()) {
      return false;
    }
    const auto sequence = item["seq"].get<uint64_t>();
    if (sequence <= lastNotice_) {
      continue;
    }
    lastNotice_ = sequence;
    const double seconds =
      std::clamp(item["seconds_left"].get<double>(), 0.0, kMaxSecondsLeft);
    options_.sink(ReclaimNotice{
      item["host"].get<std::string>(),
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) });
  }
  return true;
}

} // namespace gooseberrypath
