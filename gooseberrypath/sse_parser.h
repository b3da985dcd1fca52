// Incremental parser of an engine's answer: server-sent events whose data are
// chat-completion chunks. The input may be split anywhere.
//
//   SseParser parser({ .maxEventBytes = 65536 });
//   auto chunks = parser.Feed(bytes);
//   if (!chunks) { ... chunks.error().message ... }

#ifndef GOOSEBERRYPATH_SSE_PARSER_H_
#define GOOSEBERRYPATH_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/errors.h"

namespace gooseberrypath {

/// One event of an engine's stream.
struct ModelChunk
{
  std::string id{};                  // "chatcmpl-<request_id>"
  std::optional<uint64_t> offset{};  // "token_offset"
  std::optional<std::string> text{}; // the content, if the chunk carries a token
  std::string finishReason{};        // empty until the last chunk
  bool isDone = false;               // "[DONE]"; the other fields are empty

  bool operator==(const ModelChunk&) const = default;
};

struct SseParserOptions
{
  size_t maxEventBytes =
    size_t{ 256 } * 1024; // limit on a line and on the data of one event
  // Limit on the bytes between two chunks: comments, blank lines, other fields.
  size_t maxBytesWithoutChunk = size_t{ 1024 } * 1024;
};

class SseParser
{
public:
  explicit SseParser(SseParserOptions aOptions = {});

  /// Returns the chunks completed by these bytes, in order. Fails with BackendFailed if a
  /// line or event is over the limit, if too many bytes bring no chunk, if data is no
  /// chunk, or if the engine sent an error object. After a failure all calls fail.
  Result<std::vector<ModelChunk>> Feed(std::string_view aBytes);

private:
  tl::expected<void, Error> EndLine(std::vector<ModelChunk>& aChunks);
  tl::expected<void, Error> EndEvent(std::vector<ModelChunk>& aChunks);

  SseParserOptions options_;
  std::string line_;
  std::string data_;
  std::string event_;
  size_t bytesWithoutChunk_ = 0; // since the last chunk
  bool hasData_ = false;
  bool wasCarriageReturn_ = false; // a following line feed belongs to the same line end
  std::optional<Error> failure_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SSE_PARSER_H_
