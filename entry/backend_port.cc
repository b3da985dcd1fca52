#include "entry/backend_port.h"

#include <algorithm>
#include <utility>

#include "entry/http_format.h"
#include "entry/http_reader.h"
#include "entry/socket.h"
#include "entry/sse_event_splitter.h"
#include "gooseberrypath/body_buffer.h"
#include "gooseberrypath/http_io.h"
#include "platform/call_format.h"

namespace gooseberrypath::entry {

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

// A connection on which more calls were refused is closed.
constexpr size_t kMaxRefusedIds = 32;

// Most responses have less than this.
constexpr size_t kFirstResponseBytes = 1024;

} // namespace

/// An attempt whose connection to the backend is being established.
struct BackendPort::PendingConnect
{
  StartAttempt action;
  kj::Promise<void> task = nullptr;
};

/// A connection to a backend. It carries one call at a time.
class BackendPort::Connection
{
public:
  Connection(BackendPort& aPort, std::string aAddress, kj::Own<kj::AsyncIoStream> aStream)
    : address(std::move(aAddress))
    , port_(aPort)
    , reader_({ .isRequest = false,
                .onHead = [this](HttpHead& aHead) { OnHead(aHead); },
                .onBody = [this](std::string_view aBytes) { OnBody(aBytes); },
                .onEnd = [this] { isResponseComplete_ = true; } })
    , charge_(aPort.options_.responseMemory)
    , socket_(kj::mv(aStream),
              { .onBytes = [this](std::span<const char> aBytes) { OnBytes(aBytes); },
                .onClosed = [this](SocketEnd aEnd) { OnClosed(aEnd); },
                .bulkTurns = aPort.options_.bulkTurns })
  {
    socket_.SetPeerTimeout(port_.options_.peerTimeout);
    keepAlive_ = port_.options_.defaultKeepAlive;
  }

  /// Writes the call and starts to wait for its response.
  void SendCall(const StartAttempt& aAction)
  {
    attempt_ = aAction.attempt;
    requestId_ = aAction.requestId;
    isStream_ = aAction.isStream;
    received_ = ReceivedBody{};
    hasSentEarlierCall_ = std::exchange(hasSentCall_, true);
    discardedBytes_ = 0;
    head_ = ResponseHead{};
    ClearBody();
    if (aAction.method == "HEAD") {
      reader_.ExpectNoBody();
    }
    socket_.Write(platform::EncodeAttemptHead(aAction));
    socket_.WriteShared(aAction.body);
  }

  /// Emits no more events, not even for bytes that are being processed in this turn.
  void DisableCallbacks()
  {
    socket_.DisableCallbacks();
    attempt_ = AttemptId{};
    ClearBody();
  }

  /// Tells whether the backend refused a call with this id on the connection. It may
  /// repeat the refusal, which could be taken for the response to the same call sent
  /// again.
  bool HasRefused(std::string_view aRequestId) const
  {
    return std::ranges::find(refusedIds_, aRequestId) != refusedIds_.end();
  }

  /// Tells whether the connection, which is idle, may carry another call.
  bool IsReusable(TimePoint aNow, bool aMayRetry) const
  {
    const Duration idle = aNow - idleSince_;
    const Duration limit = keepAlive_ - port_.options_.keepAliveMargin;
    return idle <
           (aMayRetry ? limit : std::min(limit, port_.options_.maxIdleForNonRetryable));
  }

  const std::string address;

private:
  bool IsBusy() const { return attempt_ != AttemptId{}; }

  void OnBytes(std::span<const char> aBytes)
  {
    if (!IsBusy()) {
      // The backend sent bytes that belong to no call. They could be mistaken for the
      // response to the next call, so the connection is closed.
      port_.options_.sink(UnsolicitedBytes{ address });
      port_.RemoveIdle(*this);
      return;
    }
    if (!HasResponseBegun()) {
      discardedBytes_ += aBytes.size();
    }
    const bool isValid = reader_.Feed(aBytes);
    if (IsBusy() && !HasResponseBegun() &&
        discardedBytes_ > port_.options_.maxDiscardedBytes) {
      Fail("too many bytes came before the answer", BreakCause::Oversized);
      return;
    }
    HandleParsed(isValid);
  }

  /// Tells whether the head of the response to this call was received.
  bool HasResponseBegun() const { return head_.status != 0 && head_.matchesRequestId; }

  /// Completes or fails the attempt after bytes were parsed. aIsValid: the bytes are a
  /// valid part of an HTTP response.
  void HandleParsed(bool aIsValid)
  {
    PassOnEvents();
    while (aIsValid && isResponseComplete_ && IsBusy()) {
      isResponseComplete_ = false;
      if (!head_.matchesRequestId) {
        // This was the response to another call. The response to this one may follow.
        hasSeenOtherResponse_ = true;
        head_ = ResponseHead{};
        aIsValid = reader_.Next();
        PassOnEvents();
        continue;
      }
      Complete();
      return;
    }
    if (!aIsValid && IsBusy()) {
      const bool isOversized = reader_.IsHeadTooLarge();
      Fail(isOversized ? "the head of the answer is too large"
                       : "the answer is malformed",
           isOversized ? BreakCause::Oversized : BreakCause::Malformed);
    }
  }

  void OnHead(HttpHead& aHead)
  {
    head_ = platform::DecodeBackendHead(aHead, requestId_);
    head_.closesConnection = head_.closesConnection || !aHead.keepsConnectionOpen;
    head_.framing = aHead.framing;
    received_ = ReceivedBody{ .framing = aHead.framing };
    if (hasSentEarlierCall_ && !head_.hasRequestId && !head_.isMisdirected) {
      // Without a request id, it may be a late duplicate of the response to an earlier
      // call on this connection.
      Fail("the answer names no call");
      return;
    }
    if (head_.matchesRequestId && IsEventStream()) {
      port_.options_.sink(StreamStarted{ attempt_, head_ });
    }
  }

  /// Tells whether the response body is passed on event by event.
  bool IsEventStream() const { return isStream_ && head_.status == 200; }

  void OnBody(std::string_view aBytes)
  {
    if (!IsBusy() || !head_.matchesRequestId) {
      return;
    }
    received_.bytes += aBytes.size();
    if (IsEventStream()) {
      streamBytes_ += aBytes;
      return;
    }
    const size_t limit = port_.options_.maxResponseBytes;
    const size_t size = body_.size() + aBytes.size();
    const size_t capacity = body_.CapacityFor(size, limit);
    SetBufferedBytes(size);
    CheckBufferLimits(limit, Charge(capacity));
    if (IsBusy()) {
      body_.Append(aBytes, capacity);
    }
  }

  /// Passes on the events that the bytes of this turn complete, all in one message. A
  /// message costs far more than the bytes of a small chunk, and a backend may send each
  /// event in several of them. Called before the response completes or fails.
  void PassOnEvents()
  {
    if (streamBytes_.empty()) {
      return;
    }
    CompleteEvents events = splitter_.Feed(std::exchange(streamBytes_, {}));
    SetBufferedBytes(splitter_.PartialEvent().size());
    const bool hasRoom = Charge(splitter_.PartialEvent().capacity());
    if (!events.bytes.empty()) {
      received_.events += events.count;
      discardedBytes_ = events.hasData ? 0 : discardedBytes_ + events.bytes.size();
      port_.options_.sink(
        StreamEvents{ attempt_, std::move(events.bytes), std::move(events.lastId) });
    }
    CheckBufferLimits(port_.options_.maxEventBytes, hasRoom);
    if (IsBusy() && discardedBytes_ > port_.options_.maxDiscardedBytes) {
      Fail("too many bytes of the stream brought no event", BreakCause::Oversized);
    }
  }

  /// Fails the attempt if its response takes up too much memory. aLimit is the limit in
  /// bytes for this connection; aHasRoom tells whether the account has room for it.
  void CheckBufferLimits(size_t aLimit, bool aHasRoom)
  {
    if (!IsBusy()) {
      return; // an event emitted before led to the cancellation of the attempt
    }
    if (bufferedBytes_ > aLimit) {
      Fail("a part of the answer is too large", BreakCause::Oversized);
    } else if (!aHasRoom || port_.bufferedBytes_ > port_.options_.maxBufferedBytes) {
      Fail("the answers that are being read or taken are too large together",
           BreakCause::Oversized);
    }
  }

  /// Updates the bytes buffered for this connection and for all connections together.
  void SetBufferedBytes(size_t aBytes)
  {
    port_.bufferedBytes_ += aBytes - bufferedBytes_;
    bufferedBytes_ = aBytes;
  }

  /// Charges the memory of what is buffered, after making room if need be. Returns false
  /// if there is none.
  bool Charge(size_t aBytes)
  {
    return charge_.TryResize(aBytes) ||
           (port_.options_.makeRoom(aBytes - charge_.Bytes()) &&
            charge_.TryResize(aBytes));
  }

  void ClearBody()
  {
    SetBufferedBytes(0);
    charge_.Resize(0);
    body_.Release();
    streamBytes_.clear();
    splitter_ = SseEventSplitter{};
  }

  /// Reports the response, which was read completely, and reuses or closes the
  /// connection.
  void Complete()
  {
    const bool isStream = IsEventStream();
    if (isStream && FailIncompleteStream()) {
      return;
    }
    const AttemptId attempt = attempt_;
    if (head_.wasNotExecuted) {
      refusedIds_.push_back(requestId_);
    }
    const bool isReusable = !hasSeenOtherResponse_ && !head_.closesConnection &&
                            !head_.isMisdirected && reader_.BufferedBytes() == 0 &&
                            socket_.QueuedBytes() == 0 && !isClosedByPeer_ &&
                            refusedIds_.size() <= kMaxRefusedIds;
    attempt_ = AttemptId{};
    SharedBytes body(body_.Take(), charge_.Split(charge_.Bytes()));
    ClearBody();
    if (head_.keepAliveTimeout) {
      keepAlive_ = *head_.keepAliveTimeout;
    }
    if (isReusable && reader_.Next()) {
      idleSince_ = port_.options_.now();
      port_.MoveToIdle(attempt);
    } else {
      port_.RemoveBusy(attempt);
    }
    if (!isStream) {
      port_.options_.sink(AttemptAnswered{ attempt, std::move(head_), std::move(body) });
      return;
    }
    port_.options_.sink(StreamEnded{ attempt, received_ });
  }

  /// Fails a stream that ended inside an event, or with its connection before any event.
  /// Returns whether it did.
  bool FailIncompleteStream()
  {
    const bool isCloseDelimited = isClosedByPeer_ && reader_.EndsWithConnection();
    const BreakCause cause =
      isCloseDelimited ? BreakCause::Closed : BreakCause::Malformed;
    if (!splitter_.PartialEvent().empty()) {
      Fail("the stream ended inside an event", cause);
      return true;
    }
    if (isCloseDelimited && received_.events == 0) {
      Fail("the connection was closed before any event of the stream", cause);
      return true;
    }
    return false;
  }

  /// Closes the connection and reports the attempt as broken.
  void Fail(std::string aReason, BreakCause aCause = BreakCause::Malformed)
  {
    const AttemptId attempt = std::exchange(attempt_, AttemptId{});
    ClearBody();
    port_.RemoveBusy(attempt);
    port_.options_.sink(AttemptBroken{ attempt, std::move(aReason), aCause, received_ });
  }

  void OnClosed(SocketEnd aEnd)
  {
    isClosedByPeer_ = true;
    if (!IsBusy()) {
      port_.RemoveIdle(*this);
      return;
    }
    if (aEnd == SocketEnd::Closed && reader_.FeedEof()) {
      HandleParsed(true);
    }
    if (IsBusy()) {
      FailAtEnd(aEnd);
    }
  }

  /// Reports the attempt as broken by the end of its connection.
  void FailAtEnd(SocketEnd aEnd)
  {
    switch (aEnd) {
      case SocketEnd::Closed:
        Fail("the connection was closed", BreakCause::Closed);
        return;
      case SocketEnd::Reset:
        Fail("the connection was reset", BreakCause::Reset);
        return;
      case SocketEnd::Silent:
        Fail("the backend acknowledged nothing in time", BreakCause::Silent);
        return;
    }
  }

  BackendPort& port_;
  HttpReader reader_;
  AttemptId attempt_; // 0 while the connection is idle
  std::string requestId_;
  bool isStream_ = false;
  bool isResponseComplete_ = false;
  bool hasSentCall_ = false;          // on this connection
  bool hasSentEarlierCall_ = false;   // before the current call
  bool hasSeenOtherResponse_ = false; // a response to another call was read
  size_t discardedBytes_ = 0;   // before the response, or since an event of the stream
  size_t bufferedBytes_ = 0;    // of the response, not yet passed on
  bool isClosedByPeer_ = false; // or the connection was reset
  std::vector<std::string> refusedIds_; // of calls that were refused on this connection
  ResponseHead head_;
  ReceivedBody received_; // of the response to the current call
  BodyBuffer body_{ kFirstResponseBytes };
  MemoryCharge charge_;     // for what is buffered
  std::string streamBytes_; // of a stream, received in this turn
  SseEventSplitter splitter_;
  Duration keepAlive_{};
  TimePoint idleSince_{};
  Socket socket_; // destroyed first, since its tasks call the members above
};

BackendPort::BackendPort(BackendPortOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  if (options_.responseMemory != nullptr) {
    options_.responseMemory->SetLeastBound(options_.maxResponseBytes);
  }
  tasks_.add(SweepLoop());
}

BackendPort::~BackendPort() = default;

void BackendPort::Execute(const StartAttempt& aAction)
{
  if (kj::Own<Connection> connection = TakeIdle(aAction); connection.get() != nullptr) {
    SendCall(kj::mv(connection), aAction);
    return;
  }
  auto pending = kj::heap<PendingConnect>();
  pending->action = aAction;
  const AttemptId id = aAction.attempt;
  const Duration timeout = std::min(options_.connectTimeout, aAction.timeLeft);
  auto task =
    Connect(options_.network, options_.timer, aAction.address, timeout)
      .then(
        [this, id](kj::Own<kj::AsyncIoStream> aStream) {
          const auto found = pendingConnects_.find(id);
          if (found == pendingConnects_.end()) {
            return; // cancelled in this turn of the event loop
          }
          const StartAttempt action = std::move(found->second->action);
          // This code runs as a continuation of the promise that the entry owns, so the
          // entry must not be destroyed before a later turn.
          tasks_.add(kj::evalLater(
            [entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
          pendingConnects_.erase(found);
          if (options_.now() > action.sendBy) {
            options_.sink(AttemptNotSent{ id, "connecting took too long" });
            return;
          }
          SendCall(kj::heap<Connection>(*this, action.address, kj::mv(aStream)), action);
        },
        [this, id](kj::Exception&& aError) {
          const auto found = pendingConnects_.find(id);
          if (found == pendingConnects_.end()) {
            return; // cancelled in this turn of the event loop
          }
          tasks_.add(kj::evalLater(
            [entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
          pendingConnects_.erase(found);
          options_.sink(AttemptNotSent{ id, aError.getDescription().cStr() });
        })
      .eagerlyEvaluate(
        [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
  pending->task = kj::mv(task);
  pendingConnects_.emplace(id, kj::mv(pending));
}

void BackendPort::SendCall(kj::Own<Connection> aConnection, const StartAttempt& aAction)
{
  Connection& connection = *aConnection;
  busy_.emplace(aAction.attempt, kj::mv(aConnection));
  connection.SendCall(aAction);
  options_.sink(AttemptSent{ aAction.attempt });
}

kj::Own<BackendPort::Connection> BackendPort::TakeIdle(const StartAttempt& aAction)
{
  const auto found = idle_.find(aAction.address);
  if (found == idle_.end()) {
    return {};
  }
  auto& connections = found->second;
  // The most recently used connection is the least likely to be closed by the backend.
  if (connections.empty() ||
      !connections.back()->IsReusable(options_.now(), aAction.mayRetry) ||
      connections.back()->HasRefused(aAction.requestId)) {
    return {};
  }
  kj::Own<Connection> connection = kj::mv(connections.back());
  connections.pop_back();
  return connection;
}

void BackendPort::MoveToIdle(AttemptId aAttempt)
{
  const auto found = busy_.find(aAttempt);
  kj::Own<Connection> connection = kj::mv(found->second);
  busy_.erase(found);
  const std::string address = connection->address;
  idle_[address].push_back(kj::mv(connection));
}

void BackendPort::RemoveBusy(AttemptId aAttempt)
{
  if (const auto found = busy_.find(aAttempt); found != busy_.end()) {
    kj::Own<Connection> connection = kj::mv(found->second);
    busy_.erase(found);
    DestroyLater(kj::mv(connection));
  }
}

void BackendPort::RemoveIdle(const Connection& aConnection)
{
  const auto found = idle_.find(aConnection.address);
  if (found == idle_.end()) {
    return;
  }
  auto& connections = found->second;
  const auto at =
    std::ranges::find_if(connections, [&](const kj::Own<Connection>& aCandidate) {
      return aCandidate.get() == &aConnection;
    });
  if (at != connections.end()) {
    kj::Own<Connection> connection = kj::mv(*at);
    connections.erase(at);
    DestroyLater(kj::mv(connection));
  }
}

void BackendPort::DestroyLater(kj::Own<Connection> aConnection)
{
  aConnection->DisableCallbacks();
  tasks_.add(kj::evalLater(
    [connection = kj::mv(aConnection)]() mutable { connection = nullptr; }));
}

void BackendPort::StopConnecting(AttemptId aAttempt)
{
  if (const auto found = pendingConnects_.find(aAttempt);
      found != pendingConnects_.end()) {
    tasks_.add(
      kj::evalLater([entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
    pendingConnects_.erase(found);
  }
}

void BackendPort::Execute(const CancelAttempt& aAction)
{
  StopConnecting(aAction.attempt);
  RemoveBusy(aAction.attempt);
}

void BackendPort::Execute(const WithdrawAttempt& aAction)
{
  if (busy_.contains(aAction.attempt)) {
    return; // its call was written
  }
  StopConnecting(aAction.attempt);
  options_.sink(AttemptWithdrawn{ aAction.attempt });
}

void BackendPort::Execute(const CloseIdleBackendConnections& aAction)
{
  const auto found = idle_.find(aAction.address);
  if (found == idle_.end()) {
    return;
  }
  auto connections = std::move(found->second);
  idle_.erase(found);
  for (kj::Own<Connection>& connection : connections) {
    DestroyLater(kj::mv(connection));
  }
}

size_t BackendPort::IdleCount() const
{
  size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

kj::Promise<void> BackendPort::SweepLoop()
{
  return options_.timer.afterDelay(ToKj(kSweepInterval)).then([this] {
    const TimePoint now = options_.now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto& connections = it->second;
      while (!connections.empty() && !connections.front()->IsReusable(now, true)) {
        kj::Own<Connection> connection = kj::mv(connections.front());
        connections.erase(connections.begin());
        DestroyLater(kj::mv(connection));
      }
      it = connections.empty() ? idle_.erase(it) : std::next(it);
    }
    return SweepLoop();
  });
}

} // namespace gooseberrypath::entry
