// Incremental parser of the HTTP/1.1 messages on a connection, based on http_parser. It
// pauses at the end of each message and buffers further bytes until Next() is called.
//
//   HttpReader reader({ .isRequest = true, .onHead = ..., .onBody = ..., .onEnd = ... });
//   reader.Feed(bytes);   // false: the bytes are not valid HTTP
//   reader.Next();        // after onEnd: continues with the next message

#ifndef ENTRY_HTTP_READER_H_
#define ENTRY_HTTP_READER_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <http_parser.h>

#include "entry/response_body.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The head of a message. In a request, `status` is 0. In a response, `method` and
/// `target` are empty.
struct HttpHead
{
  std::string method;
  std::string target;
  int status = 0;
  Headers headers;
  bool keepsConnectionOpen = true;         // for further messages
  bool acceptsChunks = true;               // its sender speaks HTTP/1.1 or later
  BodyFraming framing = BodyFraming::None; // of a response
  std::optional<uint64_t> bodyBytes;       // announced by a request
};

struct HttpReaderOptions
{
  bool isRequest = true;
  // Limit for the target, the header fields and the trailers of a message together.
  size_t maxHeadBytes = 65536;
  // Called with the complete head, but not for interim (1xx) responses.
  std::function<void(HttpHead&)> onHead;
  // Called for each received part of the body.
  std::function<void(std::string_view)> onBody;
  // Called when the message is complete.
  std::function<void()> onEnd;
};

class HttpReader
{
public:
  explicit HttpReader(HttpReaderOptions aOptions);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Parses bytes, or buffers them while paused. Returns false if they are not valid
  /// HTTP, the head is too large or the status of a response is neither interim (1xx) nor
  /// 200 to 599. Feed() must not be called again after that.
  bool Feed(std::span<const char> aBytes);

  /// Reports that the peer closed the connection without a reset. Returns false if that
  /// truncates a message.
  bool FeedEof();

  /// Continues with the next message, starting with the buffered bytes. Must be called
  /// after onEnd and not from within a callback. Returns false like Feed().
  bool Next();

  /// Declares that the next response has no body whatever its head says, because it
  /// answers a HEAD request.
  void ExpectNoBody() { expectsNoBody_ = true; }

  void SetMaxHeadBytes(size_t aBytes) { options_.maxHeadBytes = aBytes; }

  /// Tells whether the parser is inside a message.
  bool IsInMessage() const { return isInMessage_; }

  /// Tells whether a message is complete and Next() was not called yet.
  bool IsPaused() const { return isPaused_; }

  /// Returns the number of buffered bytes that follow the last message.
  size_t BufferedBytes() const { return buffered_.size() - bufferedBegin_; }

  /// Returns the memory that the head of the current message takes up, in bytes. A field
  /// of a few bytes takes up much more than it has.
  size_t HeadMemoryBytes() const
  {
    return headBytes_ + kFieldMemoryBytes * head_.headers.capacity();
  }

  /// Returns the memory that a head of this many bytes may take up: each of its bytes may
  /// be a field of its own, and the list of fields may have twice their capacity.
  static constexpr size_t MaxHeadMemoryBytes(size_t aHeadBytes)
  {
    return aHeadBytes * (1 + 2 * kFieldMemoryBytes);
  }

  /// Frees the head and the buffered bytes. The reader must not be fed after that.
  void Release()
  {
    HttpHead head;
    std::swap(head_, head); // an assignment of an empty string would keep its memory
    std::string().swap(buffered_);
    bufferedBegin_ = 0;
    headBytes_ = 0;
  }

  /// Tells whether the end of the connection ends the body of the current response.
  bool EndsWithConnection() const { return head_.framing == BodyFraming::CloseDelimited; }

  /// Tells whether parsing failed because the head or the trailers exceed maxHeadBytes.
  bool IsHeadTooLarge() const { return isHeadTooLarge_; }

private:
  static HttpReader& ReaderOf(http_parser* aParser)
  {
    return *static_cast<HttpReader*>(aParser->data);
  }

  static constexpr size_t kFieldMemoryBytes = sizeof(Header);

  static const http_parser_settings& ParserCallbacks();

  /// Parses up to the end of the message. Returns the number of parsed bytes.
  size_t Parse(const char* aData, size_t aSize);

  /// Buffers bytes of which the first ones are parsed.
  void KeepBuffered(std::string aBytes, size_t aBegin);

  /// Tells whether the bytes parsed so far are valid.
  bool IsValid() const;

  /// Counts bytes of the head or the trailers. Returns false if they exceed maxHeadBytes.
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
  std::string buffered_;     // follows the last message
  size_t bufferedBegin_ = 0; // bytes of buffered_ that are parsed
};

} // namespace gooseberrypath::entry

#endif // ENTRY_HTTP_READER_H_
