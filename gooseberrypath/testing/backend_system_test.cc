#include "gooseberrypath/backend_system.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/cluster.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

/// A cluster whose daemons know the service "s" with backends on hosts h0, h1 and so on.
Cluster WithService(size_t aDaemons, uint64_t aSeed = 1)
{
  Cluster cluster(aDaemons, aSeed);
  cluster.log.Store(PutRecord{ "service", "s", 0, "w", ServiceJson(3) });
  cluster.Run(4s);
  return cluster;
}

bool Usable(const Node& aNode, const std::string& aBackend = "s/b0")
{
  const BackendRow* row = aNode.GetWorld().backends.Find(aBackend);
  return row != nullptr && IsUsable(aNode.GetWorld(), *row);
}

size_t CountUsable(const Cluster& aCluster)
{
  size_t count = 0;
  for (const Node& node : aCluster.nodes) {
    count += Usable(node) ? 1 : 0;
  }
  return count;
}

HostList List(HostState aState)
{
  return { { { "h0", aState }, { "h1", HostState::Live }, { "h2", HostState::Live } } };
}

} // namespace

TEST_CASE("Backends follow the services", "[backends]")
{
  Cluster cluster = WithService(1);
  Node& node = cluster.nodes[0];
  REQUIRE(node.watched.size() == 1);
  CHECK(node.watched[0].size() == 3);
  CHECK(node.GetWorld().backends.Size() == 3);
  cluster.Post(0, LoadReport{ .address = "10.1.0.1:80", .running = 4, .age = 1s });
  cluster.Post(0, LoadReport{ .address = "10.1.0.1:80", .running = 2, .age = 5s });
  cluster.Run(1s);
  CHECK(node.GetWorld().backends.Find("s/b0")->load->running == 4);

  // Guards against rows that lose what is known of them with each change of the service.
  cluster.log.Store(PutRecord{ "service", "s", 1, "w2", ServiceJson(2) });
  cluster.Run(1s);
  REQUIRE(node.watched.size() == 2);
  CHECK(node.watched[1].size() == 2);
  CHECK(node.GetWorld().backends.Size() == 2);
  CHECK(node.GetWorld().backends.Find("s/b0")->load->running == 4);
  cluster.log.Store(DeleteRecord{ "service", "s", 2, "w3" });
  cluster.Run(1s);
  CHECK(node.GetWorld().backends.IsEmpty());
  CHECK(node.watched.back().empty());
}

TEST_CASE("A refusing backend is passed over for a while", "[backends]")
{
  Cluster cluster = WithService(1);
  cluster.Post(0, ClaimAsked{ { 5 }, "s/b0" });
  cluster.Post(0, AttemptNotSent{ { 5 }, "refused" });
  cluster.Step();
  CHECK_FALSE(Usable(cluster.nodes[0]));
  CHECK(Usable(cluster.nodes[0], "s/b1"));
  cluster.Run(900ms);
  CHECK_FALSE(Usable(cluster.nodes[0]));
  cluster.Run(200ms);
  CHECK(Usable(cluster.nodes[0]));
}

TEST_CASE("A leaving notice reaches all daemons against a stale list", "[backends]")
{
  // Guards against new work for a leaving host. The naive version reads only the list,
  // which still shows the host as live for 10 s.
  const uint64_t seed = GENERATE(range(1, 11));
  Cluster cluster = WithService(8, seed);
  cluster.PostToAll(List(HostState::Live));
  cluster.Run(1s);
  REQUIRE(CountUsable(cluster) == 8);
  SECTION("reclaim notice to one daemon")
  {
    cluster.Post(3, ReclaimNotice{ "h0", 5s });
  }
  SECTION("503 with Connection: close")
  {
    cluster.Post(3, ClaimAsked{ { 5 }, "s/b0" });
    cluster.Post(
      3, AttemptAnswered{ { 5 }, 503, { { "connection", "Keep-Alive, Close" } }, "" });
  }
  // At once to 3 peers, not only with the regular messages.
  cluster.Run(100ms);
  CHECK(CountUsable(cluster) <= 4);
  cluster.Run(2s);
  CHECK(CountUsable(cluster) == 0);
  HostState naive = HostState::Live;
  size_t naiveUses = 0;
  for (int second = 0; second < 10; ++second) {
    cluster.PostToAll(List(naive));
    for (int step = 0; step < 100; ++step) {
      cluster.Step();
      REQUIRE(CountUsable(cluster) == 0);
      naiveUses += naive == HostState::Live ? 8 : 0;
    }
  }
  CHECK(naiveUses == 8000);
  CHECK(Usable(cluster.nodes[0], "s/b1"));
}

TEST_CASE("A plain 503 is no sign of leaving", "[backends]")
{
  Cluster cluster = WithService(1);
  cluster.Post(0, ClaimAsked{ { 5 }, "s/b0" });
  cluster.Post(0, AttemptAnswered{ { 5 }, 503, { { "Connection", "closed" } }, "" });
  cluster.Post(0, AttemptAnswered{ { 5 }, 500, { { "Connection", "close" } }, "" });
  cluster.Run(1s);
  CHECK(Usable(cluster.nodes[0]));
}

TEST_CASE("A host that returns is used again", "[backends]")
{
  // Guards against a host that is lost for good after its first reclaim.
  Cluster cluster = WithService(8);
  cluster.PostToAll(ReclaimNotice{ "h0", 10s });
  cluster.PostToAll(List(HostState::Live));
  cluster.Run(1s);
  REQUIRE(CountUsable(cluster) == 0);
  SECTION("the list showed it as gone and then as live")
  {
    cluster.PostToAll(List(HostState::Gone));
    cluster.Run(1s);
    CHECK(CountUsable(cluster) == 0);
    CHECK(cluster.nodes[0].GetWorld().backends.Find("s/b0")->gone);
    cluster.PostToAll(List(HostState::Live));
    cluster.Run(1s);
    CHECK(CountUsable(cluster) == 8);
    // A second reclaim counts again, also for daemons that have no notice.
    cluster.Post(2, ReclaimNotice{ "h0", 10s });
    cluster.Run(2s);
    CHECK(CountUsable(cluster) == 0);
    cluster.PostToAll(List(HostState::Live));
    cluster.Run(1s);
    CHECK(CountUsable(cluster) == 0);
  }
  SECTION("the notice ended long ago and the list shows it as live")
  {
    cluster.Run(37s);
    cluster.PostToAll(List(HostState::Live));
    cluster.Run(1s);
    CHECK(CountUsable(cluster) == 0);
    cluster.Run(3s);
    CHECK(CountUsable(cluster) == 0);
    cluster.PostToAll(List(HostState::Live));
    cluster.Step();
    CHECK(CountUsable(cluster) == 8);
  }
}

TEST_CASE("The list takes hosts out and a missing host counts as live", "[backends]")
{
  Cluster cluster = WithService(1);
  cluster.Post(0,
               HostList{ { { "h0", HostState::Leaving }, { "h1", HostState::Gone } } });
  cluster.Step();
  CHECK_FALSE(Usable(cluster.nodes[0], "s/b0"));
  CHECK_FALSE(Usable(cluster.nodes[0], "s/b1"));
  CHECK(Usable(cluster.nodes[0], "s/b2"));
  cluster.Post(0, HostList{});
  cluster.Run(60s);
  CHECK_FALSE(Usable(cluster.nodes[0], "s/b1"));
}

TEST_CASE("News of one reclaim stays limited", "[backends]")
{
  // Guards against a storm: all daemons get the same notice and spread it for each other.
  Cluster cluster = WithService(8);
  size_t entries = 0;
  cluster.onGossip = [&](const SendGossip& aSend) {
    entries += aSend.message.hosts.size();
  };
  cluster.PostToAll(ReclaimNotice{ "h0", 10s });
  cluster.Run(60s);
  // At once from 8 daemons to 3 peers each, later at most once from each to each other.
  CHECK(entries <= 80);
  CHECK(entries >= 24);
}
