#include "gooseberrypath/caller_http.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <optional>
#include <utility>

#include <kj/debug.h>
#include <kj/refcount.h>

namespace gooseberrypath {

namespace {

constexpr size_t kMaxRefusals = 256;

// kj 0.9 refuses a head that does not fit its buffer of fixed size, 64 KiB. The margin is
// for bytes of the previous request that were read together with the head.
constexpr size_t kMinTooLargeHead = 60'000;

/// Appends one field of a server-sent event. A field has one line.
void AppendField(std::string& aInto, std::string_view aName, std::string_view aValue)
{
  aInto += aName;
  aInto += ": ";
  for (const char character : aValue) {
    if (character != '\n' && character != '\r' && character != '\0') {
      aInto += character;
    }
  }
  aInto += '\n';
}

/// Appends the event; data of several lines become several data fields.
void AppendEvent(std::string& aInto, const ReplyStreamEvent& aEvent)
{
  if (!aEvent.id.empty()) {
    AppendField(aInto, "id", aEvent.id);
  }
  if (!aEvent.event.empty()) {
    AppendField(aInto, "event", aEvent.event);
  }
  std::string_view data = aEvent.data;
  for (size_t end = data.find('\n'); end != std::string_view::npos;
       end = data.find('\n')) {
    AppendField(aInto, "data", data.substr(0, end));
    data.remove_prefix(end + 1);
  }
  AppendField(aInto, "data", data);
  aInto += '\n';
}

/// Returns a whole answer for a connection that kj does not serve.
std::string RawAnswer(const Error& aError, RequestId aId)
{
  const ErrorInfo& info = InfoOf(aError.kind);
  const std::string body = ErrorBody(aError);
  std::string answer =
    "HTTP/1.1 " + std::to_string(info.status) + ' ' + ReasonPhrase(info.status).cStr() +
    "\r\nConnection: close\r\nContent-Type: application/json\r\nX-Request-Id: " +
    std::to_string(aId.value) + "\r\nContent-Length: " + std::to_string(body.size());
  if (info.retryAfterSeconds > 0) {
    answer += "\r\nRetry-After: " + std::to_string(info.retryAfterSeconds);
  }
  return answer + "\r\n\r\n" + body;
}

/// Takes everything and keeps nothing.
class Discard final : public kj::AsyncOutputStream
{
public:
  kj::Promise<void> write(const void*, size_t) override { return kj::READY_NOW; }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>>) override
  {
    return kj::READY_NOW;
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
};

} // namespace

/// One accepted connection. It outlives its stream.
class CallerHttp::Connection : public kj::Refcounted
{
public:
  explicit Connection(CallerHttp& aPort)
    : port_(aPort)
  {
    ++port_.connectionCount_;
  }

  ~Connection() noexcept(false) override { --port_.connectionCount_; }

  /// Closes the connection in a fresh turn of the loop, because the caller may be a
  /// continuation that runs for this connection.
  void CloseLater()
  {
    if (!std::exchange(isClosing_, true)) {
      port_.tasks_.add(kj::evalLater([self = kj::addRef(*this)]() mutable {
        self->canceler.cancel("closed by the server");
      }));
    }
  }

  /// Closes a stream on which an answer was written: reads what the caller still sends,
  /// within limits, since closing a socket with unread data resets the answer away.
  /// An error is written first.
  void Linger(kj::Own<kj::AsyncIoStream> aStream, kj::Maybe<Error> aError)
  {
    if (isClosing_ || port_.isClosing_) {
      return; // the caller is gone or too slow
    }
    port_.tasks_.add(kj::evalLater([self = kj::addRef(*this), stream = kj::mv(aStream),
                                    error = kj::mv(aError)]() mutable {
      auto closed = self->port_.CloseLingering(kj::mv(stream), kj::mv(error));
      return closed.attach(kj::mv(self));
    }));
  }

  kj::Canceler canceler;

private:
  CallerHttp& port_;
  bool isClosing_ = false;
};

/// The stream of a connection. While a request runs, it reads ahead to notice the end of
/// the caller's data; kj itself notices only a reset or a full close.
class CallerHttp::Stream final : public kj::AsyncIoStream
{
public:
  Stream(kj::Own<kj::AsyncIoStream> aInner, kj::Own<Connection> aConnection)
    : connection(kj::mv(aConnection))
    , inner_(kj::mv(aInner))
  {
  }

  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Hands an open connection over for a lingering close.
  ~Stream() noexcept(false)
  {
    if (isEnded_ || isReading_) {
      return;
    }
    kj::Maybe<Error> error;
    if (isHeadExpected_ && headBytes_ > 0) {
      // kj closes the connection without an answer in these two cases.
      error = headBytes_ < kMinTooLargeHead
                ? Error{ ErrorKind::RequestTimeout, "the head was sent too slowly" }
                : Error{ ErrorKind::HeadersTooLarge, "the head is too large" };
    }
    connection->Linger(kj::mv(inner_), kj::mv(error));
  }

  kj::Own<Connection> connection;

  /// Tells that the head of a request was read, or that the next one may come.
  void ExpectHead(bool aIsExpected)
  {
    isHeadExpected_ = aIsExpected;
    headBytes_ = 0;
  }

  /// Calls back once if the caller's data end before WatchEnd(nullptr).
  void WatchEnd(std::function<void()> aOnEnd)
  {
    onEnd_ = std::move(aOnEnd);
    if (onEnd_ == nullptr || isReading_ || begin_ < end_) {
      return;
    }
    if (isEnded_) {
      std::exchange(onEnd_, nullptr)();
      return;
    }
    isReading_ = true;
    ahead_ = inner_->tryRead(buffer_, 1, sizeof(buffer_))
               .then(
                 [this](size_t aRead) {
                   begin_ = 0;
                   end_ = aRead;
                   isEnded_ = aRead == 0;
                 },
                 [this](kj::Exception&&) { isEnded_ = true; })
               .then([this] {
                 isReading_ = false;
                 if (isEnded_ && onEnd_ != nullptr) {
                   std::exchange(onEnd_, nullptr)();
                 }
               })
               .fork();
    reader_ =
      ahead_.addBranch().eagerlyEvaluate([this](kj::Exception&&) { isEnded_ = true; });
  }

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMin, size_t aMax) override
  {
    if (isReading_) {
      // A read is never cancelled, since it may already have taken data.
      return ahead_.addBranch().then(
        [this, aBuffer, aMin, aMax] { return tryRead(aBuffer, aMin, aMax); });
    }
    const size_t size = std::min(aMax, end_ - begin_);
    std::memcpy(aBuffer, buffer_ + begin_, size);
    begin_ += size;
    headBytes_ += size;
    if (size >= aMin || isEnded_) {
      return size;
    }
    return inner_->tryRead(static_cast<char*>(aBuffer) + size, aMin - size, aMax - size)
      .then(
        [this, size, aMin](size_t aRead) {
          isEnded_ = size + aRead < aMin;
          headBytes_ += aRead;
          return size + aRead;
        },
        [this](kj::Exception&& aError) -> size_t {
          isEnded_ = true;
          kj::throwFatalException(kj::mv(aError));
        });
  }

  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    headBytes_ = 0;
    return inner_->write(aBuffer, aSize);
  }

  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    headBytes_ = 0;
    return inner_->write(aPieces);
  }

  kj::Promise<void> whenWriteDisconnected() override
  {
    return inner_->whenWriteDisconnected();
  }

  void shutdownWrite() override { inner_->shutdownWrite(); }

private:
  kj::Own<kj::AsyncIoStream> inner_;
  std::function<void()> onEnd_;
  bool isReading_ = false;
  bool isEnded_ = false;
  bool isHeadExpected_ = true;
  size_t headBytes_ = 0; // of a head that is not whole yet and has no answer
  size_t begin_ = 0;
  size_t end_ = 0;
  char buffer_[1024];
  kj::ForkedPromise<void> ahead_ = nullptr;
  kj::Promise<void> reader_ = nullptr;
};

/// One request and its answer. kj destroys it with the handler's promise, either after
/// the answer or when the caller's connection ended.
class CallerHttp::Exchange
{
public:
  Exchange(CallerHttp& aPort, Stream& aStream, kj::HttpService::Response& aResponse)
    : id(RequestId{ ++aPort.lastRequest_ })
    , port_(aPort)
    , stream_(aStream)
    , response_(aResponse)
  {
    port_.exchanges_.emplace(id, this);
    stream_.ExpectHead(false);
  }

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  ~Exchange() noexcept(false)
  {
    port_.exchanges_.erase(id);
    if (isComplete_) {
      stream_.ExpectHead(true);
    }
    if (isEmitted_ && !isComplete_) {
      port_.Emit(CallerGone{ id });
    }
  }

  /// Reads the request, emits it and sends the answer.
  kj::Promise<void> Run(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                        const kj::HttpHeaders& aHeaders, kj::AsyncInputStream& aBody)
  {
    const CallerHttpOptions& options = port_.options_;
    if (port_.exchanges_.size() > options.maxRequests) {
      return Fail(ErrorKind::Overloaded, "too many requests are running");
    }
    KJ_IF_MAYBE (length, aBody.tryGetLength()) {
      if (*length > options.maxBodyBytes) {
        return FailTooLarge();
      }
    }
    request_ = CallerRequest{ .request = id,
                              .method = kj::str(aMethod).cStr(),
                              .target = { aUrl.begin(), aUrl.size() },
                              .headers = FromKj(aHeaders),
                              .body = {} };
    using Outcome = kj::Maybe<bool>; // null: timeout
    auto timeout =
      options.timer.afterDelay(ToKj(options.bodyTimeout)).then([]() -> Outcome {
        return nullptr;
      });
    return ReadBounded(aBody, options.maxBodyBytes, request_.body)
      .then([](bool aIsWhole) -> Outcome { return aIsWhole; })
      .exclusiveJoin(kj::mv(timeout))
      .then([this](Outcome aOutcome) -> kj::Promise<void> {
        KJ_IF_MAYBE (isWhole, aOutcome) {
          if (!*isWhole) {
            return FailTooLarge();
          }
          return Handle();
        }
        return Fail(ErrorKind::RequestTimeout, "the body was sent too slowly");
      });
  }

  void SetWhole(const ReplyWhole& aReply)
  {
    if (whole_ || head_) {
      stream_.connection->CloseLater(); // the answer cannot be completed
      return;
    }
    whole_ = aReply;
    Wake();
  }

  void SetHead(const Headers& aHeaders)
  {
    if (whole_ || head_) {
      return;
    }
    head_ = EndToEndHeaders(aHeaders);
    Wake();
  }

  void AddEvent(const ReplyStreamEvent& aEvent)
  {
    if (!head_ || hasEnd_ || isOverflowing_) {
      return;
    }
    AppendEvent(queue_, aEvent);
    if (queue_.size() + writing_.size() > port_.options_.maxQueuedBytes) {
      isOverflowing_ = true;
      queue_.clear();
      stream_.connection->CloseLater();
      return;
    }
    Wake();
  }

  void SetEnd()
  {
    if (head_ && !isOverflowing_) {
      hasEnd_ = true;
      Wake();
    }
  }

  const RequestId id;

private:
  kj::Promise<void> Handle()
  {
    if (port_.options_.isHalfCloseGone) {
      stream_.WatchEnd([this] { stream_.connection->CloseLater(); });
    }
    isEmitted_ = true;
    isHead_ = request_.method == "HEAD";
    // Emitted in a fresh turn, so that the answer never comes before Pump() waits.
    port_.Emit(std::move(request_));
    return Pump().then(
      [this]() -> kj::Promise<void> {
        isComplete_ = true;
        stream_.WatchEnd(nullptr);
        return kj::READY_NOW;
      },
      [this](kj::Exception&& aError) -> kj::Promise<void> {
        if (isSent_) {
          return kj::mv(aError);
        }
        return Fail(ErrorKind::Internal, "the answer could not be sent");
      });
  }

  /// Writes what is there, then waits for more, until the answer is complete.
  kj::Promise<void> Pump()
  {
    if (whole_) {
      return SendWhole();
    }
    if (head_ && out_.get() == nullptr) {
      kj::HttpHeaders headers(HeaderTable());
      AddHeaders(headers, *head_);
      headers.set(kj::HttpHeaderId::CONTENT_TYPE, "text/event-stream");
      // kj sends the head together with the first event.
      out_ = response_.send(200, "OK", headers);
      isSent_ = true;
    }
    if (!queue_.empty()) {
      writing_ = std::exchange(queue_, {}); // all queued events in one write
      return out_->write(writing_.data(), writing_.size()).then([this] {
        writing_.clear();
        return Pump();
      });
    }
    if (hasEnd_) {
      out_ = nullptr;
      return kj::READY_NOW;
    }
    auto waiting = kj::newPromiseAndFulfiller<void>();
    wake_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return Pump(); });
  }

  kj::Promise<void> SendWhole()
  {
    ReplyWhole& reply = *whole_;
    kj::HttpHeaders headers(HeaderTable());
    AddHeaders(headers, EndToEndHeaders(reply.headers));
    if (isHead_) {
      if (const auto length = FindHeader(reply.headers, "Content-Length");
          !length.empty()) {
        headers.set(kj::HttpHeaderId::CONTENT_LENGTH,
                    kj::heapString(length.data(), length.size()));
      }
    }
    const bool isValid = reply.status >= 200 && reply.status <= 599;
    const int status = isValid ? reply.status : 502;
    const bool hasBody = !isHead_ && status != 204 && status != 205 && status != 304;
    if (!hasBody) {
      reply.body.clear();
    }
    out_ = response_.send(static_cast<kj::uint>(status), ReasonPhrase(status), headers,
                          reply.body.size());
    isSent_ = true;
    if (reply.body.empty()) {
      out_ = nullptr;
      return kj::READY_NOW;
    }
    return out_->write(reply.body.data(), reply.body.size()).then([this] {
      out_ = nullptr;
    });
  }

  kj::Promise<void> Fail(ErrorKind aKind, std::string aMessage)
  {
    return port_.SendError(response_, aKind, std::move(aMessage), id);
  }

  kj::Promise<void> FailTooLarge()
  {
    return Fail(ErrorKind::BodyTooLarge, "the body is over " +
                                           std::to_string(port_.options_.maxBodyBytes) +
                                           " bytes");
  }

  void Wake()
  {
    if (wake_.get() != nullptr) {
      auto wake = kj::mv(wake_);
      wake->fulfill();
    }
  }

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

/// Serves the requests of one connection.
class CallerHttp::Service final : public kj::HttpService
{
public:
  Service(CallerHttp& aPort, Stream& aStream)
    : port_(aPort)
    , stream_(aStream)
  {
  }

  kj::Promise<void> request(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders, kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    auto exchange = kj::heap<Exchange>(port_, stream_, aResponse);
    Exchange& ref = *exchange;
    return ref.Run(aMethod, aUrl, aHeaders, aBody).attach(kj::mv(exchange));
  }

private:
  CallerHttp& port_;
  Stream& stream_;
};

CallerHttp::CallerHttp(CallerHttpOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    listener_ = (*address)->listen();
  } else {
    KJ_FAIL_REQUIRE("the caller address is not IP:port", options_.address.c_str());
  }
  port_ = static_cast<uint16_t>(listener_->getPort());
  kj::HttpServerSettings settings;
  settings.headerTimeout = ToKj(options_.headTimeout);
  settings.pipelineTimeout = ToKj(options_.idleTimeout);
  settings.canceledUploadGraceBytes = options_.maxDiscardedBytes;
  settings.canceledUploadGracePeriod = ToKj(options_.discardTimeout);
  settings.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
  settings.errorHandler = static_cast<kj::HttpServerErrorHandler&>(*this);
  server_ = kj::heap<kj::HttpServer>(
    options_.timer, HeaderTable(),
    [this](kj::AsyncIoStream& aStream) -> kj::Own<kj::HttpService> {
      return kj::heap<Service>(*this, static_cast<Stream&>(aStream));
    },
    settings);
  accepting_ = AcceptLoop().eagerlyEvaluate(
    [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
}

CallerHttp::~CallerHttp() noexcept(false)
{
  isClosing_ = true;
}

kj::Promise<void> CallerHttp::AcceptLoop()
{
  return listener_->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) -> kj::Promise<void> {
        Serve(kj::mv(aStream));
        return kj::READY_NOW;
      },
      [this](kj::Exception&&) -> kj::Promise<void> {
        // For example, the process has no free file descriptor: retry without spinning.
        return options_.timer.afterDelay(50 * kj::MILLISECONDS);
      })
    .then([this] { return AcceptLoop(); });
}

void CallerHttp::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  if (connectionCount_ >= options_.maxConnections) {
    Refuse(kj::mv(aStream));
    return;
  }
  auto connection = kj::refcounted<Connection>(*this);
  auto stream = kj::heap<Stream>(kj::mv(aStream), kj::addRef(*connection));
  auto served = connection->canceler.wrap(server_->listenHttp(kj::mv(stream)));
  // Broken connections and bad requests are the callers' failures.
  tasks_.add(served.catch_([](kj::Exception&&) {}).attach(kj::mv(connection)));
}

void CallerHttp::Refuse(kj::Own<kj::AsyncIoStream> aStream)
{
  if (refusalCount_ >= kMaxRefusals) {
    return; // closed without an answer
  }
  ++refusalCount_;
  tasks_.add(CloseLingering(kj::mv(aStream), Error{ ErrorKind::Overloaded,
                                                    "too many connections are open" })
               .then([this] { --refusalCount_; }));
}

kj::Promise<void> CallerHttp::CloseLingering(kj::Own<kj::AsyncIoStream> aStream,
                                             kj::Maybe<Error> aError)
{
  auto answer = kj::heap<std::string>();
  KJ_IF_MAYBE (error, aError) {
    *answer = RawAnswer(*error, RequestId{ ++lastRequest_ });
  }
  kj::AsyncIoStream& stream = *aStream;
  auto closed = stream.write(answer->data(), answer->size()).then([this, &stream] {
    stream.shutdownWrite();
    auto sink = kj::heap<Discard>();
    auto pumped = stream.pumpTo(*sink, options_.maxDiscardedBytes);
    return pumped.ignoreResult().attach(kj::mv(sink));
  });
  return options_.timer.timeoutAfter(ToKj(options_.discardTimeout), kj::mv(closed))
    .catch_([](kj::Exception&&) {})
    .attach(kj::mv(answer), kj::mv(aStream));
}

void CallerHttp::Emit(Event aEvent)
{
  if (!isClosing_) {
    tasks_.add(kj::evalLater(
      [this, event = std::move(aEvent)]() mutable { options_.sink(std::move(event)); }));
  }
}

CallerHttp::Exchange* CallerHttp::Find(RequestId aId)
{
  const auto found = exchanges_.find(aId);
  return found == exchanges_.end() ? nullptr : found->second;
}

void CallerHttp::Execute(const ReplyWhole& aAction)
{
  if (Exchange* exchange = Find(aAction.request)) {
    exchange->SetWhole(aAction);
  }
}

void CallerHttp::Execute(const ReplyStreamHead& aAction)
{
  if (Exchange* exchange = Find(aAction.request)) {
    exchange->SetHead(aAction.headers);
  }
}

void CallerHttp::Execute(const ReplyStreamEvent& aAction)
{
  if (Exchange* exchange = Find(aAction.request)) {
    exchange->AddEvent(aAction);
  }
}

void CallerHttp::Execute(const ReplyStreamEnd& aAction)
{
  if (Exchange* exchange = Find(aAction.request)) {
    exchange->SetEnd();
  }
}

void CallerHttp::Stop()
{
  if (std::exchange(isStopped_, true)) {
    return;
  }
  tasks_.add(kj::evalLater([this] {
    accepting_ = nullptr;
    listener_ = nullptr;
    return server_->drain();
  }));
}

kj::Promise<void> CallerHttp::SendError(kj::HttpService::Response& aResponse,
                                        ErrorKind aKind, std::string aMessage,
                                        RequestId aId)
{
  const ErrorInfo& info = InfoOf(aKind);
  auto body = kj::heap<std::string>(ErrorBody(Error{ aKind, std::move(aMessage) }));
  kj::HttpHeaders headers(HeaderTable());
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  headers.add("X-Request-Id", kj::str(aId.value));
  if (info.retryAfterSeconds > 0) {
    headers.add("Retry-After", kj::str(info.retryAfterSeconds));
  }
  auto out = aResponse.send(static_cast<kj::uint>(info.status), ReasonPhrase(info.status),
                            headers, body->size());
  auto written = out->write(body->data(), body->size());
  return written.attach(kj::mv(out), kj::mv(body));
}

kj::Promise<void> CallerHttp::handleClientProtocolError(
  kj::HttpHeaders::ProtocolError aError, kj::HttpService::Response& aResponse)
{
  ErrorKind kind = ErrorKind::BadRequest;
  if (aError.statusCode == 408) {
    kind = ErrorKind::RequestTimeout;
  } else if (aError.statusCode == 431) {
    kind = ErrorKind::HeadersTooLarge;
  }
  return SendError(aResponse, kind, aError.description.cStr(),
                   RequestId{ ++lastRequest_ });
}

kj::Promise<void> CallerHttp::handleApplicationError(
  kj::Exception aError, kj::Maybe<kj::HttpService::Response&> aResponse)
{
  KJ_IF_MAYBE (response, aResponse) {
    if (aError.getType() == kj::Exception::Type::DISCONNECTED) {
      return kj::READY_NOW;
    }
    const RequestId id{ ++lastRequest_ };
    // kj reports a head over its fixed limit as an exception with this text.
    if (std::strstr(aError.getDescription().cStr(), "headers too large") != nullptr) {
      return SendError(*response, ErrorKind::HeadersTooLarge, "the head is too large",
                       id);
    }
    // What fails before an answer is the reading of the request, for example a malformed
    // chunk of its body.
    return SendError(*response, ErrorKind::BadRequest, "the request is malformed", id);
  }
  return kj::READY_NOW;
}

kj::Promise<void> CallerHttp::handleNoResponse(kj::HttpService::Response& aResponse)
{
  return SendError(aResponse, ErrorKind::Internal, "no answer was made",
                   RequestId{ ++lastRequest_ });
}

} // namespace gooseberrypath
