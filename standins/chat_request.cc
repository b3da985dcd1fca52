#include "standins/chat_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace gooseberrypath::standins {

namespace {

using nlohmann::json;

constexpr uint64_t kShortestAnswer = 16;
constexpr uint64_t kAnswerSpread = 112;
constexpr uint64_t kLongestAnswer = 1'000'000;

/// Returns the text of a message, whose content is a string or a list of text parts.
std::string ContentOf(const json& aMessage)
{
  const json content = aMessage.value("content", json(""));
  if (!content.is_array()) {
    return content.is_null() ? std::string() : content.get<std::string>();
  }
  std::string text;
  for (const json& part : content) {
    text += part.value("text", "");
  }
  return text;
}

std::vector<std::string> SplitWords(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

/// Returns N of a word "tokens=N".
std::optional<uint64_t> LengthIn(std::string_view aWord)
{
  constexpr std::string_view kPrefix = "tokens=";
  uint64_t length = 0;
  if (!aWord.starts_with(kPrefix)) {
    return std::nullopt;
  }
  aWord.remove_prefix(kPrefix.size());
  const auto result = std::from_chars(aWord.data(), aWord.data() + aWord.size(), length);
  if (result.ec != std::errc() || length > kLongestAnswer) {
    return std::nullopt;
  }
  return length;
}

ChatCall ParseObject(const json& aBody)
{
  ChatCall call;
  call.id = aBody.value("request_id", "");
  call.model = aBody.value("model", "");
  call.streams = aBody.value("stream", false);
  call.priority = aBody.value("priority", int64_t{ 0 });
  call.continues = aBody.value("continue_final_message", false);
  if (aBody.contains("max_tokens") && !aBody["max_tokens"].is_null()) {
    call.maxTokens = aBody["max_tokens"].get<uint64_t>();
  }
  if (aBody.contains("kv_transfer_params")) {
    call.kvHandle = aBody["kv_transfer_params"].value("kv_handle", "");
  }
  json messages = aBody.at("messages");
  if (call.continues) {
    call.partial = SplitWords(ContentOf(messages.back()));
    messages.erase(messages.size() - 1);
  }
  call.promptHash = HashToken(0, messages.dump());
  call.naturalLength = kShortestAnswer + call.promptHash % kAnswerSpread;
  for (const json& message : messages) {
    call.promptTokens.push_back("<" + message.at("role").get<std::string>() + ">");
    for (std::string& word : SplitWords(ContentOf(message))) {
      call.naturalLength = LengthIn(word).value_or(call.naturalLength);
      call.promptTokens.push_back(std::move(word));
    }
  }
  call.promptTokens.emplace_back("<assistant>");
  call.promptTokens.insert(call.promptTokens.end(), call.partial.begin(),
                           call.partial.end());
  return call;
}

} // namespace

uint64_t ChatCall::TotalLength() const
{
  return maxTokens ? std::min(naturalLength, partial.size() + *maxTokens) : naturalLength;
}

Result<ChatCall> ParseChatCall(std::string_view aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return MakeError(ErrorKind::BadRequest, "the body has no messages");
  }
  const json& last = body["messages"].back();
  try {
    if (body.value("continue_final_message", false) &&
        (last.value("role", "") != "assistant" ||
         body.value("add_generation_prompt", true))) {
      return MakeError(ErrorKind::BadRequest,
                       "continue_final_message needs a last assistant message and "
                       "add_generation_prompt false");
    }
    return ParseObject(body);
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest, error.what());
  }
}

std::string AnswerToken(uint64_t aPromptHash, uint64_t aIndex)
{
  constexpr std::string_view kConsonants = "bdfghklmnprstvyz";
  constexpr std::string_view kVowels = "aeio";
  constexpr int kSyllables = 3;
  const std::array<uint64_t, 2> input{ aPromptHash, aIndex };
  uint64_t hash = XXH3_64bits(input.data(), sizeof input);
  std::string word;
  for (int i = 0; i < kSyllables; ++i) {
    word += kConsonants[hash % kConsonants.size()];
    hash /= kConsonants.size();
    word += kVowels[hash % kVowels.size()];
    hash /= kVowels.size();
  }
  return word + " ";
}

std::string ExpectedAnswer(const ChatCall& aCall)
{
  std::string text;
  for (uint64_t i = 0; i < aCall.TotalLength(); ++i) {
    text += AnswerToken(aCall.promptHash, i);
  }
  return text;
}

uint64_t HashToken(uint64_t aBefore, std::string_view aToken)
{
  return XXH3_64bits_withSeed(aToken.data(), aToken.size(), aBefore);
}

uint64_t HashTokens(const std::vector<std::string>& aTokens, size_t aCount)
{
  uint64_t hash = 0;
  for (size_t i = 0; i < aCount; ++i) {
    hash = HashToken(hash, aTokens[i]);
  }
  return hash;
}

} // namespace gooseberrypath::standins
