#include "gooseberrypath/caller_exchange.h"

#include <utility>

#include <kj/debug.h>

namespace gooseberrypath {

namespace {

size_t SizeOf(const Headers& aHeaders)
{
  size_t size = 0;
  for (const Header& header : aHeaders) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

} // namespace

namespace {

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

} // namespace

CallerHttp::Exchange::Exchange(CallerHttp& aPort, Stream& aStream,
                               kj::HttpService::Response& aResponse)
  : id(RequestId{ ++aPort.lastRequest_ })
  , port_(aPort)
  , stream_(aStream)
  , response_(aResponse)
{
  port_.exchanges_.emplace(id, this);
  stream_.ExpectHead(false);
}

CallerHttp::Exchange::~Exchange() noexcept(false)
{
  port_.exchanges_.erase(id);
  if (isComplete_) {
    stream_.ExpectHead(true);
  }
  if (isEmitted_ && !isComplete_) {
    port_.Emit(CallerGone{ id });
  }
}

kj::Promise<void> CallerHttp::Exchange::Run(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                                            const kj::HttpHeaders& aHeaders,
                                            kj::AsyncInputStream& aBody)
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
  if (SizeOf(request_.headers) > options.maxHeaderBytes) {
    return Fail(ErrorKind::HeadersTooLarge, "the header fields have more than " +
                                              std::to_string(options.maxHeaderBytes) +
                                              " bytes");
  }
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

void CallerHttp::Exchange::SetWhole(const ReplyWhole& aReply)
{
  if (whole_ || head_) {
    stream_.connection->CloseLater(); // the answer cannot be completed
    return;
  }
  whole_ = aReply;
  Wake();
}

void CallerHttp::Exchange::SetHead(const Headers& aHeaders)
{
  if (whole_ || head_) {
    return;
  }
  head_ = EndToEndHeaders(aHeaders);
  Wake();
}

void CallerHttp::Exchange::AddEvent(const ReplyStreamEvent& aEvent)
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

void CallerHttp::Exchange::SetEnd()
{
  if (head_ && !isOverflowing_) {
    hasEnd_ = true;
    Wake();
  }
}

kj::Promise<void> CallerHttp::Exchange::Handle()
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

kj::Promise<void> CallerHttp::Exchange::Pump()
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

kj::Promise<void> CallerHttp::Exchange::SendWhole()
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

kj::Promise<void> CallerHttp::Exchange::Fail(ErrorKind aKind, std::string aMessage)
{
  return port_.SendError(response_, aKind, std::move(aMessage), id);
}

kj::Promise<void> CallerHttp::Exchange::FailTooLarge()
{
  return Fail(ErrorKind::BodyTooLarge, "the body is over " +
                                         std::to_string(port_.options_.maxBodyBytes) +
                                         " bytes");
}

void CallerHttp::Exchange::Wake()
{
  if (wake_.get() != nullptr) {
    auto wake = kj::mv(wake_);
    wake->fulfill();
  }
}

} // namespace gooseberrypath
