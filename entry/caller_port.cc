#include "entry/caller_port.h"

#include <algorithm>
#include <utility>

#include "entry/http_format.h"
#include "entry/http_reader.h"
#include "entry/socket.h"
#include "gooseberrypath/body_buffer.h"
#include "gooseberrypath/errors.h"
#include <kj/debug.h>

#include "gooseberrypath/http_io.h"
#include "gooseberrypath/longest_waiting.h"
#include "platform/call_format.h"

namespace gooseberrypath::entry {

namespace {

// Interval between checks of the connections' timeouts.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);

// Time for which a connection is still read after its last response. Closing a socket
// with unread bytes resets the connection, and the caller could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(2);

// Bodies up to this size are copied behind the head, so that both go into one packet.
constexpr size_t kMaxCopiedBody = size_t{ 16 } * 1024;

// While the port drains, a connection is closed only after it was idle for this time. A
// request may already be on its way if the connection was just opened or just got its
// last response.
constexpr Duration kMinIdleBeforeClose = std::chrono::milliseconds(400);

// Time in which the connections in the listen backlog are accepted before listening ends.
constexpr Duration kBacklogDrainTime = std::chrono::milliseconds(5);

// How often it is checked whether the caller has acknowledged all bytes of a response
// that ends with a reset, which would discard the others.
constexpr Duration kDeliveryPollInterval = std::chrono::milliseconds(10);

// Limit for unsent bytes of a stream. A caller that reads too slowly to stay below it is
// disconnected.
constexpr size_t kMaxQueuedBytes = size_t{ 2 } * 1024 * 1024;

// Reading pauses when this many bytes of pipelined requests are buffered.
constexpr size_t kMaxPipelinedBytes = size_t{ 64 } * 1024;

// The head of a call is held twice: in the core and in the attempt that is being sent.
constexpr size_t kHeadCopies = 2;

// Mean rate that a body needs after the idle timeout, in bytes a second. A mobile
// connection of 20 kbit/s has more than twice of it.
constexpr double kMinBodyRate = 1024;

} // namespace

/// A connection of a caller. It serves one request at a time.
class CallerPort::Connection
{
public:
  Connection(CallerPort& aPort, uint64_t aId, kj::Own<kj::AsyncIoStream> aStream)
    : port_(aPort)
    , id_(aId)
    , reader_({ .isRequest = true,
                .maxHeadBytes = aPort.limits_.maxHeadBytes,
                .onHead = [this](HttpHead& aHead) { OnHead(aHead); },
                .onBody = [this](std::string_view aBytes) { OnBody(aBytes); },
                .onEnd = [this] { isRequestComplete_ = true; } })
    , charge_(aPort.options_.memory)
    , streamCharge_(aPort.options_.responseMemory)
    , timeoutStart_(aPort.options_.now())
    , progressAt_(timeoutStart_)
    , socket_(kj::mv(aStream),
              { .onBytes = [this](std::span<const char> aBytes) { OnBytes(aBytes); },
                .onClosed = [this](SocketEnd) { OnClosed(); },
                .onDrained = [this] { OnDrained(); },
                .bulkTurns = aPort.options_.bulkTurns })
  {
  }

  void SendResponse(const WriteResponse& aResponse)
  {
    const bool hasBody = head_.method != "HEAD";
    BeginBody(hasBody ? aResponse.framing : BodyFraming::Length,
              aResponse.closesConnection);
    socket_.Write(FormatResponseHead(aResponse.status, aResponse.headers,
                                     { .framing = framing_,
                                       .bodySize = aResponse.body.size(),
                                       .closes = closesAfterResponse_ }));
    if (hasBody && aResponse.body.size() <= kMaxCopiedBody) {
      socket_.Write(aResponse.body);
    } else if (hasBody) {
      socket_.WriteShared(aResponse.body);
    }
    takenAt_ = port_.options_.now();
    undelivered_ = socket_.QueuedBytes();
    Finish(closesAfterResponse_);
  }

  void SendStreamHead(const WriteStreamHead& aResponse)
  {
    BeginBody(aResponse.framing, false);
    socket_.Write(
      FormatResponseHead(aResponse.status, aResponse.headers,
                         { .framing = framing_, .closes = closesAfterResponse_ }));
  }

  void SendStreamBytes(std::string_view aBytes)
  {
    if (framing_ != BodyFraming::Chunked) {
      socket_.Write(aBytes);
    } else if (!aBytes.empty()) {
      socket_.Write(FormatChunk(aBytes));
    }
  }

  void SendStreamEnd()
  {
    if (framing_ == BodyFraming::Chunked) {
      socket_.Write(kLastChunk);
    }
    Finish(closesAfterResponse_);
  }

  /// Ends the connection. A response in progress stays visibly incomplete.
  void Abort()
  {
    ReleaseExchange();
    if (framing_ == BodyFraming::CloseDelimited) {
      BeginLingerTime();
      port_.tasks_.add(port_.ResetWhenDelivered(id_));
    } else {
      StartLingering();
    }
  }

  /// Charges the bytes of a stream that wait for the caller. Returns false if there is no
  /// room for them.
  bool ChargeStream()
  {
    const size_t queued = socket_.QueuedBytes();
    return streamCharge_.TryResize(queued) ||
           (port_.MakeRoomForResponse(queued - streamCharge_.Bytes()) &&
            streamCharge_.TryResize(queued));
  }

  /// Tells whether the caller has acknowledged all that was written to it.
  bool IsDelivered() const { return socket_.IsDelivered(); }

  bool IsWriteQueueFull() const { return socket_.QueuedBytes() > kMaxQueuedBytes; }

  /// Closes the connection if it carries no request and was idle for long enough that
  /// none is likely to be on its way.
  void CloseIfIdle(TimePoint aNow)
  {
    const bool isIdle =
      exchange_ == ExchangeId{} && !reader_.IsInMessage() && !lingerEnd_;
    if (isIdle && timeoutStart_ + kMinIdleBeforeClose <= aNow) {
      StartLingering();
    }
  }

  /// Refuses a request that arrives too slowly and closes an idle or lingering connection
  /// whose time is over.
  void CheckTimeouts(TimePoint aNow)
  {
    const CallerLimits& limits = port_.limits_;
    NoteTakenBytes(aNow);
    if (lingerEnd_) {
      CheckLingering(aNow);
    } else if (exchange_ != ExchangeId{}) {
      return;
    } else if (reader_.IsInMessage()) {
      const Duration limit = isHeadRead_ ? limits.idleTimeout : limits.headTimeout;
      if (timeoutStart_ + limit <= aNow || IsBodyTooSlow(aNow)) {
        Refuse(ErrorKind::RequestTimeout, "the request was sent too slowly");
      }
    } else if (timeoutStart_ + limits.idleTimeout <= aNow) {
      StartLingering();
    } else if (port_.isDraining_) {
      CloseIfIdle(aNow);
    }
  }

  void DisableCallbacks() { socket_.DisableCallbacks(); }

  uint64_t Id() const { return id_; }

  /// Returns the time since which an incomplete request, which takes up enough memory to
  /// be worth dropping, made no progress. Empty: there is none.
  std::optional<TimePoint> StalledSince() const
  {
    return IsIncomplete() && charge_.Bytes() >= kMinDroppedBytes
             ? std::optional(progressAt_)
             : std::nullopt;
  }

  /// Returns the time since which the connection has nothing to do but to wait for its
  /// caller. Empty: it carries a call, or a response that is being written.
  std::optional<TimePoint> WaitsSince() const
  {
    if (exchange_ != ExchangeId{} || socket_.QueuedBytes() > 0) {
      return std::nullopt;
    }
    if (lingerEnd_) {
      return *lingerEnd_ - kLingerTime;
    }
    return IsIncomplete() ? progressAt_ : timeoutStart_;
  }

  /// Returns the time since which the caller has taken nothing of a response that waits
  /// for it. Empty: there is none.
  std::optional<TimePoint> UntakenSince() const
  {
    return exchange_ == ExchangeId{} && socket_.QueuedBytes() >= kMinDroppedBytes
             ? std::optional(takenAt_)
             : std::nullopt;
  }

  /// Refuses the incomplete request, which is slow, to make room for others.
  void DropSlowRequest()
  {
    Refuse(ErrorKind::RequestTimeout,
           "the request was sent too slowly while memory ran short");
  }

private:
  /// Tells whether a request is being received and not yet passed to the core.
  bool IsIncomplete() const
  {
    return exchange_ == ExchangeId{} && !lingerEnd_ && reader_.IsInMessage();
  }

  /// Tells whether the body arrives at less than the minimum rate. A byte now and then
  /// restarts the idle timeout and must not keep the body open without end.
  bool IsBodyTooSlow(TimePoint aNow) const
  {
    if (!isHeadRead_) {
      return false;
    }
    const std::chrono::duration<double> late =
      aNow - bodyStart_ - port_.limits_.idleTimeout;
    return static_cast<double>(body_.size()) < kMinBodyRate * late.count();
  }

  /// Notes whether the caller has acknowledged bytes of its response since the last
  /// check.
  void NoteTakenBytes(TimePoint aNow)
  {
    if (socket_.QueuedBytes() == 0) {
      return;
    }
    const size_t undelivered = socket_.UndeliveredBytes();
    if (undelivered != std::exchange(undelivered_, undelivered)) {
      takenAt_ = aNow;
    }
  }

  void OnBytes(std::span<const char> aBytes)
  {
    if (lingerEnd_) {
      return;
    }
    const bool wasInMessage = reader_.IsInMessage();
    const bool isValid = reader_.Feed(aBytes);
    if (reader_.IsInMessage() && (!wasInMessage || isHeadRead_)) {
      timeoutStart_ = port_.options_.now();
    }
    if (reader_.IsInMessage() && !wasInMessage && !isHeadRead_) {
      progressAt_ = timeoutStart_;
    }
    HandleParsed(isValid);
  }

  /// Returns the memory of the request that is being read and of buffered bytes.
  size_t HeldBytes() const
  {
    const size_t head = isHeadRead_ ? headMemory_ : reader_.HeadMemoryBytes();
    return kHeadCopies * head + body_.Capacity() + reader_.BufferedBytes();
  }

  /// Charges the memory that the connection holds, and aMore bytes that it is about to
  /// take up, after making room for them if need be. Returns false if there is none.
  bool Charge(size_t aMore = 0)
  {
    const size_t bytes = HeldBytes() + aMore;
    return charge_.TryResize(bytes) ||
           (port_.MakeRoom(bytes - charge_.Bytes(), *this) && charge_.TryResize(bytes));
  }

  void RefuseForMemory()
  {
    ++port_.shortages_.refusedRequests;
    Refuse(ErrorKind::Overloaded, kNoRoomMessage);
  }

  /// Submits or refuses the request after bytes were parsed. aIsValid: the bytes are a
  /// valid part of an HTTP request.
  void HandleParsed(bool aIsValid)
  {
    if (lingerEnd_) {
      return;
    }
    if (!aIsValid) {
      if (exchange_ == ExchangeId{}) {
        Refuse(reader_.IsHeadTooLarge() ? ErrorKind::HeadersTooLarge
                                        : ErrorKind::BadRequest,
               "the request is malformed or its head is too large");
      }
      return;
    }
    if (exchange_ == ExchangeId{} && !awaitsNextRequest_ && !Charge()) {
      RefuseForMemory();
      return;
    }
    if (std::exchange(isRequestComplete_, false)) {
      Submit();
    }
    if (exchange_ != ExchangeId{} || awaitsNextRequest_) {
      ChargePipelinedBytes();
    }
  }

  /// Charges the bytes that are buffered behind a running call or a response that is
  /// being written. They are never dropped, so reading pauses when they are many or
  /// memory runs short.
  void ChargePipelinedBytes()
  {
    charge_.Resize(reader_.BufferedBytes());
    const bool isShort =
      reader_.BufferedBytes() > 0 && port_.options_.memory->Free() == 0;
    if ((reader_.BufferedBytes() > kMaxPipelinedBytes || isShort) && !isPaused_) {
      isPaused_ = true;
      socket_.Pause();
    }
  }

  void OnHead(HttpHead& aHead)
  {
    headMemory_ = reader_.HeadMemoryBytes();
    head_ = std::move(aHead);
    isHeadRead_ = true;
    bodyStart_ = port_.options_.now();
    progressAt_ = bodyStart_;
    progressBytes_ = 0;
    if (!requestStart_) {
      requestStart_ = bodyStart_;
    }
    if (head_.bodyBytes.value_or(0) > port_.limits_.maxBodyBytes) {
      Refuse(ErrorKind::BodyTooLarge, "the body is too large");
      return;
    }
    if (!Charge()) {
      RefuseForMemory();
      return;
    }
    if (!FindHeader(head_.headers, "Expect").empty()) {
      socket_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void OnBody(std::string_view aBytes)
  {
    if (lingerEnd_) {
      return;
    }
    if (body_.size() + aBytes.size() > port_.limits_.maxBodyBytes) {
      Refuse(ErrorKind::BodyTooLarge, "the body is too large");
      return;
    }
    const size_t limit =
      static_cast<size_t>(head_.bodyBytes.value_or(port_.limits_.maxBodyBytes));
    const size_t capacity = body_.CapacityFor(body_.size() + aBytes.size(), limit);
    if (!Charge(capacity - body_.Capacity())) {
      RefuseForMemory();
      return;
    }
    body_.Append(aBytes, capacity);
    if (body_.size() >= progressBytes_ + kProgressBytes) {
      progressBytes_ = body_.size();
      progressAt_ = port_.options_.now();
    }
  }

  /// Passes a complete request to the core, unless its response would find no room.
  void Submit()
  {
    if (!port_.MakeRoomForResponse(1)) {
      RefuseForMemory();
      return;
    }
    exchange_ = ExchangeId{ ++port_.lastExchangeId_ };
    port_.exchanges_.emplace(exchange_, id_);
    const TimePoint requestStart = requestStart_.value_or(port_.options_.now());
    MemoryCharge charge = charge_.Split(kHeadCopies * headMemory_ + body_.Capacity());
    SharedBytes body(body_.Take(), std::move(charge));
    Call call = platform::DecodeCall(head_, std::move(body), requestStart);
    ReleaseHead();
    port_.options_.sink(CallArrived{ exchange_, std::move(call) });
  }

  /// Frees the request's head but for what its response depends on.
  void ReleaseHead()
  {
    HttpHead kept{ .method = std::move(head_.method),
                   .keepsConnectionOpen = head_.keepsConnectionOpen,
                   .acceptsChunks = head_.acceptsChunks };
    std::swap(head_, kept); // an assignment of empty strings would keep their memory
    headMemory_ = 0;
  }

  /// Decides how the body that begins will end: its framing, and whether the connection
  /// closes after it.
  void BeginBody(BodyFraming aFraming, bool aCloses)
  {
    framing_ = aFraming;
    closesAfterResponse_ = aCloses || port_.isDraining_ || !head_.keepsConnectionOpen ||
                           aFraming == BodyFraming::CloseDelimited;
    if (aFraming == BodyFraming::CloseDelimited) {
      socket_.ResetUnlessFinished();
    }
  }

  /// Ends the exchange after its response was queued. Closes the connection or prepares
  /// it for the next request.
  void Finish(bool aCloses)
  {
    ReleaseExchange();
    framing_ = BodyFraming::None;
    requestStart_.reset();
    isHeadRead_ = false;
    timeoutStart_ = port_.options_.now();
    if (aCloses) {
      StartLingering();
      return;
    }
    awaitsNextRequest_ = true;
    if (socket_.QueuedBytes() == 0) {
      ReadNextRequestLater();
    }
  }

  /// Continues with the next request in a later turn of the event loop, because the
  /// reader may be running a callback.
  void ReadNextRequestLater()
  {
    port_.tasks_.add(kj::evalLater([&port = port_, id = id_] {
      const auto found = port.connections_.find(id);
      if (found != port.connections_.end()) {
        found->second->ReadNextRequest();
      }
    }));
  }

  void ReadNextRequest()
  {
    // A caller that does not take its responses gets no further ones, which would wait in
    // memory. OnDrained() continues.
    if (lingerEnd_ || !awaitsNextRequest_ || socket_.QueuedBytes() > 0) {
      return;
    }
    awaitsNextRequest_ = false;
    reader_.SetMaxHeadBytes(port_.limits_.maxHeadBytes);
    const bool isValid = reader_.Next();
    if (std::exchange(isPaused_, false)) {
      socket_.Resume();
    }
    HandleParsed(isValid);
  }

  void OnDrained()
  {
    streamCharge_.Resize(0);
    if (awaitsNextRequest_) {
      ReadNextRequestLater();
    }
  }

  /// Detaches the current exchange from this connection.
  void ReleaseExchange()
  {
    port_.exchanges_.erase(exchange_);
    exchange_ = ExchangeId{};
  }

  /// Sends an error response to a request that cannot be read and closes the connection.
  void Refuse(ErrorKind aKind, std::string_view aMessage)
  {
    const ErrorInfo& info = InfoOf(aKind);
    const std::string body = ErrorBody(Error{ aKind, std::string(aMessage) });
    Headers headers{ { "Content-Type", "application/json" } };
    if (info.retryAfterSeconds > 0) {
      headers.push_back({ "Retry-After", std::to_string(info.retryAfterSeconds) });
    }
    socket_.Write(FormatResponseHead(info.status, headers,
                                     { .bodySize = body.size(), .closes = true }));
    socket_.Write(body);
    StartLingering();
  }

  /// Removes a lingering connection whose time is over. The time begins anew while the
  /// caller still takes bytes of its response.
  void CheckLingering(TimePoint aNow)
  {
    const size_t queued = socket_.QueuedBytes();
    if (queued < std::exchange(lingeringBytes_, queued)) {
      lingerEnd_ = aNow + kLingerTime;
    }
    if (*lingerEnd_ <= aNow) {
      port_.Remove(id_);
    }
  }

  /// Closes the sending side after the queued bytes. Received bytes are discarded until
  /// kLingerTime is over.
  void StartLingering()
  {
    BeginLingerTime();
    if (std::exchange(isPaused_, false)) {
      socket_.Resume();
    }
    socket_.CloseAfterWrites();
  }

  /// Begins the time after which the connection is closed. What was read is freed.
  void BeginLingerTime()
  {
    body_.Release();
    ReleaseHead();
    reader_.Release();
    charge_.Resize(0);
    lingerEnd_ = port_.options_.now() + kLingerTime;
    lingeringBytes_ = socket_.QueuedBytes();
  }

  void OnClosed()
  {
    const ExchangeId exchange = exchange_;
    if (exchange != ExchangeId{}) {
      ReleaseExchange();
      port_.options_.sink(CallerDisconnected{ exchange });
    }
    port_.Remove(id_);
  }

  CallerPort& port_;
  const uint64_t id_;
  HttpReader reader_;
  HttpHead head_;
  BodyBuffer body_;
  MemoryCharge charge_;       // for what was read and not passed to the core
  MemoryCharge streamCharge_; // for bytes of a stream that wait for the caller
  size_t headMemory_ = 0;     // of head_, in bytes
  size_t progressBytes_ = 0;  // of the body, at the last progress
  ExchangeId exchange_;       // of the submitted request; 0 if there is none
  TimePoint timeoutStart_;    // of the idle, head or body timeout
  TimePoint bodyStart_;       // when its head was read
  TimePoint progressAt_;      // when the request last made progress
  std::optional<TimePoint> requestStart_; // when its head was read
  std::optional<TimePoint> lingerEnd_;
  size_t lingeringBytes_ = 0; // queued at the last check, while lingering
  TimePoint takenAt_;         // when the caller last took bytes of its response
  size_t undelivered_ = 0;    // bytes of the response, at the last check
  bool isHeadRead_ = false;
  bool isRequestComplete_ = false;
  bool awaitsNextRequest_ = false; // until the response is written
  bool isPaused_ = false;
  BodyFraming framing_ = BodyFraming::None; // of the response in progress
  bool closesAfterResponse_ = false;
  Socket socket_; // destroyed first, since its tasks call the members above
};

CallerPort::CallerPort(CallerPortOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    listener_ = (*address)->listen();
  } else {
    kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "the listen address for callers is malformed"));
  }
  acceptTask_ = AcceptLoop().eagerlyEvaluate(
    [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
  tasks_.add(SweepLoop());
}

CallerPort::~CallerPort() = default;

kj::Promise<void> CallerPort::AcceptLoop()
{
  return listener_->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) -> kj::Promise<void> {
        if (connections_.size() < options_.maxConnections || MakeRoomForConnection()) {
          const uint64_t id = ++lastConnectionId_;
          connections_.emplace(id, kj::heap<Connection>(*this, id, kj::mv(aStream)));
        }
        return kj::READY_NOW;
      },
      [this](kj::Exception&& aError) -> kj::Promise<void> {
        // While the process has no free file descriptors, accept() fails immediately. The
        // delay keeps the loop from spinning.
        errors_.taskFailed(kj::mv(aError));
        return options_.timer.afterDelay(20 * kj::MILLISECONDS);
      })
    .then([this] { return AcceptLoop(); });
}

kj::Promise<void> CallerPort::SweepLoop()
{
  return options_.timer.afterDelay(ToKj(kSweepInterval)).then([this] {
    const TimePoint now = options_.now();
    std::vector<Connection*> connections;
    for (auto& [id, connection] : connections_) {
      connections.push_back(connection.get());
    }
    for (Connection* connection : connections) {
      connection->CheckTimeouts(now); // may remove it; it is destroyed in a later turn
    }
    ReportMemory();
    return SweepLoop();
  });
}

bool CallerPort::MakeRoom(size_t aBytes, const Connection& aFor)
{
  while (options_.memory->Free() < aBytes) {
    LongestWaiting<Connection> slowest(options_.now());
    for (auto& [id, connection] : connections_) {
      if (connection.get() != &aFor) {
        slowest.Offer(*connection, connection->StalledSince());
      }
    }
    if (slowest.Get() == nullptr) {
      return false;
    }
    ++shortages_.droppedRequests;
    slowest.Get()->DropSlowRequest(); // frees its memory
  }
  return true;
}

bool CallerPort::MakeRoomForResponse(size_t aBytes)
{
  while (options_.responseMemory->Free() < aBytes) {
    LongestWaiting<Connection> longest(options_.now(), kMaxUntakenTime);
    for (auto& [id, connection] : connections_) {
      longest.Offer(*connection, connection->UntakenSince());
    }
    if (longest.Get() == nullptr) {
      return false;
    }
    ++shortages_.droppedResponses;
    // Destroyed at once, not in a later turn, so that its memory is free. It has no call,
    // and nothing that runs now belongs to it.
    connections_.erase(longest.Get()->Id());
    ReportIfDrained();
  }
  return true;
}

bool CallerPort::MakeRoomForConnection()
{
  LongestWaiting<Connection> longest(options_.now());
  for (auto& [id, connection] : connections_) {
    longest.Offer(*connection, connection->WaitsSince());
  }
  if (longest.Get() == nullptr) {
    return false;
  }
  ++shortages_.droppedConnections;
  Remove(longest.Get()->Id());
  return true;
}

void CallerPort::ReportMemory()
{
  freedMemory_.Update(options_.memory->InUse() + options_.responseMemory->InUse());
  if (shortages_ != reportedShortages_) {
    reportedShortages_ = shortages_;
    if (options_.onShortage) {
      options_.onShortage(shortages_);
    }
  }
}

CallerPort::Connection* CallerPort::Find(ExchangeId aId)
{
  const auto exchange = exchanges_.find(aId);
  if (exchange == exchanges_.end()) {
    return nullptr;
  }
  const auto found = connections_.find(exchange->second);
  return found == connections_.end() ? nullptr : found->second.get();
}

void CallerPort::Remove(uint64_t aConnection)
{
  const auto found = connections_.find(aConnection);
  if (found == connections_.end()) {
    return;
  }
  kj::Own<Connection> connection = kj::mv(found->second);
  connections_.erase(found);
  connection->DisableCallbacks();
  tasks_.add(
    kj::evalLater([connection = kj::mv(connection)]() mutable { connection = nullptr; }));
  ReportIfDrained();
}

kj::Promise<void> CallerPort::ResetWhenDelivered(uint64_t aConnection)
{
  return options_.timer.afterDelay(ToKj(kDeliveryPollInterval))
    .then([this, aConnection]() -> kj::Promise<void> {
      const auto found = connections_.find(aConnection);
      if (found == connections_.end()) {
        return kj::READY_NOW;
      }
      if (!found->second->IsDelivered()) {
        return ResetWhenDelivered(aConnection);
      }
      Remove(aConnection);
      return kj::READY_NOW;
    });
}

void CallerPort::ReportIfDrained()
{
  if (isDraining_ && connections_.empty()) {
    options_.sink(AllCallersDisconnected{});
  }
}

void CallerPort::Execute(const WriteResponse& aAction)
{
  if (Connection* connection = Find(aAction.exchange)) {
    connection->SendResponse(aAction);
  }
}

void CallerPort::Execute(const WriteStreamHead& aAction)
{
  if (Connection* connection = Find(aAction.exchange)) {
    connection->SendStreamHead(aAction);
  }
}

void CallerPort::Execute(const WriteStreamBytes& aAction)
{
  Connection* connection = Find(aAction.exchange);
  if (connection == nullptr) {
    return;
  }
  connection->SendStreamBytes(aAction.bytes);
  if (connection->IsWriteQueueFull() || !connection->ChargeStream()) {
    connection->Abort();
    options_.sink(CallerDisconnected{ aAction.exchange });
  }
}

void CallerPort::Execute(const FinishStream& aAction)
{
  if (Connection* connection = Find(aAction.exchange)) {
    connection->SendStreamEnd();
  }
}

void CallerPort::Execute(const AbortResponse& aAction)
{
  if (Connection* connection = Find(aAction.exchange)) {
    connection->Abort();
  }
}

void CallerPort::Execute(const SetCallerLimits& aAction)
{
  limits_ = aAction.limits;
  options_.memory->SetLeastBound(limits_.maxBodyBytes + kMaxPipelinedBytes +
                                 kHeadCopies *
                                   HttpReader::MaxHeadMemoryBytes(limits_.maxHeadBytes));
}

void CallerPort::Execute(const CloseIdleCallerConnections&)
{
  isDraining_ = true;
  const TimePoint now = options_.now();
  for (auto& [id, connection] : connections_) {
    connection->CloseIfIdle(now);
  }
  ReportIfDrained();
}

void CallerPort::Execute(const StopAccepting&)
{
  // Closing the listening socket resets the connections in its backlog, and their
  // requests would be lost. They are accepted first.
  tasks_.add(options_.timer.afterDelay(ToKj(kBacklogDrainTime)).then([this] {
    return kj::evalLast([this] {
      acceptTask_ = nullptr;
      listener_ = nullptr;
      ReportIfDrained();
    });
  }));
}

} // namespace gooseberrypath::entry
