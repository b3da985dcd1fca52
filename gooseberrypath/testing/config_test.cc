#include "gooseberrypath/config_log.h"

#include <random>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/cluster.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

/// Acceptance by the words of design.md 6.1: the whole log is read again for each record,
/// and write ids are searched in all earlier records.
struct SlowLog
{
  std::vector<LogEntry> entries;
  std::vector<std::string> writes; // of the entries; empty if malformed

  struct State
  {
    std::map<ResourceId, Offset> versions;
    ConfigResult::How last = ConfigResult::How::Skipped;
  };

  State Replay() const
  {
    State state;
    ResourceTable table;
    for (size_t i = 0; i < entries.size(); ++i) {
      state.last = ApplyOne(table, i);
    }
    for (const auto& [id, row] : table) {
      state.versions[id] = row.version;
    }
    return state;
  }

  ConfigResult::How ApplyOne(ResourceTable& aTable, size_t aIndex) const
  {
    using How = ConfigResult::How;
    const std::string& write = writes[aIndex];
    if (write.empty()) {
      return How::Skipped;
    }
    for (size_t i = 0; i < aIndex; ++i) {
      if (writes[i] == write) {
        return How::Repeated;
      }
    }
    const Record record = *DecodeRecord(entries[aIndex].data);
    if (const auto* put = std::get_if<PutRecord>(&record)) {
      const ResourceId id{ put->kind, put->name };
      const Result<Spec> spec = ParseSpec(put->kind, put->spec);
      if (!spec || !CheckName(put->name)) {
        return How::Skipped;
      }
      if ((aTable.contains(id) ? aTable[id].version : 0) != put->base) {
        return How::Conflict;
      }
      if (!CheckReferences(aTable, id, *spec)) {
        return How::Skipped;
      }
      aTable[id] = ResourceRow{ entries[aIndex].offset, 0, put->spec, *spec };
      return How::Accepted;
    }
    const auto& del = std::get<DeleteRecord>(record);
    const ResourceId id{ del.kind, del.name };
    if ((aTable.contains(id) ? aTable[id].version : 0) != del.base) {
      return How::Conflict;
    }
    if (del.base == 0 || !CheckDeletion(aTable, id)) {
      return How::Skipped;
    }
    aTable.erase(id);
    return How::Accepted;
  }
};

OperatorWrite TeamWrite(uint64_t aWrite, std::optional<Offset> aBase, int aLimit = 1)
{
  return { .write = { aWrite },
           .kind = "team",
           .name = "t",
           .base = aBase,
           .spec = R"({"maxConcurrent":)" + std::to_string(aLimit) + "}" };
}

std::string KindOfLast(const Cluster& aCluster, size_t aNode)
{
  return aCluster.LastReply(aNode)["error"]["kind"];
}

} // namespace

TEST_CASE("Acceptance equals a replay of the whole log", "[config]")
{
  // Guards against state that depends on more than the records, for example a repeated
  // record that creates a deleted resource again.
  const uint64_t seed = GENERATE(1, 2, 3);
  std::mt19937_64 random(seed);
  SlowLog slow;
  ConfigLog log;
  ResourceTable table;
  std::map<ConfigResult::How, int> seen;
  const std::vector<std::string> names = { "a", "b" };
  for (Offset offset = 1; offset <= 250; ++offset) {
    const std::string kind = random() % 2 == 0 ? "service" : "route";
    const std::string& name = names[random() % names.size()];
    const ResourceId id{ kind, name };
    const Offset base = random() % 5 == 0 ? random() % offset : VersionOf(table, id);
    const std::string write = "w" + std::to_string(random() % 300);
    std::string written = write;
    const std::string spec =
      kind == "service" ? "{}" : R"({"pathPrefix":"/)" + name + R"(","service":"a"})";
    std::string data = EncodeRecord(PutRecord{ kind, name, base, write, spec });
    switch (random() % 8) {
      case 0:
      case 1:
      case 2:
        data = EncodeRecord(DeleteRecord{ kind, name, base, write });
        break;
      case 3:
        data = random() % 2 == 0 ? R"({"type":"later"})" : "{\"type\":";
        written.clear();
        break;
      case 4:
        if (const size_t earlier = random() % offset; earlier < slow.entries.size()) {
          data = slow.entries[earlier].data;
          written = slow.writes[earlier];
        }
        break;
      default:
        break;
    }
    slow.entries.push_back({ offset, 0, data });
    slow.writes.push_back(written);
    const ConfigResult result = log.Apply(table, slow.entries.back());
    const SlowLog::State expected = slow.Replay();
    REQUIRE(result.how == expected.last);
    std::map<ResourceId, Offset> versions;
    for (const auto& [rowId, row] : table) {
      versions[rowId] = row.version;
    }
    REQUIRE(versions == expected.versions);
    ++seen[result.how];
  }
  CHECK(seen.size() == 4);
}

TEST_CASE("Of two writes of one resource on one base, one is accepted", "[config]")
{
  // Guards against a lost update: with last write wins, both operators are told that
  // their write is accepted, and the first one is overwritten.
  const uint64_t seed = GENERATE(1, 2, 3);
  Cluster cluster(3, seed);
  cluster.Run(1s);
  cluster.Post(0, TeamWrite(1, std::nullopt, 1));
  cluster.Post(1, TeamWrite(2, std::nullopt, 2));
  cluster.Run(1s);
  REQUIRE(cluster.nodes[0].replies.size() == 1);
  REQUIRE(cluster.nodes[1].replies.size() == 1);
  const bool isFirst = cluster.nodes[0].replies[0].status == 200;
  const size_t winner = isFirst ? 0 : 1;
  CHECK(cluster.nodes[winner].replies[0].status == 200);
  CHECK(cluster.nodes[1 - winner].replies[0].status == 409);
  const Offset version = cluster.LastReply(winner)["version"];
  CHECK(cluster.LastReply(1 - winner)["error"]["version"] == version);
  for (const Node& node : cluster.nodes) {
    const ResourceRow& row = node.GetWorld().resources.at({ "team", "t" });
    CHECK(row.version == version);
    CHECK(std::get<TeamSpec>(row.spec).maxConcurrent == winner + 1);
  }

  // The naive version, last write wins, takes both records of the same log.
  REQUIRE(cluster.log.entries.size() == 2);
  ResourceTable naive;
  for (const LogEntry& entry : cluster.log.entries) {
    const auto record = std::get<PutRecord>(*DecodeRecord(entry.data));
    naive[{ record.kind, record.name }].json = record.spec;
  }
  CHECK(naive[{ "team", "t" }].json !=
        cluster.nodes[0].GetWorld().resources.at({ "team", "t" }).json);
}

TEST_CASE("A lost append answer neither doubles a write nor hides its fate", "[config]")
{
  // Guards against a repetition that conflicts with the writer's own first record, and
  // against a wait that needs the answer of the append.
  Cluster cluster(2);
  cluster.Run(1s);
  SECTION("the record is read back at once")
  {
    cluster.log.lostAnswers = 1;
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.Run(2s);
    CHECK(cluster.log.entries.size() == 1);
  }
  SECTION("the record is read back after the append was repeated")
  {
    // Without write ids, the second record would be a conflict.
    cluster.log.lostAnswers = 1;
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.Step();
    cluster.log.isReadDown = true;
    cluster.Run(500ms);
    cluster.log.isReadDown = false;
    cluster.Run(2s);
    CHECK(cluster.log.entries.size() == 2);
  }
  SECTION("the log refuses two appends")
  {
    cluster.log.refusals = 2;
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.Run(2s);
    CHECK(cluster.log.appends == 3);
  }
  REQUIRE(cluster.nodes[0].replies.size() == 1);
  CHECK(cluster.nodes[0].replies[0].status == 200);
  CHECK(cluster.LastReply(0)["version"] == 1);
  for (const Node& node : cluster.nodes) {
    CHECK(node.GetWorld().resources.at({ "team", "t" }).version == 1);
    CHECK(node.GetWorld().appliedConfig == cluster.log.entries.size());
    CHECK(node.GetWorld().counters.Get(Counter::RecordsApplied) == 1);
  }
}

TEST_CASE("A write without a confirmed record gets a true answer in time", "[config]")
{
  Cluster cluster(1);
  cluster.Run(1s);
  SECTION("the log fails while the write is pending")
  {
    // Guards against "refused" for a write that may be in force later.
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.nodes[0].core->Handle(LogBatch{ "config", 1, 1, {} });
    cluster.log.isDown = true;
    cluster.Run(6s);
    REQUIRE(cluster.nodes[0].replies.size() == 1);
    CHECK(cluster.nodes[0].replies[0].status == 504);
    CHECK(KindOfLast(cluster, 0) == "write_unknown");
    const std::string write = cluster.LastReply(0)["error"]["write"];
    CHECK(write.starts_with("d0-1000-"));
    CHECK(cluster.log.appends >= 5);
    const size_t appends = cluster.log.appends;
    cluster.Run(5s);
    CHECK(cluster.log.appends == appends);
  }
  SECTION("the log refuses every append")
  {
    cluster.log.refusals = 1000;
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.Run(6s);
    REQUIRE(cluster.nodes[0].replies.size() == 1);
    CHECK(KindOfLast(cluster, 0) == "log_unavailable");
  }
  SECTION("the log is known to be down")
  {
    cluster.log.isDown = true;
    cluster.Run(2s);
    cluster.Post(0, TeamWrite(1, std::nullopt));
    cluster.Step();
    REQUIRE(cluster.nodes[0].replies.size() == 1);
    CHECK(KindOfLast(cluster, 0) == "log_unavailable");
    CHECK(cluster.log.appends == 0);
  }
}

TEST_CASE("Writes are checked before they are appended", "[config]")
{
  Cluster cluster(1);
  cluster.Post(0, TeamWrite(1, std::nullopt));
  cluster.nodes[0].core->Handle(std::exchange(cluster.nodes[0].queue, {}).front());
  cluster.Tick(cluster.nodes[0]);
  CHECK(KindOfLast(cluster, 0) == "not_ready");
  cluster.Run(1s);
  OperatorWrite write = TeamWrite(2, std::nullopt);
  std::string expected = "resource_invalid";
  SECTION("dry run")
  {
    write.isDryRun = true;
    expected = "";
  }
  SECTION("bad spec")
  {
    write.spec = R"({"weight":-1})";
  }
  SECTION("bad name")
  {
    write.name = "T";
  }
  SECTION("dangling reference")
  {
    write.kind = "route";
    write.spec = R"({"pathPrefix":"/","service":"none"})";
  }
  SECTION("deletion of nothing")
  {
    write.isDelete = true;
    expected = "resource_not_found";
  }
  SECTION("old base")
  {
    cluster.log.Store(PutRecord{ "team", "t", 0, "w", "{}" });
    cluster.Run(1s);
    write.base = 0;
    expected = "version_conflict";
  }
  cluster.Post(0, write);
  cluster.Run(1s);
  CHECK(cluster.log.appends == 0);
  if (expected.empty()) {
    CHECK(cluster.nodes[0].replies.back().status == 200);
  } else {
    CHECK(KindOfLast(cluster, 0) == expected);
  }
}

TEST_CASE("Unknown and malformed records are skipped alike on all daemons", "[config]")
{
  // Guards against a daemon that stops at a record or applies a part of it.
  Cluster cluster(3);
  cluster.log.StoreText("not JSON");
  cluster.log.StoreText(R"({"type":"from a newer version"})");
  cluster.log.StoreText(R"({"type":"put","kind":"team","name":7})");
  cluster.log.Store(PutRecord{ "team", "t", 0, "w1", R"({"weight":"x"})" });
  cluster.log.Store(PutRecord{ "team", "t", 0, "w2", R"({"weight":2})" });
  cluster.Run(1s);
  for (const Node& node : cluster.nodes) {
    CHECK(node.GetWorld().appliedConfig == 5);
    CHECK(node.GetWorld().resources.at({ "team", "t" }).version == 5);
    CHECK(node.GetWorld().counters.Get(Counter::RecordsSkipped) == 4);
    CHECK(node.GetWorld().state == DaemonState::Serving);
  }
}

TEST_CASE("Late and repeated batches never move the configuration back", "[config]")
{
  // Guards against a version that reverts when an answer of the log arrives late.
  Cluster cluster(1);
  for (Offset i = 1; i <= 20; ++i) {
    cluster.log.Store(
      PutRecord{ "team", "t", i - 1, "w" + std::to_string(i), R"({"weight":1})" });
  }
  const LogBatch all = cluster.log.Read(1);
  std::mt19937_64 random(5);
  Offset applied = 0;
  Offset naiveWorst = 0; // how far a naive reader, which takes the last batch, goes back
  Offset naive = 0;
  for (int i = 0; i < 300; ++i) {
    const size_t from = random() % 20;
    const size_t to = from + random() % (21 - from);
    LogBatch batch{ "config", 1, to + 1, {} };
    batch.entries.assign(all.entries.begin() + long(from),
                         all.entries.begin() + long(to));
    if (to > from) {
      naiveWorst = std::max(naiveWorst, naive > to ? naive - to : 0);
      naive = to;
    }
    cluster.nodes[0].core->Handle(batch);
    cluster.now += 1ms;
    cluster.Tick(cluster.nodes[0]);
    const World& world = cluster.nodes[0].GetWorld();
    REQUIRE(world.appliedConfig >= applied);
    applied = world.appliedConfig;
    if (applied > 0) {
      REQUIRE(world.resources.at({ "team", "t" }).version == applied);
    }
  }
  CHECK(applied == 20);
  CHECK(naiveWorst > 0);
}

TEST_CASE("A paused daemon is missing until it wakes and catches up", "[config]")
{
  // Guards against a write that is shown as in force everywhere while a daemon serves an
  // older version, and against a woken daemon that takes its peers for dead.
  Cluster cluster(3);
  cluster.Run(2s);
  cluster.nodes[2].isPaused = true;
  cluster.Run(4s);
  cluster.Post(0, TeamWrite(1, std::nullopt));
  cluster.Run(1s);
  CHECK(cluster.LastReply(0)["inForce"]["daemons"] == 3);
  cluster.Run(2s);
  cluster.Post(0, OperatorRead{ { 2 }, "team", "t", 0, {} });
  cluster.Post(0, OperatorStatus{ { 3 } });
  cluster.Run(1s);
  const auto read = nlohmann::json::parse(cluster.nodes[0].replies[1].body);
  CHECK(read["resources"][0]["status"]["missing"] == std::vector<std::string>{ "d2" });
  CHECK(read["resources"][0]["status"]["inForceOn"] == 2);
  CHECK(read["resources"][0]["status"]["since"] == "1970-01-01T00:00:00.000Z");
  CHECK(read["resources"][0]["spec"]["maxConcurrent"] == 1);
  std::map<std::string, bool> reachable;
  const nlohmann::json status = cluster.LastReply(0);
  for (const auto& daemon : status["daemons"]) {
    reachable[daemon["daemon"]] = daemon["reachable"];
  }
  CHECK(reachable ==
        std::map<std::string, bool>{ { "d0", true }, { "d1", true }, { "d2", false } });

  cluster.nodes[2].isPaused = false;
  cluster.Step();
  for (const auto& [daemon, row] : cluster.nodes[2].GetWorld().members) {
    CHECK(IsReachable(cluster.nodes[2].GetWorld(), row));
  }
  cluster.Run(4s);
  cluster.Post(0, OperatorRead{ { 4 }, "team", "t", 0, {} });
  cluster.Run(1s);
  CHECK(cluster.LastReply(0)["resources"][0]["status"]["inForceOn"] == 3);
}

TEST_CASE("A daemon that was never heard is missing from what is in force", "[config]")
{
  // Guards against "in force everywhere" while a daemon hangs since its start.
  CoreOptions options;
  Cluster cluster(2, 1, options);
  cluster.nodes[1].isCut = true;
  cluster.Run(2s);
  cluster.Post(0, TeamWrite(1, std::nullopt));
  cluster.Run(1s);
  const auto written = cluster.LastReply(0)["inForce"];
  CHECK(written["applied"] == 1);
  CHECK(written["daemons"] == 2);
  CHECK(written["missing"] == nlohmann::json::array({ Cluster::Address(1) }));
}

TEST_CASE("A waiting read is answered by a change or by the end of its wait", "[config]")
{
  Cluster cluster(1);
  cluster.Run(1s);
  cluster.Post(0, OperatorRead{ { 1 }, "team", "", 0, 2s });
  cluster.Post(0, OperatorRead{ { 2 }, "team", "", 1, 2s });
  cluster.Run(500ms);
  CHECK(cluster.nodes[0].replies.empty());
  cluster.log.Store(PutRecord{ "team", "t", 0, "w", "{}" });
  cluster.Run(100ms);
  REQUIRE(cluster.nodes[0].replies.size() == 1);
  CHECK(cluster.nodes[0].replies[0].write == WriteId{ 1 });
  CHECK(cluster.LastReply(0)["applied"] == 1);
  cluster.Run(2s);
  REQUIRE(cluster.nodes[0].replies.size() == 2);
  CHECK(cluster.LastReply(0)["applied"] == 1);
}

TEST_CASE("A planned stop refuses, finishes and then exits, in this order", "[config]")
{
  // Guards against an exit that breaks running requests and against a second exit.
  Cluster cluster(2);
  cluster.Run(1s);
  Node& node = cluster.nodes[0];
  cluster.Post(0, CallerRequest{ { 9 }, "GET", "/", {}, "" });
  cluster.Post(0, OperatorDrain{ { 1 } });
  cluster.Run(1s);
  CHECK(node.replies.at(0).status == 202);
  CHECK(node.GetWorld().state == DaemonState::Draining);
  CHECK_FALSE(node.GetWorld().refusesRequests);
  CHECK(cluster.nodes[1].GetWorld().members.Find("d0")->digest.state ==
        DaemonState::Draining);
  cluster.Post(0, OperatorDrain{ { 2 } }); // does not begin the delay again
  cluster.Run(1100ms);
  CHECK(node.GetWorld().refusesRequests);
  CHECK(node.exits == 0);
  cluster.Post(0, CallerGone{ { 9 } });
  cluster.Run(1s);
  CHECK(node.exits == 1);
  cluster.Run(5s);
  CHECK(node.exits == 1);
}

TEST_CASE("A time limit or a notice for the own host begins the hand-over", "[config]")
{
  // Guards against a hand-over that begins when the host is gone already.
  const bool isNotice = GENERATE(false, true);
  Cluster cluster(1, 1, CoreOptions{ .host = "own" });
  cluster.Run(1s);
  const World& world = cluster.nodes[0].GetWorld();
  cluster.Post(0, CallerRequest{ { 9 }, "GET", "/", {}, "" });
  cluster.Post(0, ReclaimNotice{ "other", 1s });
  cluster.Run(100ms);
  CHECK(world.state == DaemonState::Serving);
  const TimePoint begin = world.Now();
  if (isNotice) {
    cluster.Post(0, ReclaimNotice{ "own", 3s });
  } else {
    cluster.Post(0, OperatorDrain{ { 1 }, 9s });
    cluster.Post(0, OperatorDrain{ { 2 }, 3s });
    cluster.Post(0, OperatorDrain{ { 3 } }); // does not lift the limit
  }
  cluster.Run(50ms);
  CHECK(world.state == DaemonState::Draining);
  REQUIRE(world.handOverAt);
  CHECK(*world.handOverAt >= begin + 2s);
  CHECK(*world.handOverAt < begin + 2100ms);
  // A limit shorter than the drain delay refuses requests from then on.
  cluster.Post(0, OperatorDrain{ { 4 }, 200ms });
  cluster.Run(200ms);
  CHECK(world.refusesRequests);
}
