// Parses chat-completions requests and computes the answers of the engine stand-in. An
// answer is a pure function of the prompt, so that a test can compute the expected text:
//
//   Result<ChatCall> call = ParseChatCall(body);
//   std::string text = ExpectedAnswer(*call);

#ifndef STANDINS_CHAT_REQUEST_H_
#define STANDINS_CHAT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/errors.h"

namespace gooseberrypath::standins {

/// A parsed request of the engine protocol.
struct ChatCall
{
  std::string id; // request_id
  std::string model;
  bool streams = false;
  int64_t priority = 0;    // lower is sooner
  uint64_t promptHash = 0; // of the messages without a trailing partial answer
  std::vector<std::string> promptTokens; // of the prompt and the partial answer
  std::vector<std::string> partial;      // words of the partial answer
  bool continues = false;                // continue_final_message
  uint64_t naturalLength = 0;            // tokens of the complete answer without a cap
  std::optional<uint64_t> maxTokens;     // for this call, without the partial answer
  std::string kvHandle;                  // empty: none

  /// Returns the number of tokens of the complete answer under the cap.
  uint64_t TotalLength() const;
};

/// Parses a request body. Fails with BadRequest.
Result<ChatCall> ParseChatCall(std::string_view aBody);

/// Returns token aIndex of the answer, including the trailing space.
std::string AnswerToken(uint64_t aPromptHash, uint64_t aIndex);

/// Returns the text of the complete answer, including the partial answer.
std::string ExpectedAnswer(const ChatCall& aCall);

/// Returns the chained hash of the first aCount tokens.
uint64_t HashTokens(const std::vector<std::string>& aTokens, size_t aCount);

/// Returns the chained hash after one more token.
uint64_t HashToken(uint64_t aBefore, std::string_view aToken);

} // namespace gooseberrypath::standins

#endif // STANDINS_CHAT_REQUEST_H_
