#include "gooseberrypath/chat_format.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Join(std::span<const std::string> aTokens)
{
  std::string text;
  for (const std::string& token : aTokens) {
    text += token;
  }
  return text;
}

Result<void> CheckMessages(const Json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return MakeError(ErrorKind::BadRequest,
                     "field messages must be an array with at least one message");
  }
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content")) {
      return MakeError(ErrorKind::BadRequest,
                       "each entry of messages must be an object with role and content");
    }
  }
  return {};
}

Json ChunkObject(const AnswerIdentity& aIdentity, Json aDelta, Json aFinishReason)
{
  return { { "id", "chatcmpl-" + std::string(aIdentity.requestId) },
           { "object", "chat.completion.chunk" },
           { "created", aIdentity.createdSeconds },
           { "model", aIdentity.model },
           { "choices",
             Json::array({ { { "index", 0 },
                             { "delta", std::move(aDelta) },
                             { "finish_reason", std::move(aFinishReason) } } }) } };
}

} // namespace

Result<ChatRequest> ParseChatRequest(const SharedBytes& aBody)
{
  const Json body = Json::parse(aBody.View(), nullptr, false);
  if (!body.is_object()) {
    return MakeError(ErrorKind::BadRequest, "the body is not a JSON object");
  }
  if (const auto checked = CheckMessages(body); !checked) {
    return tl::unexpected(checked.error());
  }
  ChatRequest chat{ .json = aBody };
  if (const auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) {
      return MakeError(ErrorKind::BadRequest, "field stream must be true or false");
    }
    chat.streams = stream->get<bool>();
  }
  if (const auto limit = body.find("max_tokens");
      limit != body.end() && !limit->is_null()) {
    if (!limit->is_number_unsigned() || limit->get<uint64_t>() == 0) {
      return MakeError(ErrorKind::BadRequest, "field max_tokens must be at least 1");
    }
    chat.maxTokens = limit->get<uint64_t>();
  }
  if (const auto model = body.find("model"); model != body.end()) {
    if (!model->is_string()) {
      return MakeError(ErrorKind::BadRequest, "field model must be a string");
    }
    chat.model = model->get<std::string>();
  }
  if (const auto choices = body.find("n"); choices != body.end() && *choices != 1) {
    return MakeError(ErrorKind::BadRequest, "field n must be 1");
  }
  return chat;
}

std::string EngineRequestBody(const ChatRequest& aChat,
                              std::span<const std::string> aTokens,
                              const EngineRequestOptions& aOptions)
{
  Json body = Json::parse(aChat.json.View());
  body["stream"] = true;
  body["request_id"] = aOptions.requestId;
  body["priority"] = aOptions.priority;
  body.erase("kv_transfer_params"); // a caller could name another caller's cache
  if (!aOptions.kvHandle.empty()) {
    body["kv_transfer_params"] = { { "kv_handle", aOptions.kvHandle } };
  }
  if (!aTokens.empty()) {
    body["messages"].push_back({ { "role", "assistant" }, { "content", Join(aTokens) } });
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    if (aChat.maxTokens > 0) {
      body["max_tokens"] = aChat.maxTokens - aTokens.size();
    }
  }
  return Dump(body);
}

// Runs once per token, so only the texts go through the JSON library: objects cost about
// twenty allocations.
std::string ChunkData(const AnswerIdentity& aIdentity, uint64_t aOffset,
                      std::string_view aText)
{
  std::string data = R"({"id":)";
  data += Dump(Json("chatcmpl-" + std::string(aIdentity.requestId)));
  data += R"(,"object":"chat.completion.chunk","created":)";
  data += std::to_string(aIdentity.createdSeconds);
  data += R"(,"model":)";
  data += Dump(Json(aIdentity.model));
  data += R"(,"choices":[{"index":0,"delta":{)";
  data += aOffset == 0 ? R"("role":"assistant",)" : "";
  data += R"("content":)";
  data += Dump(Json(aText));
  data += R"(},"finish_reason":null}]})";
  return data;
}

std::string LastChunkData(const AnswerIdentity& aIdentity, std::string_view aFinishReason)
{
  return Dump(ChunkObject(aIdentity, Json::object(), aFinishReason));
}

std::string CompletionBody(const AnswerIdentity& aIdentity,
                           std::span<const std::string> aTokens,
                           std::string_view aFinishReason)
{
  return Dump(Json{
    { "id", "chatcmpl-" + std::string(aIdentity.requestId) },
    { "object", "chat.completion" },
    { "created", aIdentity.createdSeconds },
    { "model", aIdentity.model },
    { "choices",
      Json::array(
        { { { "index", 0 },
            { "message", { { "role", "assistant" }, { "content", Join(aTokens) } } },
            { "finish_reason", aFinishReason } } }) },
    { "usage", { { "completion_tokens", aTokens.size() } } } });
}

} // namespace gooseberrypath
