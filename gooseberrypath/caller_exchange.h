// A request of CallerHttp and its answer. Only its source files include this header.

#ifndef GOOSEBERRYPATH_CALLER_EXCHANGE_H_
#define GOOSEBERRYPATH_CALLER_EXCHANGE_H_

#include <optional>
#include <string>

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
  kj::Promise<void> Handle();

  /// Writes what is there, then waits for more, until the answer is complete.
  kj::Promise<void> Pump();

  kj::Promise<void> SendWhole();
  kj::Promise<void> Fail(ErrorKind aKind, std::string aMessage);
  kj::Promise<void> FailTooLarge();
  void Wake();

  CallerHttp& port_;
  Stream& stream_;
  kj::HttpService::Response& response_;
  CallerRequest request_;
  bool isEmitted_ = false;
  bool isHead_ = false;
  bool isSent_ = false; // the head of the answer was given to kj
  bool isComplete_ = false;
  bool isOverflowing_ = false;
  bool hasEnd_ = false;
  std::optional<ReplyWhole> whole_;
  std::optional<Headers> head_;
  std::string queue_;   // events to be written next
  std::string writing_; // events being written
  kj::Own<kj::AsyncOutputStream> out_;
  kj::Own<kj::PromiseFulfiller<void>> wake_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CALLER_EXCHANGE_H_
