#include "gooseberrypath/log_http.h"

#include <catch2/catch.hpp>

#include "gooseberrypath/kj_clock.h"
#include "gooseberrypath/platform_http.h"
#include "gooseberrypath/testing/loop_fixture.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

static_assert(LogPort<LogHttp>);
static_assert(HostListPort<PlatformHttp>);
static_assert(ClockPort<KjClock>);

namespace {

LogHttpOptions OptionsOf(LoopFixture& aLoop, std::string aAddress)
{
  return { .network = aLoop.Network(),
           .timer = aLoop.Timer(),
           .sink = aLoop.Sink(),
           .address = std::move(aAddress) };
}

void Answer(RawPeer& aPeer, const std::string& aStatus, const std::string& aBody)
{
  aPeer.Write("HTTP/1.1 " + aStatus +
              "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

/// Answers with a good host list once and with malformed ones later, and always with the
/// same notice.
class PlatformService final : public kj::HttpService
{
public:
  kj::Promise<void> request(kj::HttpMethod, kj::StringPtr aUrl, const kj::HttpHeaders&,
                            kj::AsyncInputStream&, Response& aResponse) override
  {
    if (aUrl == "/hosts") {
      const char* const body = isListSent_
                                 ? R"({"hosts":[{"host":1}]})"
                                 : R"({"hosts":[{"host":"10.0.0.1","state":"live"},)"
                                   R"({"host":"10.0.0.2","state":"gone"}]})";
      isListSent_ = true;
      return Send(aResponse, body);
    }
    repeatedNotices += aUrl.startsWith("/notices?after=3&") ? 1 : 0;
    return Send(aResponse,
                R"({"notices":[{"seq":3,"host":"10.0.0.1","seconds_left":1.5}]})");
  }

  int repeatedNotices = 0;

private:
  static kj::Promise<void> Send(Response& aResponse, kj::StringPtr aBody)
  {
    auto out = aResponse.send(200, "OK", kj::HttpHeaders(HeaderTable()), aBody.size());
    auto written = out->write(aBody.begin(), aBody.size());
    return written.attach(kj::mv(out));
  }

  bool isListSent_ = false;
};

} // namespace

TEST_CASE("LogHttp follows a stream through failures", "[log]")
{
  // Guards against records lost or repeated by retries, and against gaps taken as
  // records.
  LoopFixture loop;
  auto listener = loop.Listen();
  LogHttp log(OptionsOf(loop, loop.AddressOf(*listener)));
  log.Follow("config", 1);
  RawPeer server = loop.Accept(*listener);
  CHECK(
    server.ReadUntil("\r\n\r\n")
      .starts_with("GET /streams/config/records?from=1&limit=100&wait_ms=300 HTTP/1.1"));
  Answer(server, "200 OK",
         R"({"start":4,"head":6,"records":[{"offset":4,"time_ms":7,"data":{"a":1}},)"
         R"({"offset":5,"time_ms":8,"data":{}}]})");
  auto batch = loop.WaitFor<LogBatch>();
  CHECK(batch.stream == "config");
  CHECK(batch.start == 4);
  CHECK(batch.head == 6);
  REQUIRE(batch.entries.size() == 2);
  CHECK(batch.entries[0].offset == 4);
  CHECK(batch.entries[0].timeMs == 7);
  CHECK(batch.entries[0].data == R"({"a":1})");

  for (const char* const malformed :
       { "nonsense", "{}",
         R"({"start":1,"head":9,"records":[{"offset":7,"data":{}}]})" }) {
    CHECK(server.ReadUntil("\r\n\r\n").find("from=6&") != std::string::npos);
    Answer(server, "200 OK", malformed);
    CHECK(loop.WaitFor<LogReadFailed>().stream == "config");
  }
  CHECK(server.ReadUntil("\r\n\r\n").find("from=6&") != std::string::npos);
  server.Close();
  loop.WaitFor<LogReadFailed>();
  RawPeer again = loop.Accept(*listener);
  CHECK(again.ReadUntil("\r\n\r\n").find("from=6&") != std::string::npos);
  Answer(again, "200 OK", R"({"start":4,"head":6,"records":[]})");
  batch = loop.WaitFor<LogBatch>();
  CHECK(batch.entries.empty());
  CHECK(again.ReadUntil("\r\n\r\n").find("from=6&") != std::string::npos);
  CHECK(log.Errors().Count() == 0);
}

TEST_CASE("LogHttp tells which failed appends may be stored", "[log]")
{
  // Guards against an append that is reported as refused although the log stored it.
  LoopFixture loop;
  auto listener = loop.Listen();
  auto options = OptionsOf(loop, loop.AddressOf(*listener));
  options.appendTimeout = 200ms;
  LogHttp log(std::move(options));
  log.Execute(AppendRecord{ { 9 }, "actions", R"({"k":1})" });
  RawPeer server = loop.Accept(*listener);
  CHECK(
    server.ReadUntil(R"({"k":1})").starts_with("POST /streams/actions/records HTTP/1.1"));
  bool mayBeStored = false;
  SECTION("done")
  {
    Answer(server, "200 OK", R"({"offset":12})");
    const auto done = loop.WaitFor<AppendDone>();
    CHECK(done.append == AppendId{ 9 });
    CHECK(done.offset == 12);
    return;
  }
  SECTION("rate limit")
  {
    Answer(server, "429 Slow", "");
  }
  SECTION("outage")
  {
    Answer(server, "503 Down", "");
  }
  SECTION("answer lost")
  {
    server.Close();
    mayBeStored = true;
  }
  SECTION("other status")
  {
    Answer(server, "500 Error", "");
    mayBeStored = true;
  }
  SECTION("malformed")
  {
    Answer(server, "200 OK", "{}");
    mayBeStored = true;
  }
  SECTION("no answer")
  {
    mayBeStored = true; // the timeout ends it
  }
  const auto failed = loop.WaitFor<AppendFailed>();
  CHECK(failed.append == AppendId{ 9 });
  CHECK(failed.mayBeStored == mayBeStored);
  CHECK(log.AppendCount() == 0);
  CHECK(log.Errors().Count() == 0);
}

TEST_CASE("LogHttp limits appends in flight and in the queue", "[log]")
{
  // Guards against reordering in the queue and against a queue that grows in an outage.
  LoopFixture loop;
  auto listener = loop.Listen();
  auto options = OptionsOf(loop, loop.AddressOf(*listener));
  options.maxAppendsInFlight = 2;
  options.maxQueuedAppends = 2;
  options.maxQueueTime = 20s;
  options.appendTimeout = 20s;
  LogHttp log(std::move(options));
  for (uint64_t i = 1; i <= 5; ++i) {
    log.Execute(AppendRecord{ { i }, "actions", std::to_string(i) });
  }
  const auto refused = loop.WaitFor<AppendFailed>();
  CHECK(refused.append == AppendId{ 5 });
  CHECK_FALSE(refused.mayBeStored);
  RawPeer first = loop.Accept(*listener);
  RawPeer second = loop.Accept(*listener);
  first.ReadUntil("\r\n\r\n1");
  second.ReadUntil("\r\n\r\n2");
  Answer(second, "200 OK", R"({"offset":1})");
  CHECK(loop.WaitFor<AppendDone>().append == AppendId{ 2 });
  RawPeer third = loop.Accept(*listener);
  CHECK(third.ReadUntil("\r\n\r\n3").ends_with("3"));
  CHECK(log.AppendCount() == 3);
}

TEST_CASE("LogHttp tells that a refused connection stored nothing", "[log]")
{
  // Guards against repeated appends for records that cannot be stored.
  LoopFixture loop;
  LogHttp log(OptionsOf(loop, loop.RefusingAddress()));
  log.Execute(AppendRecord{ { 1 }, "actions", "{}" });
  CHECK_FALSE(loop.WaitFor<AppendFailed>().mayBeStored);
  log.Follow("config", 1);
  CHECK(loop.WaitFor<LogReadFailed>().stream == "config");
  CHECK(loop.WaitFor<LogReadFailed>().stream == "config");
}

TEST_CASE("PlatformHttp emits host lists and notices", "[platform]")
{
  // Guards against repeated notices and against a malformed list that replaces a good
  // one.
  LoopFixture loop;
  auto listener = loop.Listen();
  PlatformService service;
  kj::HttpServer server(loop.Timer(), HeaderTable(), service);
  const auto serving = server.listenHttp(*listener).eagerlyEvaluate(nullptr);
  PlatformHttp platform({ .network = loop.Network(),
                          .timer = loop.Timer(),
                          .sink = loop.Sink(),
                          .address = loop.AddressOf(*listener),
                          .hostsInterval = 1ms });
  platform.Start();
  const auto list = loop.WaitFor<HostList>();
  REQUIRE(list.hosts.size() == 2);
  CHECK(list.hosts[1].host == "10.0.0.2");
  CHECK(list.hosts[1].state == HostState::Gone);
  const auto reclaim = loop.WaitFor<ReclaimNotice>();
  CHECK(reclaim.host == "10.0.0.1");
  CHECK(reclaim.timeLeft == 1500ms);
  loop.RunUntil([&] { return service.repeatedNotices > 0 && platform.Failures() > 0; });
  CHECK(loop.events.empty());
  CHECK(platform.Errors().Count() == 0);
}

TEST_CASE("KjClock wakes once, at the latest time asked for", "[clock]")
{
  // Guards against a replaced wake-up that still fires, and against a crash when a
  // wake-up is armed from within one.
  LoopFixture loop;
  KjClock clock({ .timer = loop.Timer() });
  const TimePoint start = clock.Now();
  std::vector<int> calls;
  clock.WakeAt(start + 1ms, [&] { calls.push_back(1); });
  clock.WakeAt(start + 2ms, [&] {
    calls.push_back(2);
    clock.WakeAt(start, [&] { calls.push_back(3); });
  });
  loop.RunUntil([&] { return calls.size() >= 2; });
  CHECK(calls == std::vector{ 2, 3 });
  CHECK(clock.Now() >= start + 2ms);
  CHECK(clock.Errors().Count() == 0);
}
