#include "gooseberrypath/config_snapshots.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/cluster.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

PutRecord Team(const std::string& aName, Offset aBase, const std::string& aWrite)
{
  return { .kind = "team",
           .name = aName,
           .base = aBase,
           .write = aWrite,
           .spec = R"({"maxConcurrent":)" + std::to_string(aWrite.size()) + "}" };
}

std::map<ResourceId, Offset> VersionsOf(const World& aWorld)
{
  std::map<ResourceId, Offset> versions;
  for (const auto& [id, row] : aWorld.resources) {
    versions[id] = row.version;
  }
  return versions;
}

uint64_t Count(const Cluster& aCluster, Counter aCounter)
{
  uint64_t sum = 0;
  for (const Node& node : aCluster.nodes) {
    sum += node.GetWorld().counters.Get(aCounter);
  }
  return sum;
}

size_t CountSnapshots(const LogFake& aLog)
{
  return size_t(std::ranges::count_if(aLog.entries, [](const LogEntry& aEntry) {
    return std::holds_alternative<SnapshotRecord>(*DecodeRecord(aEntry.data));
  }));
}

} // namespace

TEST_CASE("A late daemon reaches the state of the others", "[config]")
{
  // Guards against a lost or older configuration when the log has removed the records of
  // live resources, and against a state that depends on when a daemon started.
  const uint64_t seed = GENERATE(1, 2, 3);
  std::mt19937_64 random(seed);
  Cluster cluster(4, seed);
  cluster.Run(1s);
  const std::vector<std::string> names = { "a", "b", "c" };
  cluster.log.Store(Team("kept", 0, "kept"));
  for (int i = 0; i < 400; ++i) {
    const std::string& name = names[random() % names.size()];
    const Offset current =
      VersionOf(cluster.nodes[0].GetWorld().resources, { "team", name });
    const std::string write = "w" + std::to_string(random() % 8 == 0 ? i / 2 : i);
    if (random() % 5 == 0) {
      cluster.log.Store(DeleteRecord{ "team", name, current, write });
    } else {
      cluster.log.Store(Team(name, random() % 6 == 0 ? 1 : current, write));
    }
    cluster.Run(100ms);
    const Offset head = cluster.log.entries.size() + 1;
    cluster.log.start = head > 120 ? head - 120 : 1;
  }
  CHECK(CountSnapshots(cluster.log) >= 2);
  CHECK(CountSnapshots(cluster.log) <= 24); // each daemon would append about 6
  CHECK(Count(cluster, Counter::SnapshotsDiffering) == 0);
  // The naive version starts from whatever is at hand, the records that are left.
  ResourceTable naive;
  ConfigLog naiveLog;
  for (const LogEntry& entry : cluster.log.Read(1).entries) {
    naiveLog.Apply(naive, entry);
  }
  CHECK_FALSE(naive.contains({ "team", "kept" }));

  cluster.Restart(3);
  cluster.Run(1s);
  const World& late = cluster.nodes[3].GetWorld();
  CHECK(late.state == DaemonState::Serving);
  CHECK(late.counters.Get(Counter::SnapshotsInstalled) == 1);
  CHECK(VersionsOf(late) == VersionsOf(cluster.nodes[0].GetWorld()));
  CHECK(late.appliedConfig == cluster.nodes[0].GetWorld().appliedConfig);
  // A repeated append of a removed record is ignored by all.
  cluster.log.Store(Team("kept", 0, "kept"));
  cluster.log.Store(Team("new", 0, "w399"));
  cluster.Run(1s);
  CHECK(VersionsOf(late) == VersionsOf(cluster.nodes[0].GetWorld()));
}

TEST_CASE("A daemon waits for a covering snapshot and never goes back", "[config]")
{
  // Guards against a daemon that becomes ready without the removed records, and against
  // a snapshot that is older than what was applied.
  Cluster cluster(2);
  cluster.Run(1s);
  cluster.log.Store(Team("a", 0, "w1"));
  cluster.log.Store(Team("b", 0, "w2"));
  cluster.Run(1s);
  const std::string old = EncodeSnapshot(cluster.nodes[0].GetWorld()); // up to 2
  cluster.log.Store(Team("c", 0, "w3"));
  cluster.Run(1s);
  const std::string snapshot = EncodeSnapshot(cluster.nodes[0].GetWorld()); // up to 3
  cluster.nodes[0].isPaused = true; // appends no snapshot
  cluster.log.StoreText(old);
  cluster.log.StoreText("{}");
  cluster.log.start = 4;
  cluster.Restart(1);
  cluster.Run(5s);
  const World& late = cluster.nodes[1].GetWorld();
  CHECK(late.state == DaemonState::Starting);
  CHECK(late.resources.empty());
  std::string broken = snapshot;
  broken.replace(broken.find("maxConcurrent"), 13, "maxConcurrenT");
  cluster.log.StoreText(broken);
  cluster.Run(1s);
  CHECK(late.state == DaemonState::Starting);
  cluster.log.StoreText(snapshot);
  cluster.log.StoreText(snapshot); // a duplicate
  cluster.Run(1s);
  CHECK(late.state == DaemonState::Serving);
  CHECK(VersionsOf(late) == VersionsOf(cluster.nodes[0].GetWorld()));
  CHECK(late.counters.Get(Counter::SnapshotsInstalled) == 1);

  // A daemon paused past the retention keeps what it has until a newer state is there.
  cluster.nodes[0].isPaused = false;
  cluster.nodes[1].isPaused = true;
  cluster.log.start = cluster.log.entries.size() + 1;
  cluster.log.StoreText(snapshot);
  cluster.Run(1s);
  CHECK(VersionsOf(cluster.nodes[0].GetWorld()) == VersionsOf(late));
}

TEST_CASE("A differing snapshot is counted and the own state is kept", "[config]")
{
  // Guards against a faulty daemon that spreads its state through a snapshot.
  Cluster cluster(1);
  cluster.Run(1s);
  cluster.log.Store(Team("a", 0, "w1"));
  cluster.Run(1s);
  ResourceTable other;
  ConfigLog otherLog;
  otherLog.Apply(other, { 1, 0, EncodeRecord(Team("b", 0, "w1")) });
  cluster.log.Store(otherLog.MakeSnapshot(other, 1));
  cluster.Run(1s);
  const World& world = cluster.nodes[0].GetWorld();
  CHECK(world.counters.Get(Counter::SnapshotsDiffering) == 1);
  CHECK(VersionsOf(world) == std::map<ResourceId, Offset>{ { { "team", "a" }, 1 } });
}

TEST_CASE("A snapshot of 100 KB passes through the log", "[config]")
{
  // Guards against size limits and escapes that break a large record.
  Cluster cluster(2);
  cluster.Run(1s);
  for (size_t i = 0; i < 20; ++i) {
    cluster.log.Store(PutRecord{ "service", "s" + std::to_string(i), 0,
                                 "w" + std::to_string(i), ServiceJson(80) });
  }
  cluster.Run(1s);
  const std::string snapshot = EncodeSnapshot(cluster.nodes[0].GetWorld());
  CHECK(snapshot.size() > 100'000);
  cluster.log.StoreText(snapshot);
  cluster.log.start = cluster.log.entries.size();
  cluster.Restart(1);
  cluster.Run(1s);
  CHECK(VersionsOf(cluster.nodes[1].GetWorld()).size() == 20);
}

TEST_CASE("Without the log a new daemon takes the highest peer's state", "[config]")
{
  // Guards against a daemon that serves an older version than one that it has seen
  // advertised, and against one that serves without any configuration.
  Cluster cluster(4);
  cluster.Run(2s);
  cluster.log.Store(Team("a", 0, "w1"));
  cluster.Run(2s);
  cluster.nodes[1].isPaused = true; // stays at version 1
  cluster.log.Store(Team("a", 1, "w22"));
  cluster.Run(2s);
  cluster.log.isDown = true;
  cluster.nodes[1].isPaused = false;
  cluster.Restart(3);
  const World& late = cluster.nodes[3].GetWorld();
  Offset lowest = 0;
  for (int i = 0; i < 500; ++i) {
    cluster.Step();
    REQUIRE(late.appliedConfig >= lowest);
    REQUIRE((late.state == DaemonState::Starting || late.appliedConfig == 2));
    lowest = late.appliedConfig;
  }
  CHECK(late.state == DaemonState::Serving);
  CHECK(late.usesPeerConfig);
  CHECK(VersionsOf(late) == VersionsOf(cluster.nodes[0].GetWorld()));
  // The naive version takes the first answer at hand, that of daemon 1.
  CHECK(VersionsOf(cluster.nodes[1].GetWorld()) != VersionsOf(late));

  // The log answers again: its records up to offset 2 do not set the state back.
  cluster.log.isDown = false;
  cluster.log.Store(Team("a", 2, "w333"));
  for (int i = 0; i < 200; ++i) {
    cluster.Step();
    REQUIRE(late.appliedConfig >= 2);
  }
  CHECK_FALSE(late.usesPeerConfig);
  CHECK(VersionsOf(late) == VersionsOf(cluster.nodes[0].GetWorld()));

  Cluster empty(2);
  empty.log.isDown = true;
  empty.Run(10s);
  CHECK(empty.nodes[0].GetWorld().state == DaemonState::Starting);
}

TEST_CASE("Seeds that were never heard are named in status", "[config]")
{
  // Guards against a wrong address in the settings that nobody notices.
  CoreOptions options;
  Cluster cluster(2, 1, options);
  const std::string address = Cluster::Address(1);
  cluster.nodes[1].isCut = true;
  cluster.Run(2s);
  cluster.Post(0, OperatorStatus{ { 1 } });
  cluster.Step();
  CHECK(cluster.LastReply(0)["unreachableAddresses"] ==
        nlohmann::json::array({ address }));
  cluster.nodes[1].isCut = false;
  cluster.Run(4s);
  cluster.Post(0, OperatorStatus{ { 2 } });
  cluster.Step();
  CHECK(cluster.LastReply(0)["unreachableAddresses"].empty());
}
