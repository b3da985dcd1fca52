#include <catch2/catch.hpp>

#include "standins/log_model.h"
#include "standins/platform_model.h"
#include "standins/service_model.h"

using namespace gooseberrypath;
using namespace gooseberrypath::standins;
using namespace std::chrono_literals;
using nlohmann::json;

TEST_CASE("The service counts the runs of each key", "[standins]")
{
  // Guards against a stand-in that hides a duplicate run.
  const bool deduplicates = GENERATE(true, false);
  ServiceModel service({ .deduplicate = deduplicates });
  const json first = service.Run("POST", "/pickups", "k", R"({"a":1})");
  CHECK(first["ran"] == 1);
  CHECK(first["echo"]["a"] == 1);
  const json second = service.Run("POST", "/pickups", "k", "not json");
  CHECK(service.Stats()["runs"]["k"] == (deduplicates ? 1 : 2));
  CHECK(second["echo"] == (deduplicates ? first["echo"] : json("not json")));
}

TEST_CASE("Requests without a key are never deduplicated", "[standins]")
{
  // Guards against one answer for different requests.
  ServiceModel service({ .deduplicate = true });
  service.Run("GET", "/a", "", "");
  CHECK(service.Run("GET", "/b", "", "")["path"] == "/b");
}

TEST_CASE("Log offsets start at 1 in each stream and survive retention", "[standins]")
{
  // Guards against offsets that are reused after old records were removed.
  LogModel log({ .retainRecords = 2, .retainSeconds = 10 });
  CHECK(log.Head("a") == 1);
  CHECK(log.Read("a", 1, 10, 0) ==
        json{ { "start", 1 }, { "head", 1 }, { "records", json::array() } });
  for (int64_t i = 1; i <= 3; ++i) {
    CHECK(log.Append("a", { { "n", i } }, i * 1000) == Offset(i));
  }
  CHECK(log.Append("b", json::object(), 3000) == Offset(1));
  json page = log.Read("a", 1, 1, 3000);
  CHECK(page["start"] == 2);
  CHECK(page["head"] == 4);
  CHECK(page["records"] ==
        json::array(
          { { { "offset", 2 }, { "time_ms", 2000 }, { "data", { { "n", 2 } } } } }));
  // At 13001 ms both remaining records are older than 10 s.
  page = log.Read("a", 1, 10, 13001);
  CHECK(page["start"] == 4);
  CHECK(page["records"].empty());
  CHECK(log.Append("a", json::object(), 14000) == Offset(4));
}

TEST_CASE("The log refuses appends above the rate in any second", "[standins]")
{
  // Guards against a burst over the border of two clock seconds.
  LogModel log({ .appendsPerSecond = 2 });
  CHECK(log.Append("a", json::object(), 900));
  CHECK(log.Append("b", json::object(), 950));
  CHECK_FALSE(log.Append("a", json::object(), 1100));
  CHECK(log.Append("a", json::object(), 1900));
  CHECK(log.Head("a") == 3);
}

TEST_CASE("The host list lags behind notices and reclaims", "[standins]")
{
  // Guards against a list that is newer than the platform's.
  PlatformModel platform({ .lag = 5s });
  const auto state = [&](Duration aAt) -> std::string {
    const json hosts = platform.Hosts(TimePoint{ aAt })["hosts"];
    return hosts.empty() ? "none" : hosts[0]["state"].get<std::string>();
  };
  platform.SetHosts({ "h1" }, TimePoint{ 0s });
  CHECK(state(4s) == "none");
  CHECK(state(5s) == "live");
  platform.AddNotice("h1", 10, TimePoint{ 20s });
  CHECK(platform.Notices(0, TimePoint{ 24s })["notices"] ==
        json::array({ { { "seq", 1 }, { "host", "h1" }, { "seconds_left", 6 } } }));
  CHECK(platform.Notices(1, TimePoint{ 24s })["notices"].empty());
  CHECK(state(24s) == "live");
  CHECK(state(25s) == "leaving");
  CHECK(state(34s) == "leaving");
  CHECK(state(35s) == "gone");
}

TEST_CASE("Starts of hosts are refused by the fault and at the limit", "[standins]")
{
  // Guards against a platform that always has capacity.
  PlatformModel platform({ .maxHosts = 1 });
  platform.RefuseStarts(true);
  CHECK_FALSE(platform.StartHost("z", "c", "on_demand", TimePoint{ 1s }));
  platform.RefuseStarts(false);
  const auto host = platform.StartHost("z", "c", "reclaimable", TimePoint{ 1s });
  REQUIRE(host);
  CHECK_FALSE(platform.StartHost("z", "c", "reclaimable", TimePoint{ 2s }));
  platform.SetHosts(json::array(), TimePoint{ 3s });
  CHECK(platform.StartHost("z", "c", "reclaimable", TimePoint{ 4s }));
}
