#include "gooseberrypath/sse_parser.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

using namespace gooseberrypath;

namespace {

const std::string kStream =
  ": comment\r\n\r\n"
  R"(data: {"id":"chatcmpl-7","choices":[{"delta":{"role":"assistant","content":""}}]})"
  "\n\n"
  "id: 1\r"
  R"(data: {"id":"chatcmpl-7","token_offset":0,"choices":[{"delta":{"content":"á"},"finish_reason":null}]})"
  "\r\r"
  "data: {\"id\":\"chatcmpl-7\",\"token_offset\":1,\r\n"
  "data:\"choices\":[{\"delta\":{\"content\":\"\"}}]}\r\n\r\n"
  R"(data: {"id":"chatcmpl-7","choices":[{"delta":{},"finish_reason":"stop"}]})"
  "\n\ndata: [DONE]\n\n";

struct Outcome
{
  std::vector<ModelChunk> chunks;
  bool isFailed = false;

  bool operator==(const Outcome&) const = default;
};

/// Feeds the input in pieces of these sizes, the last one repeated.
Outcome ParseIn(std::string_view aInput, const std::vector<size_t>& aSizes)
{
  SseParser parser({ .maxEventBytes = 200 });
  Outcome outcome;
  for (size_t i = 0; !aInput.empty() || i == 0; ++i) {
    const auto part = aInput.substr(0, aSizes[std::min(i, aSizes.size() - 1)]);
    aInput.remove_prefix(part.size());
    if (auto chunks = parser.Feed(part)) {
      outcome.chunks.insert(outcome.chunks.end(), chunks->begin(), chunks->end());
    }
  }
  outcome.isFailed = !parser.Feed("");
  return outcome;
}

} // namespace

TEST_CASE("SseParser gives the same chunks for every split", "[sse]")
{
  // Guards against state lost between reads, such as a CR LF or a UTF-8 sequence cut in
  // two.
  const Outcome whole = ParseIn(kStream, { kStream.size() });
  REQUIRE_FALSE(whole.isFailed);
  REQUIRE(whole.chunks.size() == 5);
  CHECK_FALSE(whole.chunks[0].text);
  CHECK(whole.chunks[1] == ModelChunk{ .id = "chatcmpl-7", .offset = 0, .text = "á" });
  CHECK(whole.chunks[2] == ModelChunk{ .id = "chatcmpl-7", .offset = 1, .text = "" });
  CHECK(whole.chunks[3] == ModelChunk{ .id = "chatcmpl-7", .finishReason = "stop" });
  CHECK(whole.chunks[4].isDone);
  for (size_t first = 1; first < kStream.size(); ++first) {
    CHECK(ParseIn(kStream, { first, kStream.size() }) == whole);
  }
  CHECK(ParseIn(kStream, { 1 }) == whole);
}

TEST_CASE("SseParser handles random input in random pieces", "[sse]")
{
  // Guards against crashes and against results that depend on the pieces.
  std::mt19937 random(20261204);
  const auto upTo = [&](size_t aMax) {
    return std::uniform_int_distribution<size_t>(0, aMax)(random);
  };
  for (int round = 0; round < 3000; ++round) {
    std::string input = kStream.substr(upTo(kStream.size()));
    for (size_t edits = upTo(4); edits > 0 && !input.empty(); --edits) {
      const size_t at = upTo(input.size() - 1);
      switch (upTo(2)) {
        case 0:
          input[at] = static_cast<char>(upTo(255));
          break;
        case 1:
          input.erase(at, upTo(9));
          break;
        default:
          input.insert(at, kStream, upTo(kStream.size()), upTo(300));
      }
    }
    std::vector<size_t> sizes(200);
    std::ranges::generate(sizes, [&] { return 1 + upTo(20); });
    CHECK(ParseIn(input, sizes) == ParseIn(input, { input.size() + 1 }));
  }
}

TEST_CASE("SseParser refuses bytes without end that bring no chunk", "[sse]")
{
  // Guards against an engine that keeps its stream open and the daemon busy with bytes
  // which are no token, and against a limit that adds up over a sound stream.
  constexpr size_t kLimit = 1000;
  SseParser parser({ .maxBytesWithoutChunk = kLimit });
  const auto input = GENERATE(as<std::string>{}, ":\n\n", "\n", "id: 1\n\n");
  for (int i = 0; i < 10; ++i) {
    for (size_t sent = 0; sent + 100 + input.size() <= kLimit; sent += input.size()) {
      REQUIRE(parser.Feed(input));
    }
    const auto chunks = parser.Feed("data: {\"choices\":[]}\n\n");
    REQUIRE(chunks);
    REQUIRE(chunks->size() == 1);
  }
  size_t sent = 0;
  while (sent <= 2 * kLimit && parser.Feed(input)) {
    sent += input.size();
  }
  CHECK(sent <= kLimit);
}

TEST_CASE("SseParser refuses long lines, errors and malformed chunks", "[sse]")
{
  // Guards against unbounded memory and against treating an engine's error as a token.
  for (const std::string& input :
       { "data: " + std::string(300, 'x'), std::string("event: error\ndata: {}\n\n"),
         std::string("data: {\"error\":{}}\n\n"), std::string("data: 1\n\n"),
         std::string("data: {\"choices\":[{\"delta\":{\"content\":1}}]}\n\n"),
         std::string("data: {\"token_offset\":-1,\"choices\":[]}\n\n") }) {
    SseParser parser({ .maxEventBytes = 200 });
    const auto failed = parser.Feed(input);
    REQUIRE_FALSE(failed);
    CHECK(failed.error().kind == ErrorKind::BackendFailed);
    CHECK_FALSE(parser.Feed("data: [DONE]\n\n"));
  }
}
