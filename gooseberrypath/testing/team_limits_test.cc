#include "gooseberrypath/team_limits.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/dispatch_fixture.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

void AddTeam(World& aWorld, TeamSpec aSpec)
{
  aWorld.resources[{ "team", "drivers" }].spec = aSpec;
}

/// Adds daemons that are heard now.
void AddPeers(World& aWorld, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    const std::string name = "peer" + std::to_string(i);
    aWorld.members.Insert(name,
                          { .digest = { .daemon = name, .state = DaemonState::Serving },
                            .heard = aWorld.Now() });
  }
}

int CountAdmitted(World& aWorld, int aRequests)
{
  int admitted = 0;
  for (int i = 0; i < aRequests; ++i) {
    admitted += AdmitTeam(aWorld, "drivers") ? 1 : 0;
  }
  return admitted;
}

} // namespace

TEST_CASE("A team's rate is shared over the daemons", "[limits]")
{
  // Guards against eight daemons that each admit the whole rate.
  DispatchFixture f;
  AddTeam(f.world, { .requestsPerSecond = 80 });
  AddPeers(f.world, 7);
  CHECK(CountServingDaemons(f.world) == 8);
  CHECK(CountAdmitted(f.world, 100) == 10);
  f.Advance(500ms);
  CHECK(CountAdmitted(f.world, 100) == 5);
}

TEST_CASE("The share of a daemon grows when others are not heard", "[limits]")
{
  DispatchFixture f;
  AddTeam(f.world, { .requestsPerSecond = 10 });
  AddPeers(f.world, 4);
  CHECK(CountAdmitted(f.world, 100) == 2);
  f.Advance(1h);
  CHECK(CountAdmitted(f.world, 100) == 10);
}

TEST_CASE("A rate below one request a second still admits requests", "[limits]")
{
  // Guards against a share below one request that is never reached.
  DispatchFixture f;
  AddTeam(f.world, { .requestsPerSecond = 0.1 });
  CHECK(CountAdmitted(f.world, 3) == 1);
  f.Advance(10s);
  CHECK(CountAdmitted(f.world, 3) == 1);
}

TEST_CASE("A team's concurrent requests are limited and others' are not", "[limits]")
{
  // Guards against a greedy team that takes every place.
  DispatchFixture f;
  AddTeam(f.world, { .maxConcurrent = 2 });
  for (int i = 0; i < 3; ++i) {
    f.Request("GET", "/status", { { "X-Team", "drivers" } });
  }
  f.Request("GET", "/status");
  const auto replies = f.Take<ReplyWhole>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].status == 429);
  CHECK(FindHeader(replies[0].headers, "Retry-After") == "1");
  CHECK(f.world.requests.Size() == 3);
}
