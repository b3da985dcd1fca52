#include "gooseberrypath/resources.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/address.h"

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxSpecBytes = 1 << 20;
constexpr size_t kMaxTextBytes = 256;
constexpr size_t kMaxShownBytes = 80; // of a wrong value in a message
constexpr uint64_t kDayMs = 86'400'000;
constexpr uint64_t kYearSeconds = 31'536'000;
constexpr uint32_t kMaxUint32 = std::numeric_limits<uint32_t>::max();

std::string Show(const Json& aValue)
{
  // Json::dump() is recursive, so deep nesting from outside would exhaust the stack.
  if (aValue.is_structured()) {
    return aValue.is_array() ? "an array" : "an object";
  }
  std::string text = aValue.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

template<typename... Parts>
tl::unexpected<Error> Invalid(const Parts&... aParts)
{
  std::string message;
  ((message += aParts), ...);
  return MakeError(ErrorKind::ResourceInvalid, std::move(message));
}

std::string ShowNumber(double aValue)
{
  return Show(Json(aValue));
}

bool IsText(std::string_view aText)
{
  return aText.size() <= kMaxTextBytes && std::ranges::all_of(aText, [](char aChar) {
           return static_cast<unsigned char>(aChar) >= ' ' && aChar != '\x7f';
         });
}

/// Reads the fields of one JSON object into typed values. The first failure is kept;
/// later reads do nothing. Finish() refuses fields that were not read.
class FieldReader
{
public:
  FieldReader(const Json& aObject, std::string aPath)
    : object_(aObject)
    , path_(std::move(aPath))
  {
    if (!object_.is_object()) {
      Fail(path_.empty() ? "the spec" : path_, Show(object_), "a JSON object");
    }
  }

  void Text(const char* aName, std::string& aTarget, bool aIsRequired = false)
  {
    const Json* value = Take(aName, aIsRequired);
    if (value == nullptr) {
      return;
    }
    const auto* text = value->get_ptr<const std::string*>();
    if (text == nullptr || !IsText(*text) || (aIsRequired && text->empty())) {
      Fail(Path(aName), Show(*value),
           aIsRequired ? "a string of 1 to 256 bytes without control characters"
                       : "a string of 0 to 256 bytes without control characters");
      return;
    }
    aTarget = *text;
  }

  void Flag(const char* aName, bool& aTarget)
  {
    const Json* value = Take(aName, false);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      Fail(Path(aName), Show(*value), "true or false");
      return;
    }
    aTarget = value->get<bool>();
  }

  template<typename Integer>
  void Whole(const char* aName, Integer& aTarget, uint64_t aLeast, uint64_t aMost)
  {
    const Json* value = Take(aName, false);
    if (value == nullptr) {
      return;
    }
    const auto* number = value->get_ptr<const uint64_t*>();
    if (number == nullptr || *number < aLeast || *number > aMost) {
      Fail(Path(aName), Show(*value),
           "an integer from " + std::to_string(aLeast) + " to " + std::to_string(aMost));
      return;
    }
    aTarget = static_cast<Integer>(*number);
  }

  void Time(const char* aName, Duration& aTarget, Duration aUnit, uint64_t aDefault,
            uint64_t aMost)
  {
    uint64_t count = aDefault;
    Whole(aName, count, 1, aMost);
    aTarget = aUnit * count;
  }

  void Number(const char* aName, double& aTarget, double aLeast, double aMost)
  {
    const Json* value = Take(aName, false);
    if (value == nullptr) {
      return;
    }
    if (!value->is_number() || !(value->get<double>() >= aLeast) ||
        !(value->get<double>() <= aMost)) {
      Fail(Path(aName), Show(*value),
           "a number from " + ShowNumber(aLeast) + " to " + ShowNumber(aMost));
      return;
    }
    aTarget = value->get<double>();
  }

  /// Returns the array of this name, or null if there is none.
  const Json* Array(const char* aName)
  {
    const Json* value = Take(aName, false);
    if (value != nullptr && !value->is_array()) {
      Fail(Path(aName), Show(*value), "an array");
      return nullptr;
    }
    return value;
  }

  void Fail(std::string_view aField, std::string_view aValue, std::string_view aAllowed)
  {
    if (!error_) {
      error_ =
        Invalid(aField, ": ", aValue, " is not allowed; allowed: ", aAllowed).value();
    }
  }

  void Fail(const Error& aError)
  {
    if (!error_) {
      error_ = aError;
    }
  }

  std::string Path(std::string_view aName) const
  {
    return path_.empty() ? std::string(aName) : path_ + "." + std::string(aName);
  }

  bool IsFailed() const { return error_.has_value(); }

  Result<void> Finish()
  {
    if (!error_) {
      for (const auto& [name, value] : object_.items()) {
        if (!known_.contains(name)) {
          std::string allowed;
          for (const std::string& known : known_) {
            allowed += (allowed.empty() ? "" : ", ") + known;
          }
          Fail(Path(Show(Json(name))), "an unknown field", allowed);
          break;
        }
      }
    }
    if (error_) {
      return tl::unexpected<Error>(*error_);
    }
    return {};
  }

private:
  const Json* Take(const char* aName, bool aIsRequired)
  {
    known_.insert(aName);
    if (error_) {
      return nullptr;
    }
    const auto found = object_.find(aName);
    if (found == object_.end()) {
      if (aIsRequired) {
        Fail(Path(aName), "a missing field", "a non-empty string");
      }
      return nullptr;
    }
    return &*found;
  }

  const Json& object_;
  std::string path_;
  std::set<std::string> known_;
  std::optional<Error> error_;
};

template<typename S>
Result<Spec> Finished(FieldReader& aFields, S aSpec)
{
  return aFields.Finish().map([&] { return Spec(std::move(aSpec)); });
}

Result<Spec> ParseRoute(const Json& aJson)
{
  static const std::set<std::string> kMethods = { "DELETE", "GET",  "HEAD", "OPTIONS",
                                                  "PATCH",  "POST", "PUT" };
  RouteSpec route;
  FieldReader fields(aJson, "");
  fields.Text("pathPrefix", route.pathPrefix, true);
  if (!fields.IsFailed() &&
      (route.pathPrefix.front() != '/' ||
       route.pathPrefix.find_first_of(" ?#") != std::string::npos)) {
    fields.Fail("pathPrefix", Show(route.pathPrefix),
                "a path that begins with '/', without space, '?' and '#'");
  }
  if (const Json* methods = fields.Array("methods")) {
    for (const Json& method : *methods) {
      const auto* text = method.get_ptr<const std::string*>();
      if (text == nullptr || !kMethods.contains(*text)) {
        fields.Fail("methods", Show(method),
                    "DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT");
        break;
      }
      route.methods.push_back(*text);
    }
  }
  fields.Text("service", route.service, true);
  fields.Flag("idempotent", route.idempotent);
  fields.Time("deadlineMs", route.deadline, std::chrono::milliseconds(1), 30'000, kDayMs);
  return Finished(fields, std::move(route));
}

Result<BackendSpec> ParseBackend(const Json& aJson, const std::string& aPath)
{
  BackendSpec backend;
  FieldReader fields(aJson, aPath);
  fields.Text("name", backend.name, true);
  if (!fields.IsFailed()) {
    if (const Result<void> name = CheckName(backend.name); !name) {
      fields.Fail(Error{ name.error().kind, fields.Path(name.error().message) });
    }
  }
  fields.Text("address", backend.address, true);
  if (!fields.IsFailed() && !IsAddress(backend.address)) {
    fields.Fail(fields.Path("address"), Show(backend.address),
                "IP:port with a port from 1 to 65535");
  }
  fields.Text("host", backend.host);
  if (backend.host.empty()) {
    backend.host = backend.name;
  }
  fields.Text("zone", backend.zone);
  fields.Text("machineClass", backend.machineClass);
  fields.Number("pricePerHour", backend.pricePerHour, 0, 1e6);
  return fields.Finish().map([&] { return std::move(backend); });
}

Result<Spec> ParseService(const Json& aJson)
{
  ServiceSpec service;
  FieldReader fields(aJson, "");
  std::string kind = "plain";
  fields.Text("kind", kind);
  if (kind != "plain" && kind != "model") {
    fields.Fail("kind", Show(kind), "plain, model");
  }
  service.kind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
  if (const Json* backends = fields.Array("backends")) {
    std::set<std::string> names;
    for (const Json& item : *backends) {
      const std::string path =
        "backends[" + std::to_string(service.backends.size()) + "]";
      Result<BackendSpec> backend = ParseBackend(item, path);
      if (!backend) {
        fields.Fail(backend.error());
        break;
      }
      if (!names.insert(backend->name).second) {
        fields.Fail(path + ".name", Show(backend->name),
                    "a name used once in the service");
        break;
      }
      service.backends.push_back(std::move(*backend));
    }
  }
  fields.Flag("deduplicates", service.deduplicates);
  const Duration millisecond = std::chrono::milliseconds(1);
  fields.Time("firstTokenTimeoutMs", service.firstTokenTimeout, millisecond, 10'000,
              kDayMs);
  fields.Time("tokenStallMs", service.tokenStall, millisecond, 2'000, kDayMs);
  fields.Time("keyWindowSeconds", service.keyWindow, std::chrono::seconds(1), 86'400,
              kYearSeconds);
  return Finished(fields, std::move(service));
}

Result<Spec> ParseTeam(const Json& aJson)
{
  // A weight of 0 would starve the team for ever.
  constexpr double kLeastWeight = 0.001;
  TeamSpec team;
  FieldReader fields(aJson, "");
  fields.Whole("maxConcurrent", team.maxConcurrent, 0, kMaxUint32);
  fields.Number("requestsPerSecond", team.requestsPerSecond, 0, 1e6);
  fields.Number("weight", team.weight, kLeastWeight, 1e6);
  return Finished(fields, team);
}

Result<Spec> ParsePolicy(const Json& aJson)
{
  PolicySpec policy;
  FieldReader fields(aJson, "");
  fields.Number("costWeight", policy.costWeight, 0, 1);
  fields.Whole("retryBudgetPercent", policy.retryBudgetPercent, 0, 100);
  fields.Whole("maxAttempts", policy.maxAttempts, 1, 100);
  return Finished(fields, policy);
}

ServiceKind NeededKind(const RouteSpec& aRoute)
{
  return aRoute.pathPrefix.starts_with(kChatPath) ? ServiceKind::Model
                                                  : ServiceKind::Plain;
}

std::string_view NameOf(ServiceKind aKind)
{
  return aKind == ServiceKind::Model ? "model" : "plain";
}

bool Overlap(const std::vector<std::string>& aLeft,
             const std::vector<std::string>& aRight)
{
  return aLeft.empty() || aRight.empty() ||
         std::ranges::any_of(aLeft, [&](const std::string& aMethod) {
           return std::ranges::find(aRight, aMethod) != aRight.end();
         });
}

Result<void> CheckRoute(const ResourceTable& aResources, const ResourceId& aId,
                        const RouteSpec& aRoute)
{
  const auto found = aResources.find({ "service", aRoute.service });
  if (found == aResources.end()) {
    return Invalid("service: there is no service \"", aRoute.service, "\"");
  }
  const auto* service = std::get_if<ServiceSpec>(&found->second.spec);
  if (service != nullptr && service->kind != NeededKind(aRoute)) {
    return Invalid("service: \"", aRoute.service, "\" is a ", NameOf(service->kind),
                   " service; pathPrefix ", aRoute.pathPrefix, " needs a ",
                   NameOf(NeededKind(aRoute)), " service");
  }
  for (const auto& [id, row] : aResources) {
    const auto* other = std::get_if<RouteSpec>(&row.spec);
    if (other != nullptr && id != aId && other->pathPrefix == aRoute.pathPrefix &&
        Overlap(other->methods, aRoute.methods)) {
      return Invalid("pathPrefix: ", aRoute.pathPrefix,
                     " with the same method is in route \"", id.second, "\"");
    }
  }
  return {};
}

} // namespace

Result<void> CheckName(std::string_view aName)
{
  constexpr size_t kMaxName = 64;
  const bool isGood = !aName.empty() && aName.size() <= kMaxName &&
                      std::ranges::all_of(aName, [](char aChar) {
                        return (aChar >= 'a' && aChar <= 'z') ||
                               (aChar >= '0' && aChar <= '9') || aChar == '-' ||
                               aChar == '.';
                      });
  if (!isGood) {
    return Invalid("name: ", Show(Json(aName)),
                   " is not allowed; allowed: 1 to 64 of a-z, 0-9, '-' and '.'");
  }
  return {};
}

Result<Spec> ParseSpec(std::string_view aKind, std::string_view aJson)
{
  if (aJson.size() > kMaxSpecBytes) {
    return Invalid("the spec has ", std::to_string(aJson.size()),
                   " bytes; allowed: up to ", std::to_string(kMaxSpecBytes));
  }
  const Json json = Json::parse(aJson, nullptr, false);
  if (json.is_discarded()) {
    return Invalid("the spec is not JSON");
  }
  if (aKind == "route") {
    return ParseRoute(json);
  }
  if (aKind == "service") {
    return ParseService(json);
  }
  if (aKind == "team") {
    return ParseTeam(json);
  }
  if (aKind == "policy") {
    return ParsePolicy(json);
  }
  return Invalid("kind: ", Show(Json(aKind)),
                 " is not allowed; allowed: policy, route, service, team");
}

Result<void> CheckReferences(const ResourceTable& aResources, const ResourceId& aId,
                             const Spec& aSpec)
{
  if (const auto* route = std::get_if<RouteSpec>(&aSpec)) {
    return CheckRoute(aResources, aId, *route);
  }
  if (const auto* service = std::get_if<ServiceSpec>(&aSpec)) {
    for (const auto& [id, row] : aResources) {
      const auto* route = std::get_if<RouteSpec>(&row.spec);
      if (route != nullptr && route->service == aId.second &&
          NeededKind(*route) != service->kind) {
        return Invalid("kind: ", NameOf(service->kind), " is not allowed while route \"",
                       id.second, "\" needs a ", NameOf(NeededKind(*route)), " service");
      }
    }
  }
  return {};
}

Result<void> CheckDeletion(const ResourceTable& aResources, const ResourceId& aId)
{
  if (aId.first != "service") {
    return {};
  }
  for (const auto& [id, row] : aResources) {
    const auto* route = std::get_if<RouteSpec>(&row.spec);
    if (route != nullptr && route->service == aId.second) {
      return Invalid("service \"", aId.second, "\" is in use by route \"", id.second,
                     "\"");
    }
  }
  return {};
}

} // namespace gooseberrypath
