// Reads HTTP/1.1 messages from a connection, by http_parser. It keeps what follows a
// whole message until the next one is asked for.
//
//   HttpReader reader({ .isRequest = true, .onHead = ..., .onBody = ..., .onEnd = ... });
//   reader.Feed(bytes);   // false: what came is no message
//   reader.Next();        // after onEnd: reads on

#ifndef ENTRY_HTTP_READER_H_
#define ENTRY_HTTP_READER_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The head of a message. Of a request, `status` is 0; of an answer, method and target
/// are empty.
struct HttpHead
{
  std::string method;
  std::string target;
  int status = 0;
  Headers headers;
  bool keepsConnectionOpen = true; // the sender reads or sends more messages
  bool isCloseDelimited = false;   // the body ends with the connection
};

struct HttpReaderOptions
{
  bool isRequest = true;
  size_t maxHeadBytes = 65536;
  std::function<void(HttpHead&)> onHead;
  std::function<void(std::string_view)> onBody;
  std::function<void()> onEnd;
};

class HttpReader
{
public:
  explicit HttpReader(HttpReaderOptions aOptions);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Takes bytes. Returns false when they are no message; nothing more may be fed then.
  bool Feed(std::span<const char> aBytes);

  /// The connection ended in order. Returns false if that cuts a message.
  bool FeedEof();

  /// After onEnd, outside of Feed(): reads the next message, beginning with what is kept.
  bool Next();

  /// The next answer has no body whatever its head says (HEAD).
  void ExpectNoBody() { expectsNoBody_ = true; }

  void SetMaxHeadBytes(size_t aBytes) { options_.maxHeadBytes = aBytes; }

  /// Tells whether a message has begun and not ended.
  bool IsInMessage() const { return isInMessage_; }

  /// Tells whether a whole message was read and Next() was not called.
  bool IsPaused() const { return isPaused_; }

  /// Returns the number of bytes kept behind the last message.
  size_t BufferedBytes() const { return buffered_.size(); }

  bool IsHeadTooLarge() const { return isHeadTooLarge_; }

private:
  static HttpReader& ReaderOf(http_parser* aParser)
  {
    return *static_cast<HttpReader*>(aParser->data);
  }

  static const http_parser_settings& ParserCallbacks();
  bool Parse(const char* aData, size_t aSize);
  bool CountHeadBytes(size_t aBytes);
  int OnMessageBegin();
  int OnHeaderField(std::string_view aText);
  int OnHeaderValue(std::string_view aText);
  int OnHeadersComplete();
  int OnMessageComplete();

  HttpReaderOptions options_;
  http_parser parser_{};
  HttpHead head_;
  bool lastWasValue_ = false;
  bool expectsNoBody_ = false;
  bool isInMessage_ = false;
  bool isInHead_ = false;
  bool isPaused_ = false;
  bool isHeadTooLarge_ = false;
  size_t headBytes_ = 0;
  std::string buffered_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_HTTP_READER_H_
