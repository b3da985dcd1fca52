#include "entry/http_reader.h"

#include <climits>
#include <utility>

namespace gooseberrypath::entry {

namespace {

constexpr int kSkipBody =
  1; // what http_parser takes for "no body" from the head callback

bool IsInterim(int aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

/// Tells whether only the end of the connection ends the body of an answer.
bool IsUnframed(const http_parser& aParser)
{
  const bool hasNoBody = aParser.status_code == 204 || aParser.status_code == 304;
  const bool isChunked = (aParser.flags & F_CHUNKED) != 0;
  return !hasNoBody && !isChunked && aParser.content_length == ULLONG_MAX;
}

} // namespace

HttpReader::HttpReader(HttpReaderOptions aOptions)
  : options_(std::move(aOptions))
{
  http_parser_init(&parser_, options_.isRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

const http_parser_settings& HttpReader::Callbacks()
{
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* aParser) {
      return Of(aParser).OnBegin();
    };
    callbacks.on_url = [](http_parser* aParser, const char* aAt, size_t aSize) {
      Of(aParser).head_.target.append(aAt, aSize);
      return Of(aParser).CountHead(aSize) ? 0 : 1;
    };
    callbacks.on_header_field = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return Of(aParser).OnField({ aAt, aSize });
    };
    callbacks.on_header_value = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return Of(aParser).OnValue({ aAt, aSize });
    };
    callbacks.on_headers_complete = [](http_parser* aParser) {
      return Of(aParser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* aParser, const char* aAt, size_t aSize) {
      HttpReader& reader = Of(aParser);
      if (!IsInterim(reader.head_.status)) {
        reader.options_.onBody({ aAt, aSize });
      }
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* aParser) {
      return Of(aParser).OnMessageComplete();
    };
    return callbacks;
  }();
  return settings;
}

bool HttpReader::Feed(std::span<const char> aBytes)
{
  if (isPaused_) {
    kept_.append(aBytes.data(), aBytes.size());
    return true;
  }
  return Parse(aBytes.data(), aBytes.size());
}

bool HttpReader::Parse(const char* aData, size_t aSize)
{
  const size_t used = http_parser_execute(&parser_, &Callbacks(), aData, aSize);
  if (isPaused_) {
    kept_.assign(aData + used, aSize - used);
    return true;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && parser_.upgrade == 0;
}

bool HttpReader::FeedEnd()
{
  if (isPaused_) {
    return true;
  }
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  return isPaused_ || (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !isInMessage_);
}

bool HttpReader::Next()
{
  if (!isPaused_) {
    return true;
  }
  isPaused_ = false;
  http_parser_pause(&parser_, 0);
  const std::string kept = std::exchange(kept_, {});
  return kept.empty() || Parse(kept.data(), kept.size());
}

bool HttpReader::CountHead(size_t aBytes)
{
  headBytes_ += aBytes;
  isHeadTooLarge_ = headBytes_ > options_.maxHeadBytes;
  return !isHeadTooLarge_;
}

int HttpReader::OnBegin()
{
  head_ = HttpHead{};
  headBytes_ = 0;
  lastWasValue_ = false;
  isInMessage_ = true;
  isInHead_ = true;
  return 0;
}

int HttpReader::OnField(std::string_view aText)
{
  if (!isInHead_) {
    return CountHead(aText.size()) ? 0 : 1; // a trailer; nothing of it is passed on
  }
  if (head_.headers.empty() || lastWasValue_) {
    head_.headers.emplace_back();
    lastWasValue_ = false;
  }
  head_.headers.back().name.append(aText);
  return CountHead(aText.size()) ? 0 : 1;
}

int HttpReader::OnValue(std::string_view aText)
{
  if (!isInHead_) {
    return CountHead(aText.size()) ? 0 : 1;
  }
  lastWasValue_ = true;
  head_.headers.back().value.append(aText);
  return CountHead(aText.size()) ? 0 : 1;
}

int HttpReader::OnHeadersComplete()
{
  isInHead_ = false;
  if (options_.isRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    head_.status = parser_.status_code;
  }
  if (IsInterim(head_.status)) {
    return kSkipBody;
  }
  head_.keepsAlive = http_should_keep_alive(&parser_) != 0;
  head_.isUnframed = !options_.isRequest && !expectsNoBody_ && IsUnframed(parser_);
  options_.onHead(head_);
  return std::exchange(expectsNoBody_, false) ? kSkipBody : 0;
}

int HttpReader::OnMessageComplete()
{
  isInMessage_ = false;
  if (IsInterim(head_.status)) {
    return 0;
  }
  isPaused_ = true;
  http_parser_pause(&parser_, 1);
  options_.onEnd();
  return 0;
}

} // namespace gooseberrypath::entry
