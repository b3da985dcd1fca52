#include "gooseberrypath/request_intake.h"

#include <algorithm>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/team_limits.h"

namespace gooseberrypath {

namespace {

constexpr size_t kMaxKeyLength = 128;

bool HasPathPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') ||
         aPath[aPrefix.size()] == '/';
}

bool IsHex(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aChar) {
    return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
  });
}

/// Reads a W3C trace context: "00-<32 hex>-<16 hex>-<2 hex>". Anything else starts a new
/// trace, as that recommendation asks.
void ReadTraceParent(World& aWorld, std::string_view aHeader, RequestRow& aRow)
{
  constexpr size_t kLength = 55;
  constexpr size_t kTraceAt = 3;
  constexpr size_t kTraceDigits = 32;
  constexpr size_t kSpanAt = 36;
  constexpr size_t kSpanDigits = 16;
  const bool isValid = aHeader.size() == kLength && aHeader.starts_with("00-") &&
                       IsHex(aHeader.substr(kTraceAt, kTraceDigits)) &&
                       IsHex(aHeader.substr(kSpanAt, kSpanDigits));
  if (isValid) {
    aRow.trace = aHeader.substr(kTraceAt, kTraceDigits);
    aRow.parent = aHeader.substr(kSpanAt, kSpanDigits);
  } else {
    aRow.trace = aWorld.RandomHex(kTraceDigits);
  }
  aRow.span = aWorld.RandomHex(kSpanDigits);
}

Result<std::string> TeamOf(const World& aWorld, const Headers& aHeaders)
{
  const std::string_view team = FindHeader(aHeaders, "X-Team");
  if (team.empty()) {
    return std::string("default");
  }
  if (!aWorld.resources.contains({ "team", std::string(team) })) {
    return MakeError(ErrorKind::BadHeader,
                     "header X-Team names no team: " + std::string(team));
  }
  return std::string(team);
}

Result<void> CheckDaemonState(const World& aWorld)
{
  if (aWorld.state == DaemonState::Starting) {
    return MakeError(ErrorKind::NotReady, "the configuration has not been read yet");
  }
  if (aWorld.refusesRequests) {
    return MakeError(ErrorKind::Draining, "this daemon is stopping");
  }
  if (aWorld.requests.Size() >= aWorld.options.maxRequests) {
    return MakeError(ErrorKind::Overloaded, "this daemon has " +
                                              std::to_string(aWorld.requests.Size()) +
                                              " requests running");
  }
  return {};
}

Result<void> TakeInAction(RequestRow& aRow)
{
  if (!aRow.key.empty()) {
    if (auto checked = CheckKey(aRow.key); !checked) {
      return checked;
    }
  }
  if (aRow.idempotent) {
    return {};
  }
  if (aRow.key.empty()) {
    return MakeError(ErrorKind::KeyMissing,
                     "this route is not idempotent and needs the header Idempotency-Key");
  }
  aRow.stage = RequestStage::AwaitingClaim;
  return {};
}

Result<void> TakeInChat(RequestRow& aRow)
{
  if (aRow.caller.method != "POST") {
    return MakeError(ErrorKind::MethodNotAllowed, "a model route takes POST only");
  }
  auto chat = ParseChatRequest(aRow.caller.body);
  if (!chat) {
    return tl::unexpected(std::move(chat).error());
  }
  aRow.chat = std::move(*chat);
  // The parsed request holds the same bytes.
  aRow.caller.body = {};
  aRow.idempotent = true;
  if (PrefersAsync(aRow.caller.headers)) {
    aRow.stage = RequestStage::AwaitingJob;
  }
  return {};
}

} // namespace

bool PrefersAsync(const Headers& aHeaders)
{
  constexpr std::string_view kPreference = "respond-async";
  for (const Header& header : aHeaders) {
    if (!EqualsIgnoreCase(header.name, "Prefer")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      std::string_view one = rest.substr(0, comma);
      one = one.substr(0, one.find(';'));
      while (!one.empty() && one.front() == ' ') {
        one.remove_prefix(1);
      }
      while (!one.empty() && one.back() == ' ') {
        one.remove_suffix(1);
      }
      if (EqualsIgnoreCase(one, kPreference)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

Result<const RouteSpec*> FindRoute(const ResourceTable& aResources,
                                   std::string_view aMethod, std::string_view aTarget)
{
  const std::string_view path = PathOf(aTarget);
  const RouteSpec* best = nullptr;
  bool hasOtherMethod = false;
  const auto first = aResources.lower_bound({ "route", "" });
  for (auto it = first; it != aResources.end() && it->first.first == "route"; ++it) {
    const auto& route = std::get<RouteSpec>(it->second.spec);
    if (!HasPathPrefix(path, route.pathPrefix)) {
      continue;
    }
    if (!route.methods.empty() &&
        std::ranges::find(route.methods, aMethod) == route.methods.end()) {
      hasOtherMethod = true;
      continue;
    }
    if (!best || route.pathPrefix.size() > best->pathPrefix.size()) {
      best = &route;
    }
  }
  if (best) {
    return best;
  }
  if (hasOtherMethod) {
    return MakeError(ErrorKind::MethodNotAllowed,
                     "the route does not allow method " + std::string(aMethod));
  }
  return MakeError(ErrorKind::RouteNotFound, "no route for " + std::string(path));
}

Result<void> CheckKey(std::string_view aKey)
{
  const bool isPrintable =
    std::ranges::all_of(aKey, [](char aChar) { return aChar > ' ' && aChar <= '~'; });
  if (aKey.empty() || aKey.size() > kMaxKeyLength || !isPrintable) {
    return MakeError(ErrorKind::KeyInvalid,
                     "Idempotency-Key must have 1 to 128 printable characters without "
                     "spaces");
  }
  return {};
}

Result<RequestRow> TakeIn(World& aWorld, const CallerRequest& aRequest)
{
  if (const auto state = CheckDaemonState(aWorld); !state) {
    return tl::unexpected(state.error());
  }
  const auto route = FindRoute(aWorld.resources, aRequest.method, aRequest.target);
  if (!route) {
    return tl::unexpected(route.error());
  }
  const auto service = aWorld.resources.find({ "service", (*route)->service });
  if (service == aWorld.resources.end()) {
    return MakeError(ErrorKind::NoBackend, "service " + (*route)->service + " is gone");
  }
  const auto team = TeamOf(aWorld, aRequest.headers);
  if (!team) {
    return tl::unexpected(team.error());
  }
  RequestRow row{ .caller = aRequest };
  row.service = (*route)->service;
  row.team = *team;
  row.key = FindHeader(aRequest.headers, "Idempotency-Key");
  row.kind = std::get<ServiceSpec>(service->second.spec).kind;
  row.idempotent = (*route)->idempotent;
  row.arrived = aWorld.Now();
  row.deadline = aWorld.Now() + (*route)->deadline;
  ReadTraceParent(aWorld, FindHeader(aRequest.headers, "traceparent"), row);
  const auto taken = row.kind == ServiceKind::Model ? TakeInChat(row) : TakeInAction(row);
  if (!taken) {
    return tl::unexpected(taken.error());
  }
  // Last, so that a request that is refused for another reason takes no share.
  if (const auto admitted = AdmitTeam(aWorld, row.team); !admitted) {
    return tl::unexpected(admitted.error());
  }
  return row;
}

} // namespace gooseberrypath
