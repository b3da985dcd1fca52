// The chat-completions form: requests of callers, requests to engines, answers to
// callers.
//
//   Result<ChatRequest> chat = ParseChatRequest(body);
//   std::string json = EngineRequestBody(chat, tokens, { .requestId = "d0-1-7" });

#ifndef GOOSEBERRYPATH_CHAT_FORMAT_H_
#define GOOSEBERRYPATH_CHAT_FORMAT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Parses and checks a caller's body. Fails with BadRequest and the name of the field.
Result<ChatRequest> ParseChatRequest(const SharedBytes& aBody);

/// What an engine request says besides the caller's fields.
struct EngineRequestOptions
{
  std::string_view requestId; // the attempt's name on the wire
  int priority = 0;           // lower is sooner
  std::string_view kvHandle;  // exported KV cache; empty: none
};

/// Returns the body for an engine. With received tokens, the answer continues after them.
/// The chat must come from ParseChatRequest(), and max_tokens must leave at least one
/// token.
std::string EngineRequestBody(const ChatRequest& aChat,
                              std::span<const std::string> aTokens,
                              const EngineRequestOptions& aOptions);

/// Identifies an answer to the caller.
struct AnswerIdentity
{
  std::string_view requestId;
  std::string_view model;
  int64_t createdSeconds = 0; // since 1970
};

/// Returns the data of one chunk. The first one names the role.
std::string ChunkData(const AnswerIdentity& aIdentity, uint64_t aOffset,
                      std::string_view aText);

/// Returns the data of the last chunk, which carries the finish reason.
std::string LastChunkData(const AnswerIdentity& aIdentity,
                          std::string_view aFinishReason);

/// Returns a whole answer for a caller that does not stream.
std::string CompletionBody(const AnswerIdentity& aIdentity,
                           std::span<const std::string> aTokens,
                           std::string_view aFinishReason);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CHAT_FORMAT_H_
