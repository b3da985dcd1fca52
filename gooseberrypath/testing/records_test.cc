#include "gooseberrypath/records.h"

#include <array>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

const std::string kAnyBytes("\0\xff\x80\"\\\n{}", 8);

std::vector<Record> MakeRecords()
{
  const ClaimRecord claim{ .service = "shop",
                           .key = "k \"1\"",
                           .bodyHash = "0af3",
                           .claim = "c1",
                           .daemon = "d0",
                           .incarnation = 18446744073709551615U,
                           .peerAddress = "10.0.0.1:7000",
                           .windowMs = 60000,
                           .asOf = 12 };
  const OutcomeRecord outcome{ .service = "shop",
                               .key = "k",
                               .claim = "c1",
                               .isKnown = true,
                               .status = 201,
                               .headers = { { "X-Name", "caf\xe9" }, { "A", "" } },
                               .body = kAnyBytes };
  return { PutRecord{ "route", "pickups", 3, "w1", R"({"pathPrefix":"/p"})" },
           DeleteRecord{ "route", "pickups", 4, "w2" },
           claim,
           outcome,
           OutcomeRecord{ .service = "s",
                          .key = "k",
                          .claim = "c",
                          .isKnown = false,
                          .headers = {},
                          .body = {} },
           AbandonRecord{ "shop", "k", "c1" },
           CarryRecord{ claim, 1700000000000, 7, 90, true, outcome },
           CarryRecord{ .claim = claim, .outcome = {} },
           JobRecord{ "j", "s", "t", kAnyBytes, "d0", 7, 60000, 5000, 3 },
           LeaseRecord{ "j", "d0", 7, 12 },
           CheckpointRecord{ "j", 12, 3, { "caf\u00e9", "\n" } },
           DoneRecord{ "j", 12, 3, { "a" }, "stop", "{}" },
           CancelRecord{ "j" },
           ReleaseRecord{ "j", 12, 3, {} },
           CarryJobRecord{ .proposal = { .job = "j", .body = kAnyBytes },
                           .asOf = 9,
                           .revision = 8,
                           .state = "running",
                           .holder = "d1",
                           .holderIncarnation = 7,
                           .lease = 5,
                           .tokens = { "a", "b" },
                           .createdMs = 1700000000000 },
           SnapshotRecord{ 9, { { "team", "t", 8, 5, "{}" } }, { "w" }, "1f" },
           SnapshotRecord{},
           UnknownRecord{ "future" } };
}

} // namespace

TEST_CASE("Each record is the same after encoding and decoding", "[records]")
{
  // Guards against bodies and header values that are not UTF-8 being changed in the log.
  for (const Record& record : MakeRecords()) {
    const std::string data = EncodeRecord(record);
    INFO(data);
    CHECK(data.find('\n') == std::string::npos);
    const Result<Record> decoded = DecodeRecord(data);
    REQUIRE(decoded);
    CHECK(*decoded == record);
  }
}

TEST_CASE("DecodeRecord names the wrong field", "[records]")
{
  struct Case
  {
    const char* data;
    const char* part; // of the message
  };
  constexpr std::array kCases = {
    Case{ "", "not a JSON object" },
    Case{ "[]", "not a JSON object" },
    Case{ "{}", "\"type\"" },
    Case{ R"({"type":7})", "\"type\"" },
    Case{ R"({"type":"abandon","service":"s","key":1,"claim":"c"})", "\"key\"" },
    Case{ R"({"type":"delete","kind":"k","name":"n","base":-1,"write":"w"})",
          "\"base\"" },
    Case{ R"({"type":"outcome","service":"s","key":"k","claim":"c","isKnown":true,)"
          R"("status":99999999999999999999,"headers":[],"body":""})",
          "\"status\"" },
    Case{ R"({"type":"outcome","service":"s","key":"k","claim":"c","isKnown":true,)"
          R"("status":200,"headers":[],"body":"%"})",
          "\"body\"" },
    Case{ R"({"type":"outcome","service":"s","key":"k","claim":"c","isKnown":true,)"
          R"("status":200,"headers":[["a"]],"body":""})",
          "\"headers\"" },
    Case{ R"({"type":"carry","claim":{"service":"s"},"claimedMs":1,"claimOffset":1,)"
          R"("asOf":1,"hasOutcome":false,"outcome":{}})",
          "\"claim.key\"" },
  };
  for (const Case& one : kCases) {
    INFO(one.data);
    const Result<Record> decoded = DecodeRecord(one.data);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == ErrorKind::BadRequest);
    CHECK(decoded.error().message.find(one.part) != std::string::npos);
  }
}

TEST_CASE("DecodeRecord survives random and mutated input", "[records]")
{
  // Guards against a crash of every daemon by one bad record in the log.
  std::mt19937_64 random(20260);
  const std::vector<Record> records = MakeRecords();
  size_t accepted = 0;
  constexpr size_t kInputs = 60000;
  for (size_t i = 0; i < kInputs; ++i) {
    std::string data;
    if (i % 4 == 0) {
      data.resize(random() % 64);
      for (char& c : data) {
        c = static_cast<char>(random());
      }
    } else {
      data = EncodeRecord(records[random() % records.size()]);
      for (uint64_t edits = 1 + random() % 4; edits > 0 && !data.empty(); --edits) {
        const size_t at = random() % data.size();
        switch (random() % 4) {
          case 0:
            data[at] = static_cast<char>(random());
            break;
          case 1:
            data.erase(at, 1 + random() % 8);
            break;
          case 2:
            data.insert(at, data.substr(random() % data.size(), random() % 16));
            break;
          default:
            data[at] = "0123456789-{}[]\",:e."[random() % 20];
            break;
        }
      }
    }
    const Result<Record> decoded = DecodeRecord(data);
    if (decoded) {
      ++accepted;
      // What is accepted can be written again.
      CHECK(DecodeRecord(EncodeRecord(*decoded)));
    } else {
      CHECK_FALSE(decoded.error().message.empty());
    }
  }
  WARN("decoded " << kInputs << " random inputs, of which " << accepted
                  << " are records");
  CHECK(accepted > 0);
  CHECK(accepted < kInputs);
}

TEST_CASE("DecodeRecord survives deep nesting", "[records]")
{
  // Guards against a stack overflow in the parser.
  const std::string data(1'000'000, '[');
  CHECK_FALSE(DecodeRecord(data));
  CHECK_FALSE(DecodeRecord(R"({"type":)" + data));
}
