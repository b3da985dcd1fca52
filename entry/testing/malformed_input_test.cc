// Malformed input at every decoder: changed, cut and doubled copies of valid messages,
// from fixed seeds. Whatever comes, a decoder returns an error or a value, and the
// process lives.

#include <functional>
#include <limits>
#include <random>

#include <catch2/catch.hpp>

#include "entry/duty_state.h"
#include "entry/http_reader.h"
#include "entry/peer_digest.h"
#include "entry/sse_event_splitter.h"
#include "entry/testing/entry_fixture.h"
#include "platform/call_format.h"
#include "platform/resource_format.h"
#include "platform/settings_file.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

/// Changes some bytes, cuts the text, or repeats a part of it.
std::string Mutate(std::string aText, std::mt19937_64& aRandom)
{
  const auto below = [&](size_t aEnd) { return aEnd == 0 ? 0 : aRandom() % aEnd; };
  for (size_t left = 1 + below(4); left > 0 && !aText.empty(); --left) {
    const size_t at = below(aText.size());
    switch (below(6)) {
      case 0:
        aText[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aText.resize(at);
        break;
      case 2:
        aText.insert(at, aText.substr(below(aText.size()), below(64)));
        break;
      case 3:
        aText.erase(at, below(16));
        break;
      case 4:
        aText.insert(at, 1 + below(40), "0[{-9\""[below(6)]);
        break;
      default:
        aText[at] = static_cast<char>(aText[at] ^ (1 << below(8)));
    }
  }
  return aText;
}

/// Feeds mutated copies of the samples to the decoder, which must not throw.
void Attack(const std::vector<std::string>& aSamples,
            const std::function<void(const std::string&)>& aDecode)
{
  constexpr int kRounds = 3000;
  std::mt19937_64 random(18);
  for (const std::string& sample : aSamples) {
    CHECK_NOTHROW(aDecode(sample));
    for (int i = 0; i < kRounds; ++i) {
      const std::string text = Mutate(sample, random);
      INFO("input " << text);
      REQUIRE_NOTHROW(aDecode(text));
    }
  }
}

const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"H.example","path_prefix":"/a/","kind":"streaming","timeout_ms":2500,
   "target_latency_ms":500,"priority":0,"service":"s","max_attempts":2,"public":false,
   "resumable":true,"gap_target_ms":400},
  {"name":"r2","host":"h","path_prefix":"/b/","kind":"idempotent","timeout_ms":800,
   "traffic_split":[{"service":"s","weight":90}],"max_attempts":1}],
  "services":[{"name":"s","health_path":"/health","max_conns":210,
   "engine":{"slots":24,"kv_capacity_tokens":444000},
   "scaling":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"a":0.85}}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
  "tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1,"unit":"tokens",
   "plain_tokens":200,"rate_per_s":220157,"burst":220157}]})";

const std::string kRequest =
  "POST /a/1 HTTP/1.1\r\nHost: h\r\nGooseberrypath-Request-Id: r1\r\n"
  "Gooseberrypath-Token-Counts: 1460,80\r\nGooseberrypath-Prompt-Prefix: "
  "5c:800,91:410\r\n"
  "Gooseberrypath-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
  "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n";

const std::string kAnswer =
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nGooseberrypath-Request-Id: r1\r\n"
  "Keep-Alive: timeout=5, max=9\r\nRetry-After: 1.5\r\nServer-Leaving: 1\r\n"
  "Content-Length: 4\r\n\r\nbody";

/// Reads messages and decodes their heads.
void ReadHttp(const std::string& aText, bool aIsRequest)
{
  HttpReader reader({ .isRequest = aIsRequest,
                      .onHead =
                        [&](HttpHead& aHead) {
                          if (aIsRequest) {
                            platform::DecodeCall(aHead, "", TimePoint{});
                          } else {
                            platform::DecodeBackendHead(aHead, "r1");
                          }
                        },
                      .onBody = [](std::string_view) {},
                      .onEnd = [] {} });
  const size_t half = aText.size() / 2;
  bool isWell = reader.Feed({ aText.data(), half });
  isWell = isWell && reader.Feed({ aText.data() + half, aText.size() - half });
  for (int i = 0; isWell && reader.IsPaused() && i < 10; ++i) {
    isWell = reader.Next();
  }
  reader.FeedEof();
}

PeerDigest SampleDigest()
{
  return { .daemon = "d2",
           .incarnation = 5,
           .sequence = 9,
           .configVersion = 3,
           .demands = { { .service = 1, .promptTokensPerSecond = 2 } },
           .backends = { { .backend = 1, .inFlight = 2 } },
           .teams = { { .team = 1, .admitted = 100 } },
           .usage = { { .window = 1, .daemon = "d2", .team = "acme", .count = 3 } },
           .peers = { "10.0.0.1:7500" },
           .leaving = { { .id = "i-1", .startedMs = 4 } },
           .fleetDelta =
             FleetDelta{ .changes = { EntryFixture::MakeBackendEntry("i-2", "booking"),
                                      BackendRemoved{ "i-3" } },
                         .from = 1,
                         .next = 2 } };
}

} // namespace

TEST_CASE("Malformed records of the store are errors", "[entry][malformed]")
{
  Attack({ kConfiguration },
         [](const std::string& aText) { platform::DecodeConfiguration(aText); });
  Attack({ R"({"service":"s","address":"10.1.0.9:8080","zone":"a","version":"v1",
               "slots":24,"state":"ready","cold_left_ms":0,"seq":4,"born":17,
               "spot":true,"leaves_ms":3000})" },
         [](const std::string& aText) { platform::DecodeBackendEntry("i-1", aText); });
  const DutyState state{ .holder = "d1",
                         .token = 3,
                         .renewal = 4,
                         .reports = { { .window = 7, .counts = { { "acme", 5 } } } },
                         .firstUnreported = 8,
                         .counts = { { 8, "d1/5", "acme", 2 } } };
  Attack({ EncodeDutyState(state) },
         [](const std::string& aText) { DecodeDutyState(aText); });
  Attack({ EncodeUsage(state.counts) },
         [](const std::string& aText) { DecodeUsage(aText); });
}

TEST_CASE("Deeply nested records do not exhaust the stack", "[entry][malformed]")
{
  const std::string nested(200'000, '[');
  CHECK_FALSE(platform::DecodeConfiguration(nested));
  CHECK_FALSE(platform::DecodeConfiguration(nested + std::string(200'000, ']')));
  CHECK_FALSE(DecodeUsage(nested));
}

TEST_CASE("Malformed settings are errors", "[entry][malformed]")
{
  Attack({ "node=edge-a-1\nzone=a\nzones.a=r\nip=10.0.0.1\nlisten.front=10.0.0.1:8360\n"
           "listen.ready=10.0.0.1:8365\nport_range=7500,7515\nseeds=10.0.0.1:8367\n"
           "platform.address=10.9.0.1:8361\nbounds.lease_ms=3000\nbounds.grace_s=8\n" },
         [](const std::string& aText) { platform::DecodeSettings(aText); });
}

TEST_CASE("Malformed HTTP is refused", "[entry][malformed]")
{
  Attack({ kRequest, "GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n" + kRequest },
         [](const std::string& aText) { ReadHttp(aText, true); });
  Attack({ kAnswer, kAnswer + kAnswer },
         [](const std::string& aText) { ReadHttp(aText, false); });
}

TEST_CASE("Malformed events are passed on as they are", "[entry][malformed]")
{
  Attack({ "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n" }, [](const std::string& aText) {
    SseEventSplitter splitter;
    std::string out;
    for (const char byte : aText) {
      out += splitter.Feed({ &byte, 1 }).bytes;
    }
    out += splitter.PartialEvent();
    REQUIRE(out == aText);
  });
}

TEST_CASE("A daemon takes in what decodes from malformed datagrams", "[entry][malformed]")
{
  // Guards against a datagram that decodes and then breaks the tables: unknown backends,
  // offsets that go back, counts without measure.
  EntryFixture entry;
  entry.Prepare();
  uint64_t decoded = 0;
  Attack({ EncodeDigest(SampleDigest()) }, [&](const std::string& aText) {
    auto digest = DecodeDigest(aText);
    if (digest) {
      ++decoded;
      entry.Post(DigestReceived{ .from = "10.0.0.2:7500", .digest = *std::move(digest) });
      entry.actions.clear();
    }
  });
  CHECK(decoded > 100);
  // The daemon still serves. A datagram that is not signed can take backends out of use.
  entry.AddBackend("booking9", "booking", 1);
  entry.PostCall("status");
  CHECK_FALSE(entry.SendLatestAttempt().backend.empty());
}

TEST_CASE("A demand that is no rate is refused", "[entry][malformed]")
{
  // Guards against orders for backends that follow from a sum without a value.
  PeerDigest digest = SampleDigest();
  for (const float rate : { std::numeric_limits<float>::quiet_NaN(),
                            std::numeric_limits<float>::infinity(), -1.0F }) {
    digest.demands[0].promptTokensPerSecond = rate;
    CHECK_FALSE(DecodeDigest(EncodeDigest(digest)));
  }
}

TEST_CASE("A state that names a very old window leads to few reports",
          "[entry][malformed]")
{
  // Guards against one report for each window since 1970.
  EntryFixture entry({ .host = "d1",
                       .incarnation = 7,
                       .dataCentre = "c1",
                       .dataCentres = { "c1" },
                       .wallOffset = 20000s,
                       .reportsUsage = true });
  entry.Prepare();
  size_t reports = 0;
  for (int i = 0; i < 30 && reports == 0; ++i) {
    entry.Advance(500ms);
    if (!entry.TakeActions<ReadDutyState>().empty()) {
      entry.Post(DutyStateRead{
        .isRead = true,
        .text = EncodeDutyState(
          { .holder = "d9", .incarnation = 1, .token = 1, .firstUnreported = 10 }),
        .end = 1 });
    }
    for (const WriteDutyState& write : entry.TakeActions<WriteDutyState>()) {
      const auto written = DecodeDutyState(write.text);
      REQUIRE(written);
      reports = std::max(reports, written->reports.size());
      entry.Post(DutyStateWritten{ .outcome = WriteOutcome::Written, .end = 2 });
    }
  }
  CHECK(reports > 0);
  CHECK(reports <= 30);
}

} // namespace gooseberrypath::entry
