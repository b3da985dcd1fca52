#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>

#include "gooseberrypath/peer_wire.h"
#include "gooseberrypath/testing/cluster.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

constexpr size_t kBudget = 25'000;        // bytes per second, sent and received
constexpr Duration kOffsetBound = 6s;     // configuration in force everywhere
constexpr size_t kCachedConnections = 64; // PeerRpcOptions::maxOutgoing

size_t SizeOf(capnp::MessageBuilder& aBuilder)
{
  return capnp::computeSerializedSizeInWords(aBuilder) * sizeof(capnp::word);
}

/// Bytes of one gossip call on its connection: call, return and finish messages, and
/// those of the bootstrap if the connection is new. TCP and IP headers are not counted.
size_t WireBytes(const GossipMessage& aMessage, bool aIsNewConnection)
{
  namespace rpc = capnp::rpc;
  capnp::MallocMessageBuilder call;
  auto body = call.initRoot<rpc::Message>().initCall();
  body.initTarget().setImportedCap(0);
  body.setInterfaceId(capnp::typeId<wire::Peer>());
  auto params = body.initParams();
  params.initCapTable(0);
  ToWire(aMessage, params.getContent().initAs<wire::Peer::GossipParams>().initMessage());
  capnp::MallocMessageBuilder answer;
  auto results = answer.initRoot<rpc::Message>().initReturn().initResults();
  results.initCapTable(0);
  results.getContent().initAs<wire::Peer::GossipResults>();
  capnp::MallocMessageBuilder finish;
  finish.initRoot<rpc::Message>().initFinish();
  size_t bytes = SizeOf(call) + SizeOf(answer) + SizeOf(finish);
  if (aIsNewConnection) {
    capnp::MallocMessageBuilder bootstrap;
    bootstrap.initRoot<rpc::Message>().initBootstrap();
    capnp::MallocMessageBuilder peer;
    auto client = peer.initRoot<rpc::Message>().initReturn().initResults();
    client.initCapTable(1)[0].setSenderHosted(0);
    bytes += SizeOf(bootstrap) + SizeOf(peer) + SizeOf(finish);
  }
  return bytes;
}

size_t CountUnreachable(const Cluster& aCluster)
{
  size_t count = 0;
  for (const Node& node : aCluster.nodes) {
    if (!node.isPaused) {
      for (const auto& [daemon, row] : node.GetWorld().members) {
        count += IsReachable(node.GetWorld(), row) ? 0 : 1;
      }
    }
  }
  return count;
}

/// Tells whether each daemon knows of all others that they have applied the offset.
bool IsKnownEverywhere(const Cluster& aCluster, Offset aOffset)
{
  return std::ranges::all_of(aCluster.nodes, [&](const Node& aNode) {
    const auto& members = aNode.GetWorld().members;
    return members.Size() + 1 == aCluster.nodes.size() &&
           std::ranges::all_of(members, [&](const auto& aItem) {
             return aItem.second.digest.appliedConfig >= aOffset;
           });
  });
}

/// Sent and received bytes of each daemon.
struct Traffic
{
  explicit Traffic(Cluster& aCluster)
    : cluster(aCluster)
    , bytes(aCluster.nodes.size())
  {
    cluster.onGossip = [this](const SendGossip& aSend) {
      const bool isNew = bytes.size() > kCachedConnections + 1;
      const size_t size = WireBytes(aSend.message, isNew);
      largest = std::max(largest, size);
      bytes[cluster.indexes.at(aSend.message.fromAddress)] += size;
      bytes[cluster.indexes.at(aSend.address)] += size;
      if (measuresNaive) {
        GossipMessage naive = aSend.message;
        const auto& sender =
          cluster.nodes[cluster.indexes.at(aSend.message.fromAddress)].GetWorld();
        naive.beats.clear();
        naive.members.resize(1);
        for (const auto& [daemon, row] : sender.members) {
          naive.members.push_back(row.digest);
        }
        naiveBytes += 2 * WireBytes(naive, isNew);
      }
    };
  }
  ~Traffic() { cluster.onGossip = {}; }

  Cluster& cluster;
  std::vector<size_t> bytes;
  size_t largest = 0;
  size_t naiveBytes = 0; // if each message carried the whole table
  bool measuresNaive = false;

  size_t Mean() const
  {
    size_t sum = 0;
    for (const size_t one : bytes) {
      sum += one;
    }
    return sum / bytes.size();
  }
  size_t Worst() const { return *std::ranges::max_element(bytes); }
};

struct Figures
{
  size_t mean = 0;   // bytes per second of a daemon in a steady run
  size_t worst = 0;  // of the daemon with most
  size_t naive = 0;  // mean, if each message carried the whole table
  size_t change = 0; // mean in the 6 s after a configuration change
  double offset = 0; // s until the applied offset of all is known to all, worst of 10
  double dead = 0;   // s until a dead daemon is unreachable on all others
  size_t suspicions = 0;
};

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Figures Measure(size_t aDaemons, Duration aSteady)
{
  Figures figures;
  Cluster cluster(aDaemons);
  cluster.step = 50ms;
  cluster.Run(30s);
  REQUIRE(IsKnownEverywhere(cluster, 0));
  {
    Traffic traffic(cluster);
    for (Duration ran{}; ran < aSteady; ran += 1s) {
      traffic.measuresNaive = ran < 5s;
      cluster.Run(1s);
      figures.suspicions += CountUnreachable(cluster);
    }
    figures.mean = traffic.Mean() / (aSteady / 1s);
    figures.worst = traffic.Worst() / (aSteady / 1s);
    figures.naive = traffic.naiveBytes / aDaemons / 5;
  }
  for (int change = 0; change < 10; ++change) {
    cluster.log.StoreText("{}"); // skipped, and applied as any record
    Traffic traffic(cluster);
    const TimePoint start = cluster.now;
    while (!IsKnownEverywhere(cluster, cluster.log.entries.size()) &&
           cluster.now - start < 60s) {
      cluster.Step();
    }
    figures.offset = std::max(figures.offset, Seconds(cluster.now - start));
    cluster.Run(std::max(Duration(6s), cluster.now - start) - (cluster.now - start));
    figures.change =
      std::max(figures.change, traffic.Mean() / size_t((cluster.now - start) / 1s));
    cluster.Run(10s);
  }
  cluster.nodes.back().isPaused = true;
  cluster.nodes.back().isCut = true;
  const std::string dead = "d" + std::to_string(aDaemons - 1);
  const TimePoint start = cluster.now;
  const auto isNamed = [&] {
    return std::ranges::all_of(cluster.nodes, [&](const Node& aNode) {
      const MemberRow* row = aNode.GetWorld().members.Find(dead);
      return aNode.isPaused || (row != nullptr && !IsReachable(aNode.GetWorld(), *row));
    });
  };
  while (!isNamed() && cluster.now - start < 120s) {
    cluster.Step();
  }
  figures.dead = Seconds(cluster.now - start);
  const Duration suspicion = SuspicionTime(cluster.nodes[0].GetWorld());
  CHECK(figures.dead <= Seconds(suspicion + kOffsetBound));
  CHECK(figures.offset <= Seconds(kOffsetBound));
  CHECK(figures.suspicions == 0);
  CHECK(figures.worst <= kBudget);
  CHECK(figures.change <= kBudget);
  return figures;
}

void Print(size_t aDaemons, const Figures& aFigures)
{
  std::printf("%7zu %8zu %8zu %9zu %8zu %8.2f %8.2f %10zu\n", aDaemons, aFigures.mean,
              aFigures.worst, aFigures.naive, aFigures.change, aFigures.offset,
              aFigures.dead, aFigures.suspicions);
}

} // namespace

TEST_CASE("Gossip stays within its budget and bounds", "[membership]")
{
  // Guards against traffic that grows with the square of the number of daemons, late
  // offsets, and suspicion times that do not fit the heartbeats.
  Measure(GENERATE(8, 48), 30s);
}

TEST_CASE("Gossip bytes by number of daemons", "[.measure]")
{
  // One size alone: GOSSIP_DAEMONS=380.
  const char* only = std::getenv("GOSSIP_DAEMONS");
  std::printf(
    "daemons   mean/s  worst/s   naive/s change/s offset s   dead s suspicions\n");
  for (const size_t daemons : { 8, 32, 128, 380 }) {
    if (only != nullptr && std::to_string(daemons) != only) {
      continue;
    }
    Print(daemons, Measure(daemons, 600s));
  }
}
