#include "gooseberrypath/request_intake.h"

#include <array>
#include <random>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/dispatch_fixture.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;

TEST_CASE("The longest prefix of whole segments wins", "[intake]")
{
  // Guards against "/pickupsx" on the route "/pickups" and against the order of routes.
  DispatchFixture f;
  f.AddRoute("special", { .pathPrefix = "/pickups/special", .service = "assistant" });
  f.AddRoute("slash", { .pathPrefix = "/shop/", .service = "booking" });
  const auto serviceOf = [&](std::string_view aTarget) -> std::string {
    const auto route = FindRoute(f.world.resources, "GET", aTarget);
    return route ? (*route)->service : "";
  };
  CHECK(serviceOf("/pickups/special/1?x=/status") == "assistant");
  CHECK(serviceOf("/pickups/specials") == "booking");
  CHECK(serviceOf("/pickups?x=1") == "booking");
  CHECK(serviceOf("/pickupsx").empty());
  CHECK(serviceOf("/shop/a") == "booking");
  CHECK(serviceOf("/shop").empty());
}

TEST_CASE("A valid traceparent is continued and any other starts a trace", "[intake]")
{
  DispatchFixture f;
  const std::string trace(32, 'a');
  const std::string span(16, 'b');
  const auto rowOf = [&](const std::string& aHeader) {
    return TakeIn(f.world, { .method = "GET",
                             .target = "/status",
                             .headers = { { "traceparent", aHeader } } })
      .value();
  };
  const RequestRow known = rowOf("00-" + trace + "-" + span + "-01");
  CHECK(known.trace == trace);
  CHECK(known.parent == span);
  for (const char* wrong : { "", "00-", "01", "00-zz" }) {
    const RequestRow fresh = rowOf(wrong);
    CHECK(fresh.trace.size() == 32);
    CHECK(fresh.parent.empty());
  }
}

namespace {

/// Changes some bytes of the text, or cuts it.
std::string Mutate(std::string aText, std::mt19937_64& aRandom)
{
  for (uint64_t i = aRandom() % 4; i > 0 && !aText.empty(); --i) {
    aText[aRandom() % aText.size()] = static_cast<char>(aRandom() % 256);
  }
  if (aRandom() % 8 == 0) {
    aText.resize(aRandom() % (aText.size() + 1));
  }
  return aText;
}

} // namespace

TEST_CASE("Random requests get an answer or a typed error", "[intake]")
{
  // Guards against a crash or a hang on any bytes that an HTTP parser lets through.
  constexpr int kInputs = 20000;
  constexpr std::array kTargets = { "/v1/chat/completions", "/pickups/1", "/status?a=b",
                                    "/v1/outcomes/booking/k" };
  constexpr std::array kBodies = {
    R"({"messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":3})",
    R"({"messages":[{"role":"user","content":[{"type":"text"}]}],"n":1})", "{}", ""
  };
  DispatchFixture f(7);
  std::mt19937_64 random(7);
  int accepted = 0;
  for (int i = 0; i < kInputs; ++i) {
    const RequestId id =
      f.Request(random() % 2 == 0 ? "POST" : "GET",
                Mutate(kTargets.at(random() % kTargets.size()), random),
                { { "Idempotency-Key", Mutate("key-" + std::to_string(i), random) },
                  { "traceparent", Mutate(std::string(55, '0'), random) },
                  { "X-Team", Mutate("", random) } },
                Mutate(kBodies.at(random() % kBodies.size()), random));
    const bool isRunning = f.world.requests.Find(id) != nullptr;
    const size_t replies = f.Take<ReplyWhole>().size();
    REQUIRE((isRunning ? 0U : 1U) == replies);
    if (isRunning) {
      ++accepted;
      f.world.outbox.clear();
      f.world.requests.Clear();
      f.world.attempts.Clear();
    }
  }
  CHECK(accepted > 0);
  CHECK(accepted < kInputs);
  WARN("requests: " << kInputs << " random inputs, " << accepted << " accepted");
}
