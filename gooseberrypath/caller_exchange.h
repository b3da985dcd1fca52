// A request of CallerHttp and its answer. Only its source files include this header.

#ifndef GOOSEBERRYPATH_CALLER_EXCHANGE_H_
#define GOOSEBERRYPATH_CALLER_EXCHANGE_H_

#include <optional>
#include <string>

#include "gooseberrypath/body_buffer.h"
#include "gooseberrypath/caller_stream.h"

namespace gooseberrypath {

/// One request and its answer. kj destroys it with the handler's promise, either after
/// the answer or when the caller's connection ended.
class CallerHttp::Exchange
{
public:
  Exchange(CallerHttp& aPort, Stream& aStream, kj::HttpService::Response& aResponse);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() noexcept(false);

  /// Reads the request, emits it and sends the answer.
  kj::Promise<void> Run(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                        const kj::HttpHeaders& aHeaders, kj::AsyncInputStream& aBody);

  void SetWhole(const ReplyWhole& aReply);
  void SetHead(const Headers& aHeaders);
  void AddEvent(const ReplyStreamEvent& aEvent);
  void SetEnd();

  const RequestId id;

private:
  /// How the reading of a request ended.
  enum class ReadEnd : uint8_t
  {
    Whole,
    TooLarge,
    NoRoom,
    TimedOut,
  };

  /// Charges the head and copies it. Returns false if there is no room.
  bool TakeHead(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                const kj::HttpHeaders& aHeaders);

  /// Reads the body to its end, while there is room for it.
  kj::Promise<ReadEnd> ReadBody(kj::AsyncInputStream& aBody);

  /// Charges and keeps bytes of the body. Returns false if there is no room.
  bool AppendBody(std::string_view aBytes);

  /// Charges the events that wait for the caller. Returns false if there is no room.
  bool ChargeQueue(size_t aBytes);

  kj::Promise<void> HandleRead(ReadEnd aEnd);
  kj::Promise<void> Handle();

  /// Writes what is there, then waits for more, until the answer is complete.
  kj::Promise<void> Pump();

  kj::Promise<void> SendWhole();
  kj::Promise<void> Fail(ErrorKind aKind, std::string aMessage);

  /// Frees what was read of the request, answers with an error and closes the connection.
  kj::Promise<void> Refuse(ErrorKind aKind, std::string aMessage);
  kj::Promise<void> RefuseTooLarge();
  kj::Promise<void> RefuseForMemory();
  void Wake();

  CallerHttp& port_;
  Stream& stream_;
  kj::HttpService::Response& response_;
  CallerRequest request_;
  size_t headMemory_ = 0; // of request_, in bytes
  uint64_t bodyLimit_ = 0;
  BodyBuffer body_;
  size_t progressBytes_ = 0;             // of the body, at the last progress
  kj::Array<char> readBuffer_ = nullptr; // for parts of the body
  bool isEmitted_ = false;
  bool isHead_ = false;
  bool isSent_ = false; // the head of the answer was given to kj
  bool isComplete_ = false;
  bool isOverflowing_ = false;
  bool hasEnd_ = false;
  std::optional<ReplyWhole> whole_;
  std::optional<Headers> head_;
  std::string queue_;        // events to be written next
  std::string writing_;      // events being written
  MemoryCharge queueCharge_; // for both
  kj::Own<kj::AsyncOutputStream> out_;
  kj::Own<kj::PromiseFulfiller<void>> wake_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CALLER_EXCHANGE_H_
