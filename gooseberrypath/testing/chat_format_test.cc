#include "gooseberrypath/chat_format.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace gooseberrypath;

namespace {

/// Builds the chunk as a JSON object and writes it with the library.
std::string NaiveChunkData(const AnswerIdentity& aIdentity, uint64_t aOffset,
                           std::string_view aText)
{
  using Json = nlohmann::ordered_json;
  Json delta = Json::object();
  if (aOffset == 0) {
    delta["role"] = "assistant";
  }
  delta["content"] = aText;
  const Json choice = { { "index", 0 },
                        { "delta", delta },
                        { "finish_reason", nullptr } };
  const Json chunk = { { "id", "chatcmpl-" + std::string(aIdentity.requestId) },
                       { "object", "chat.completion.chunk" },
                       { "created", aIdentity.createdSeconds },
                       { "model", aIdentity.model },
                       { "choices", Json::array({ choice }) } };
  return chunk.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

// Guards against chunks that are not JSON when a text needs escapes.
TEST_CASE("ChunkData equals the chunk that the JSON library writes")
{
  const AnswerIdentity identity{ .requestId = "d0-1-7",
                                 .model = "a \"quoted\" \\ model",
                                 .createdSeconds = 1'796'357'187 };
  for (const std::string_view text :
       { std::string_view(""), std::string_view("plain "),
         std::string_view("\"\\/\n\t\x01"), std::string_view("\0", 1),
         std::string_view("caf\xc3\xa9"), std::string_view("cut \xc3"),
         std::string_view("\xe2\x80\xa8") }) {
    for (const uint64_t offset : { 0, 1, 4096 }) {
      CHECK(ChunkData(identity, offset, text) == NaiveChunkData(identity, offset, text));
    }
  }
}
