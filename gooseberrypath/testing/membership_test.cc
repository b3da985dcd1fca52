#include "gooseberrypath/membership_system.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/cluster.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

MemberDigest Digest(uint64_t aIncarnation, uint64_t aHeartbeat, Offset aApplied)
{
  return { .daemon = "d9",
           .incarnation = aIncarnation,
           .heartbeat = aHeartbeat,
           .peerAddress = "10.0.0.9:7000",
           .zone = "z",
           .appliedConfig = aApplied,
           .state = DaemonState::Serving };
}

GossipReceived From9(std::vector<MemberDigest> aMembers)
{
  return { { .fromAddress = "10.0.0.9:7000",
             .wantsReply = false,
             .members = std::move(aMembers),
             .hosts = {} } };
}

} // namespace

TEST_CASE("Daemons learn of each other from two seeds", "[membership]")
{
  const uint64_t seed = GENERATE(1, 2, 3);
  Cluster cluster(8, seed);
  cluster.Run(4s);
  for (const Node& node : cluster.nodes) {
    CHECK(node.GetWorld().members.Size() == 7);
  }
  // Guards against false suspicion in a cluster without faults.
  for (int i = 0; i < 3000; ++i) {
    cluster.Step();
    for (const Node& node : cluster.nodes) {
      for (const auto& [daemon, row] : node.GetWorld().members) {
        REQUIRE(IsReachable(node.GetWorld(), row));
      }
    }
  }
}

TEST_CASE("An old or malformed row never replaces a newer one", "[membership]")
{
  // Guards against rows that go back when messages overtake each other or when a daemon
  // was restarted and its old rows still travel.
  Cluster cluster(1);
  const auto post = [&](const MemberDigest& aDigest) {
    cluster.Post(0, From9({ aDigest }));
    cluster.Step();
    return cluster.nodes[0].GetWorld().members.Find("d9");
  };
  CHECK(post(Digest(5, 10, 3))->digest.appliedConfig == 3);
  CHECK(post(Digest(5, 9, 2))->digest.appliedConfig == 3);
  CHECK(post(Digest(4, 99, 1))->digest.appliedConfig == 3);
  CHECK(post(Digest(6, 1, 0))->digest.appliedConfig == 0);
  MemberDigest wrong = Digest(7, 1, 5);
  wrong.peerAddress = "elsewhere";
  CHECK(post(wrong)->digest.incarnation == 6);
  wrong = Digest(7, 1, 5);
  wrong.daemon = "d0";
  post(wrong);
  CHECK(cluster.nodes[0].GetWorld().members.Size() == 1);
}

TEST_CASE("A silent daemon becomes unreachable and is removed for good", "[membership]")
{
  // Guards against daemons that tell each other of a dead one for ever.
  Cluster cluster(5);
  cluster.Run(4s);
  cluster.nodes[4].isPaused = true;
  cluster.nodes[4].isCut = true;
  cluster.Run(8s);
  for (size_t i = 0; i < 4; ++i) {
    const World& world = cluster.nodes[i].GetWorld();
    REQUIRE(world.members.Find("d4") != nullptr);
    CHECK_FALSE(IsReachable(world, *world.members.Find("d4")));
  }
  cluster.Run(32s);
  for (int i = 0; i < 2000; ++i) {
    cluster.Step();
    for (size_t n = 0; n < 4; ++n) {
      REQUIRE(cluster.nodes[n].GetWorld().members.Find("d4") == nullptr);
    }
  }
  cluster.nodes[4].isPaused = false;
  cluster.nodes[4].isCut = false;
  cluster.Run(4s);
  for (const Node& node : cluster.nodes) {
    CHECK(node.GetWorld().members.Size() == 4);
  }
}
