#include "gooseberrypath/address.h"
#include "gooseberrypath/resources.h"

#include <random>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

void Put(ResourceTable& aTable, const ResourceId& aId, std::string_view aJson)
{
  const Result<Spec> spec = ParseSpec(aId.first, aJson);
  REQUIRE(spec);
  aTable[aId].spec = *spec;
}

Result<void> Check(const ResourceTable& aTable, const ResourceId& aId,
                   std::string_view aJson)
{
  const Result<Spec> spec = ParseSpec(aId.first, aJson);
  REQUIRE(spec);
  return CheckReferences(aTable, aId, *spec);
}

} // namespace

TEST_CASE("Specs are parsed with their defaults", "[resources]")
{
  const Result<Spec> route = ParseSpec(
    "route", R"({"pathPrefix":"/pickups","methods":["POST"],"service":"booking"})");
  REQUIRE(route);
  CHECK(std::get<RouteSpec>(*route) == RouteSpec{ .pathPrefix = "/pickups",
                                                  .methods = { "POST" },
                                                  .service = "booking",
                                                  .idempotent = false,
                                                  .deadline = std::chrono::seconds(30) });
  const Result<Spec> service = ParseSpec(
    "service",
    R"({"kind":"model","tokenStallMs":500,"backends":[{"name":"e1","address":"10.0.0.1:80"}]})");
  REQUIRE(service);
  const auto& spec = std::get<ServiceSpec>(*service);
  CHECK(spec.backends.at(0).host == "e1");
  CHECK(spec.tokenStall == std::chrono::milliseconds(500));
  CHECK(spec.keyWindow == std::chrono::seconds(86'400));
  CHECK(ParseSpec("team", "{}") == Spec(TeamSpec{}));
  CHECK(ParseSpec("policy", "{}") == Spec(PolicySpec{}));
}

TEST_CASE("Wrong specs are refused with field, value and range", "[resources]")
{
  struct Case
  {
    const char* kind;
    const char* json;
    const char* message; // parts of it, separated by '|'
  };
  const Case sample = GENERATE(
    Case{ "rout", "{}", "kind|rout|policy, route, service, team" },
    Case{ "team", "{", "not JSON" }, Case{ "team", "[]", "an array|a JSON object" },
    Case{ "team", R"({"wieght":1})", "wieght|unknown|maxConcurrent" },
    Case{ "team", R"({"weight":0})", "weight|0|0.001 to 1000000" },
    Case{ "team", R"({"maxConcurrent":-1})", "maxConcurrent|-1|0 to 4294967295" },
    Case{ "team", R"({"maxConcurrent":1.5})", "maxConcurrent|1.5|an integer" },
    Case{ "team", R"({"maxConcurrent":1e99})", "maxConcurrent|1e+99|an integer" },
    Case{ "policy", R"({"costWeight":1.01})", "costWeight|1.01|0.0 to 1.0" },
    Case{ "policy", R"({"maxAttempts":101})", "maxAttempts|101|1 to 100" },
    Case{ "route", R"({"service":"s"})", "pathPrefix|missing" },
    Case{ "route", R"({"pathPrefix":"x","service":"s"})",
          "pathPrefix|x|begins with '/'" },
    Case{ "route", R"({"pathPrefix":"/","service":7})", "service|7|a string" },
    Case{ "route", R"({"pathPrefix":"/","service":"s","methods":["get"]})",
          "methods|get|GET" },
    Case{ "route", R"({"pathPrefix":"/","service":"s","deadlineMs":0})",
          "deadlineMs|0|1 to 86400000" },
    Case{ "route", R"({"pathPrefix":"/","service":"s","idempotent":"yes"})",
          "idempotent|yes|true or false" },
    Case{ "service", R"({"kind":"modell"})", "kind|modell|plain, model" },
    Case{ "service", R"({"backends":{}})", "backends|an array" },
    Case{ "service", R"({"backends":[{"name":"A","address":"1.2.3.4:5"}]})",
          "backends[0].name|A|a-z" },
    Case{ "service", R"({"backends":[{"name":"a","address":"shop.example:80"}]})",
          "backends[0].address|shop.example:80|IP:port" },
    Case{
      "service",
      R"({"backends":[{"name":"a","address":"1.2.3.4:5"},{"name":"a","address":"1.2.3.4:6"}]})",
      "backends[1].name|a|once" });
  const Result<Spec> spec = ParseSpec(sample.kind, sample.json);
  REQUIRE_FALSE(spec);
  CHECK(spec.error().kind == ErrorKind::ResourceInvalid);
  std::string_view parts = sample.message;
  while (!parts.empty()) {
    const size_t end = std::min(parts.find('|'), parts.size());
    CHECK_THAT(spec.error().message, Catch::Contains(std::string(parts.substr(0, end))));
    parts.remove_prefix(std::min(end + 1, parts.size()));
  }
}

TEST_CASE("Addresses are IP:port", "[resources]")
{
  CHECK(IsAddress("10.0.0.1:1"));
  CHECK(IsAddress("[::1]:65535"));
  for (const char* wrong : { "", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
                             "10.0.0.1:65536", "10.0.0.1:8x", "10.0.0:80", "::1:80",
                             "localhost:80", "10.0.0.1:+80", "10.0.0.1: 80" }) {
    CHECK_FALSE(IsAddress(wrong));
  }
}

TEST_CASE("References between resources are checked", "[resources]")
{
  // Guards against routes that lead nowhere and requests that two routes match.
  ResourceTable table;
  const ResourceId a{ "route", "a" };
  const ResourceId b{ "route", "b" };
  CHECK_FALSE(Check(table, a, R"({"pathPrefix":"/a","service":"s"})"));
  Put(table, { "service", "s" }, "{}");
  Put(table, { "service", "m" }, R"({"kind":"model"})");
  CHECK(Check(table, a, R"({"pathPrefix":"/a","service":"s"})"));
  CHECK_FALSE(Check(table, a, R"({"pathPrefix":"/a","service":"m"})"));
  CHECK_FALSE(Check(table, a, R"({"pathPrefix":"/v1/chat/completions","service":"s"})"));
  CHECK(Check(table, a, R"({"pathPrefix":"/v1/chat/completions","service":"m"})"));
  Put(table, a, R"({"pathPrefix":"/a","methods":["GET","POST"],"service":"s"})");
  CHECK(Check(table, a, R"({"pathPrefix":"/a","service":"s"})"));
  CHECK_FALSE(Check(table, b, R"({"pathPrefix":"/a","service":"s"})"));
  CHECK_FALSE(Check(table, b, R"({"pathPrefix":"/a","methods":["POST"],"service":"s"})"));
  CHECK(Check(table, b, R"({"pathPrefix":"/a","methods":["PUT"],"service":"s"})"));
  CHECK_FALSE(Check(table, { "service", "s" }, R"({"kind":"model"})"));
  CHECK_FALSE(CheckDeletion(table, { "service", "s" }));
  CHECK(CheckDeletion(table, { "service", "m" }));
  CHECK(CheckDeletion(table, a));
}

TEST_CASE("Random and mutated specs cause no crash", "[resources]")
{
  const std::vector<std::string> samples = {
    R"({"pathPrefix":"/pickups","methods":["POST"],"service":"s","deadlineMs":5})",
    R"({"kind":"model","backends":[{"name":"a","address":"10.0.0.1:80","pricePerHour":1}]})",
    R"({"maxConcurrent":3,"requestsPerSecond":1.5,"weight":2})",
    R"({"costWeight":0.5,"retryBudgetPercent":20,"maxAttempts":8})"
  };
  const std::vector<std::string> kinds = { "route", "service", "team", "policy" };
  const std::string alphabet = "{}[]\",:.0123456789eE+-truefalsn\\u\n\xff\xc3\x80 ";
  std::mt19937_64 random(7);
  size_t accepted = 0;
  for (int round = 0; round < 40'000; ++round) {
    std::string json = samples[random() % samples.size()];
    for (size_t edits = random() % 4; edits > 0 && !json.empty(); --edits) {
      const size_t at = random() % json.size();
      switch (random() % 4) {
        case 0:
          json.erase(at, 1 + random() % 8);
          break;
        case 1:
          json.insert(at, 1, alphabet[random() % alphabet.size()]);
          break;
        case 2:
          json[at] = static_cast<char>(random());
          break;
        default:
          json.insert(at, json.substr(random() % json.size(), random() % 30));
      }
    }
    const Result<Spec> spec = ParseSpec(kinds[random() % kinds.size()], json);
    accepted += spec.has_value() ? 1 : 0;
    if (!spec) {
      CHECK_FALSE(spec.error().message.empty());
    }
  }
  CHECK(accepted > 100);
  // Deep nesting must not exhaust the stack.
  CHECK_FALSE(ParseSpec("team", std::string(500'000, '[')));
  CHECK_FALSE(ParseSpec("team", std::string(400'000, '[') + std::string(400'000, ']')));
}
