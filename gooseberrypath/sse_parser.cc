#include "gooseberrypath/sse_parser.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

tl::unexpected<Error> Malformed(std::string aReason)
{
  return MakeError(ErrorKind::BackendFailed, std::move(aReason));
}

/// Reads a string field; a missing or null field leaves aInto as it is.
bool ReadText(const nlohmann::json& aObject, const char* aName, std::string& aInto)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end() || found->is_null()) {
    return true;
  }
  if (!found->is_string()) {
    return false;
  }
  aInto = found->get<std::string>();
  return true;
}

Result<ModelChunk> ParseChunk(const std::string& aData)
{
  const auto json = nlohmann::json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    return Malformed("a chunk is not a JSON object");
  }
  if (json.contains("error")) {
    return Malformed("the engine sent an error in its stream");
  }
  ModelChunk chunk;
  if (!ReadText(json, "id", chunk.id)) {
    return Malformed("a chunk's id is not a string");
  }
  if (const auto offset = json.find("token_offset");
      offset != json.end() && !offset->is_null()) {
    if (!offset->is_number_unsigned()) {
      return Malformed("a chunk's token_offset is not a number of at least 0");
    }
    chunk.offset = offset->get<uint64_t>();
  }
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array()) {
    return Malformed("a chunk has no choices");
  }
  if (choices->empty()) {
    return chunk; // a chunk with usage figures only
  }
  const auto& choice = choices->front();
  if (!choice.is_object() || !ReadText(choice, "finish_reason", chunk.finishReason)) {
    return Malformed("a chunk's choice is malformed");
  }
  const auto delta = choice.find("delta");
  if (delta == choice.end() || delta->is_null()) {
    return chunk;
  }
  if (!delta->is_object()) {
    return Malformed("a chunk's delta is not an object");
  }
  const auto content = delta->find("content");
  if (content == delta->end() || content->is_null()) {
    return chunk;
  }
  if (!content->is_string()) {
    return Malformed("a chunk's content is not a string");
  }
  auto text = content->get<std::string>();
  // Servers open a stream with an empty content beside the role. With an offset, an empty
  // content is a token, for example a part of a multi-byte character.
  if (!text.empty() || chunk.offset) {
    chunk.text = std::move(text);
  }
  return chunk;
}

} // namespace

SseParser::SseParser(SseParserOptions aOptions)
  : options_(aOptions)
{
}

Result<std::vector<ModelChunk>> SseParser::Feed(std::string_view aBytes)
{
  std::vector<ModelChunk> chunks;
  while (!failure_ && !aBytes.empty()) {
    if (wasCarriageReturn_) {
      wasCarriageReturn_ = false;
      if (aBytes.front() == '\n') {
        aBytes.remove_prefix(1);
        continue;
      }
    }
    const size_t end = aBytes.find_first_of("\r\n");
    const std::string_view part = aBytes.substr(0, end);
    bytesWithoutChunk_ += part.size() + (end == std::string_view::npos ? 0 : 1);
    if (bytesWithoutChunk_ > options_.maxBytesWithoutChunk) {
      failure_ = Error{ ErrorKind::BackendFailed, "too many bytes bring no chunk" };
      break;
    }
    if (line_.size() + part.size() > options_.maxEventBytes) {
      failure_ = Error{ ErrorKind::BackendFailed, "a line of the stream is too long" };
      break;
    }
    line_ += part;
    if (end == std::string_view::npos) {
      break;
    }
    wasCarriageReturn_ = aBytes[end] == '\r';
    aBytes.remove_prefix(end + 1);
    if (auto ended = EndLine(chunks); !ended) {
      failure_ = std::move(ended.error());
    }
  }
  // Chunks before the failure are given first; the next call reports the failure.
  if (failure_ && chunks.empty()) {
    return tl::unexpected<Error>(*failure_);
  }
  return chunks;
}

tl::expected<void, Error> SseParser::EndLine(std::vector<ModelChunk>& aChunks)
{
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    return EndEvent(aChunks);
  }
  const size_t colon = line.find(':');
  const std::string_view name = std::string_view(line).substr(0, colon);
  std::string_view value;
  if (colon != std::string::npos) {
    value = std::string_view(line).substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
  }
  if (name == "data") {
    if (data_.size() + value.size() + 1 > options_.maxEventBytes) {
      return Malformed("an event of the stream is too long");
    }
    if (hasData_) {
      data_ += '\n';
    }
    data_ += value;
    hasData_ = true;
  } else if (name == "event") {
    event_ = value;
  }
  return {};
}

tl::expected<void, Error> SseParser::EndEvent(std::vector<ModelChunk>& aChunks)
{
  const std::string data = std::exchange(data_, {});
  const std::string event = std::exchange(event_, {});
  if (!std::exchange(hasData_, false)) {
    return {};
  }
  if (event == "error") {
    return Malformed("the engine sent an error event");
  }
  if (data == "[DONE]") {
    aChunks.push_back(ModelChunk{ .isDone = true });
    return {};
  }
  auto chunk = ParseChunk(data);
  if (!chunk) {
    return tl::unexpected<Error>(std::move(chunk.error()));
  }
  aChunks.push_back(std::move(*chunk));
  bytesWithoutChunk_ = 0;
  return {};
}

} // namespace gooseberrypath
