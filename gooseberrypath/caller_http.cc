#include "gooseberrypath/caller_http.h"

#include <cstring>
#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/caller_exchange.h"
#include "gooseberrypath/caller_stream.h"
#include "gooseberrypath/longest_waiting.h"

namespace gooseberrypath {

namespace {

constexpr size_t kMaxRefusals = 256;

/// Returns a whole answer for a connection that kj does not serve.
std::string RawAnswer(const Error& aError, const std::string& aId)
{
  const ErrorInfo& info = InfoOf(aError.kind);
  const std::string body = ErrorBody(aError);
  std::string answer =
    "HTTP/1.1 " + std::to_string(info.status) + ' ' + ReasonPhrase(info.status).cStr() +
    "\r\nConnection: close\r\nContent-Type: application/json\r\nX-Request-Id: " + aId +
    "\r\nContent-Length: " + std::to_string(body.size());
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
  options_.memory->SetLeastBound(
    Connection::LargestRequest(options_.maxBodyBytes, options_.maxHeaderBytes));
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
  tasks_.add(ReportLoop());
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
  if (connections_.size() >= options_.maxConnections && !MakeRoomForConnection()) {
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
    *answer = RawAnswer(*error, PublicIdOf(RequestId{ ++lastRequest_ }));
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

bool CallerHttp::MakeRoom(size_t aBytes, const Connection& aFor)
{
  while (options_.memory->Free() < aBytes) {
    LongestWaiting<Connection> slowest(TimeOf(options_.timer));
    for (Connection* connection : connections_) {
      if (connection != &aFor) {
        slowest.Offer(*connection, connection->StalledSince());
      }
    }
    if (slowest.Get() == nullptr) {
      return false;
    }
    ++shortages_.droppedRequests;
    slowest.Get()->Refuse(
      Error{ ErrorKind::RequestTimeout,
             "the request was sent too slowly while memory ran short" });
  }
  return true;
}

bool CallerHttp::MakeRoomForAnswer(size_t aBytes)
{
  while (options_.answerMemory->Free() < aBytes) {
    LongestWaiting<Connection> longest(TimeOf(options_.timer), kMaxUntakenTime);
    for (Connection* connection : connections_) {
      longest.Offer(*connection, connection->UntakenSince());
    }
    if (longest.Get() == nullptr) {
      return false;
    }
    ++shortages_.droppedResponses;
    longest.Get()->Drop();
  }
  return true;
}

bool CallerHttp::MakeRoomForConnection()
{
  LongestWaiting<Connection> longest(TimeOf(options_.timer));
  for (Connection* connection : connections_) {
    longest.Offer(*connection, connection->WaitsSince());
  }
  if (longest.Get() == nullptr) {
    return false;
  }
  ++shortages_.droppedConnections;
  longest.Get()->Drop();
  return true;
}

kj::Promise<void> CallerHttp::ReportLoop()
{
  return options_.timer.afterDelay(ToKj(kShortageReportInterval)).then([this] {
    freedMemory_.Update(options_.memory->InUse() + options_.answerMemory->InUse());
    if (shortages_ != reportedShortages_) {
      reportedShortages_ = shortages_;
      if (options_.onShortage) {
        options_.onShortage(shortages_);
      }
    }
    return ReportLoop();
  });
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

std::string CallerHttp::PublicIdOf(RequestId aId) const
{
  return options_.idPrefix + "-c" + std::to_string(aId.value);
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
  headers.add("X-Request-Id", kj::str(PublicIdOf(aId).c_str()));
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
    if (aError.getType() == kj::Exception::Type::OVERLOADED) {
      return SendError(*response, ErrorKind::Overloaded, std::string(kNoRoomMessage), id);
    }
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
