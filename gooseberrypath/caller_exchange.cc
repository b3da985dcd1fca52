#include "gooseberrypath/caller_exchange.h"

#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/caller_head.h"
#include "gooseberrypath/longest_waiting.h"

namespace gooseberrypath {

namespace {

// Parts in which a body is read.
constexpr size_t kReadBytes = size_t{ 8 } * 1024;

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
  , queueCharge_(aPort.options_.answerMemory)
{
  port_.exchanges_.emplace(id, this);
  stream_.ExpectHead(false);
}

CallerHttp::Exchange::~Exchange() noexcept(false)
{
  port_.exchanges_.erase(id);
  if (isComplete_ || !isEmitted_) {
    stream_.ExpectHead(true);
  }
  if (isEmitted_ && !isComplete_) {
    port_.Emit(CallerGone{ id });
  }
  (void)stream_.connection->TakeRequestCharge(); // of a request that was given up
}

kj::Promise<void> CallerHttp::Exchange::Run(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                                            const kj::HttpHeaders& aHeaders,
                                            kj::AsyncInputStream& aBody)
{
  const CallerHttpOptions& options = port_.options_;
  if (port_.exchanges_.size() > options.maxRequests) {
    return Fail(ErrorKind::Overloaded, "too many requests are running");
  }
  bodyLimit_ = options.maxBodyBytes;
  KJ_IF_MAYBE (length, aBody.tryGetLength()) {
    if (*length > options.maxBodyBytes) {
      return RefuseTooLarge();
    }
    bodyLimit_ = *length;
  }
  if (SizeOf(aHeaders).bytes > options.maxHeaderBytes) {
    return Refuse(ErrorKind::HeadersTooLarge, "the header fields have more than " +
                                                std::to_string(options.maxHeaderBytes) +
                                                " bytes");
  }
  if (!port_.MakeRoomForAnswer(1) || !TakeHead(aMethod, aUrl, aHeaders)) {
    return RefuseForMemory();
  }
  if (bodyLimit_ == 0) {
    return Handle();
  }
  stream_.connection->BeginWait();
  readBuffer_ = kj::heapArray<char>(std::min<uint64_t>(kReadBytes, bodyLimit_));
  auto timeout = options.timer.afterDelay(ToKj(options.bodyTimeout)).then([] {
    return ReadEnd::TimedOut;
  });
  return ReadBody(aBody).exclusiveJoin(kj::mv(timeout)).then([this](ReadEnd aEnd) {
    return HandleRead(aEnd);
  });
}

bool CallerHttp::Exchange::TakeHead(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                                    const kj::HttpHeaders& aHeaders)
{
  const HeadSize size = SizeOf(aHeaders);
  headMemory_ = HeadMemory(size) + aUrl.size();
  if (!stream_.connection->ChargeHead(0, size.fields) ||
      !stream_.connection->ChargeRequest(headMemory_)) {
    return false;
  }
  request_ = CallerRequest{ .request = id,
                            .method = kj::str(aMethod).cStr(),
                            .target = { aUrl.begin(), aUrl.size() },
                            .headers = FromKj(aHeaders) };
  return true;
}

kj::Promise<CallerHttp::Exchange::ReadEnd> CallerHttp::Exchange::ReadBody(
  kj::AsyncInputStream& aBody)
{
  return aBody.tryRead(readBuffer_.begin(), 1, readBuffer_.size())
    .then([this, &aBody](size_t aRead) -> kj::Promise<ReadEnd> {
      if (aRead == 0) {
        return ReadEnd::Whole;
      }
      if (body_.size() + aRead > bodyLimit_) {
        return ReadEnd::TooLarge;
      }
      if (!AppendBody({ readBuffer_.begin(), aRead })) {
        return ReadEnd::NoRoom;
      }
      return ReadBody(aBody);
    });
}

bool CallerHttp::Exchange::AppendBody(std::string_view aBytes)
{
  const size_t capacity = body_.CapacityFor(body_.size() + aBytes.size(), bodyLimit_);
  if (!stream_.connection->ChargeRequest(headMemory_ + readBuffer_.size() + capacity)) {
    return false;
  }
  body_.Append(aBytes, capacity);
  if (body_.size() >= progressBytes_ + kProgressBytes) {
    progressBytes_ = body_.size();
    stream_.connection->BeginWait();
  }
  return true;
}

kj::Promise<void> CallerHttp::Exchange::HandleRead(ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Whole:
      return Handle();
    case ReadEnd::TooLarge:
      return RefuseTooLarge();
    case ReadEnd::NoRoom:
      return RefuseForMemory();
    case ReadEnd::TimedOut:
      break;
  }
  return Refuse(ErrorKind::RequestTimeout, "the body was sent too slowly");
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
  const size_t queued = queue_.size() + writing_.size();
  if (queued > port_.options_.maxQueuedBytes || !ChargeQueue(queued)) {
    isOverflowing_ = true;
    queue_.clear();
    stream_.connection->CloseLater();
    return;
  }
  Wake();
}

bool CallerHttp::Exchange::ChargeQueue(size_t aBytes)
{
  return queueCharge_.TryResize(aBytes) ||
         (port_.MakeRoomForAnswer(aBytes - queueCharge_.Bytes()) &&
          queueCharge_.TryResize(aBytes));
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
  stream_.connection->EndWait();
  readBuffer_ = nullptr;
  request_.body = SharedBytes(body_.Take(), stream_.connection->TakeRequestCharge());
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
      queueCharge_.Resize(queue_.size());
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
    reply.body = {};
  }
  out_ = response_.send(static_cast<kj::uint>(status), ReasonPhrase(status), headers,
                        reply.body.size());
  isSent_ = true;
  if (reply.body.empty()) {
    out_ = nullptr;
    return kj::READY_NOW;
  }
  return out_->write(reply.body.begin(), reply.body.size()).then([this] {
    out_ = nullptr;
  });
}

kj::Promise<void> CallerHttp::Exchange::Fail(ErrorKind aKind, std::string aMessage)
{
  return port_.SendError(response_, aKind, std::move(aMessage), id);
}

kj::Promise<void> CallerHttp::Exchange::Refuse(ErrorKind aKind, std::string aMessage)
{
  // The connection is closed without kj, which would keep its memory until it has read
  // and discarded what the caller still sends.
  stream_.connection->RefuseLater(Error{ aKind, std::move(aMessage) });
  return kj::NEVER_DONE;
}

kj::Promise<void> CallerHttp::Exchange::RefuseTooLarge()
{
  return Refuse(ErrorKind::BodyTooLarge, "the body is over " +
                                           std::to_string(port_.options_.maxBodyBytes) +
                                           " bytes");
}

kj::Promise<void> CallerHttp::Exchange::RefuseForMemory()
{
  ++port_.shortages_.refusedRequests;
  return Refuse(ErrorKind::Overloaded, std::string(kNoRoomMessage));
}

void CallerHttp::Exchange::Wake()
{
  if (wake_.get() != nullptr) {
    auto wake = kj::mv(wake_);
    wake->fulfill();
  }
}

} // namespace gooseberrypath
