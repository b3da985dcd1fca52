#include "entry/http_reader.h"

#include <climits>
#include <utility>

namespace gooseberrypath::entry {

namespace {

// Returned by on_headers_complete, tells http_parser that the message has no body.
constexpr int kSkipBody = 1;

// Returned by on_headers_complete, makes http_parser fail.
constexpr int kFailParsing = -1;

bool IsInterim(int aStatus)
{
  return aStatus >= 100 && aStatus < 200;
}

/// Tells whether a response with this status can be a call's answer. No caller
/// understands others.
bool IsFinal(int aStatus)
{
  return aStatus >= 200 && aStatus < 600;
}

/// Returns what marks the end of the body of a response that may have one.
BodyFraming FramingOf(const http_parser& aParser)
{
  if (aParser.status_code == 204 || aParser.status_code == 304) {
    return BodyFraming::None;
  }
  if ((aParser.flags & F_CHUNKED) != 0) {
    return BodyFraming::Chunked;
  }
  return aParser.content_length == ULLONG_MAX ? BodyFraming::CloseDelimited
                                              : BodyFraming::Length;
}

} // namespace

HttpReader::HttpReader(HttpReaderOptions aOptions)
  : options_(std::move(aOptions))
{
  http_parser_init(&parser_, options_.isRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

const http_parser_settings& HttpReader::ParserCallbacks()
{
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* aParser) {
      return ReaderOf(aParser).OnMessageBegin();
    };
    callbacks.on_url = [](http_parser* aParser, const char* aAt, size_t aSize) {
      ReaderOf(aParser).head_.target.append(aAt, aSize);
      return ReaderOf(aParser).CountHeadBytes(aSize) ? 0 : 1;
    };
    callbacks.on_header_field = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return ReaderOf(aParser).OnHeaderField({ aAt, aSize });
    };
    callbacks.on_header_value = [](http_parser* aParser, const char* aAt, size_t aSize) {
      return ReaderOf(aParser).OnHeaderValue({ aAt, aSize });
    };
    callbacks.on_headers_complete = [](http_parser* aParser) {
      return ReaderOf(aParser).OnHeadersComplete();
    };
    callbacks.on_body = [](http_parser* aParser, const char* aAt, size_t aSize) {
      HttpReader& reader = ReaderOf(aParser);
      if (!IsInterim(reader.head_.status)) {
        reader.options_.onBody({ aAt, aSize });
      }
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* aParser) {
      return ReaderOf(aParser).OnMessageComplete();
    };
    return callbacks;
  }();
  return settings;
}

bool HttpReader::Feed(std::span<const char> aBytes)
{
  if (isPaused_) {
    buffered_.append(aBytes.data(), aBytes.size());
    return true;
  }
  const size_t parsedBytes = Parse(aBytes.data(), aBytes.size());
  if (isPaused_) {
    buffered_.assign(aBytes.data() + parsedBytes, aBytes.size() - parsedBytes);
    bufferedBegin_ = 0;
  }
  return IsValid();
}

size_t HttpReader::Parse(const char* aData, size_t aSize)
{
  return http_parser_execute(&parser_, &ParserCallbacks(), aData, aSize);
}

bool HttpReader::IsValid() const
{
  return isPaused_ || (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && parser_.upgrade == 0);
}

bool HttpReader::FeedEof()
{
  if (isPaused_) {
    return true;
  }
  http_parser_execute(&parser_, &ParserCallbacks(), nullptr, 0);
  return isPaused_ || (HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !isInMessage_);
}

bool HttpReader::Next()
{
  if (!isPaused_) {
    return true;
  }
  isPaused_ = false;
  http_parser_pause(&parser_, 0);
  if (BufferedBytes() == 0) {
    return true;
  }
  // The buffer is moved out, since a callback may feed or release the reader.
  std::string buffered = std::exchange(buffered_, {});
  const size_t begin = std::exchange(bufferedBegin_, 0);
  const size_t parsedBytes = Parse(buffered.data() + begin, buffered.size() - begin);
  if (isPaused_) {
    KeepBuffered(std::move(buffered), begin + parsedBytes);
  }
  return IsValid();
}

void HttpReader::KeepBuffered(std::string aBytes, size_t aBegin)
{
  // Parsed bytes are removed only when they are the larger part, so that the work for
  // many small messages stays linear in their bytes.
  if (aBegin > aBytes.size() / 2) {
    aBytes.erase(0, aBegin);
    aBegin = 0;
  }
  buffered_ = std::move(aBytes);
  bufferedBegin_ = aBegin;
}

bool HttpReader::CountHeadBytes(size_t aBytes)
{
  headBytes_ += aBytes;
  isHeadTooLarge_ = headBytes_ > options_.maxHeadBytes;
  return !isHeadTooLarge_;
}

int HttpReader::OnMessageBegin()
{
  head_ = HttpHead{};
  headBytes_ = 0;
  lastWasValue_ = false;
  isInMessage_ = true;
  isInHead_ = true;
  return 0;
}

int HttpReader::OnHeaderField(std::string_view aText)
{
  if (!isInHead_) {
    return CountHeadBytes(aText.size()) ? 0 : 1; // trailers count but are discarded
  }
  if (head_.headers.empty() || lastWasValue_) {
    head_.headers.emplace_back();
    lastWasValue_ = false;
  }
  head_.headers.back().name.append(aText);
  return CountHeadBytes(aText.size()) ? 0 : 1;
}

int HttpReader::OnHeaderValue(std::string_view aText)
{
  if (!isInHead_) {
    return CountHeadBytes(aText.size()) ? 0 : 1;
  }
  lastWasValue_ = true;
  head_.headers.back().value.append(aText);
  return CountHeadBytes(aText.size()) ? 0 : 1;
}

int HttpReader::OnHeadersComplete()
{
  isInHead_ = false;
  if (options_.isRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
    const bool isAnnounced =
      (parser_.flags & F_CHUNKED) == 0 && parser_.content_length != ULLONG_MAX;
    head_.bodyBytes =
      isAnnounced ? std::optional<uint64_t>(parser_.content_length) : std::nullopt;
  } else {
    head_.status = parser_.status_code;
  }
  if (IsInterim(head_.status)) {
    return kSkipBody;
  }
  if (!options_.isRequest && !IsFinal(head_.status)) {
    return kFailParsing;
  }
  head_.keepsConnectionOpen = http_should_keep_alive(&parser_) != 0;
  head_.acceptsChunks =
    parser_.http_major > 1 || (parser_.http_major == 1 && parser_.http_minor >= 1);
  if (!options_.isRequest && !expectsNoBody_) {
    head_.framing = FramingOf(parser_);
  }
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
