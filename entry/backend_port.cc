#include "entry/backend_port.h"

#include <algorithm>
#include <utility>

#include "entry/event_splitter.h"
#include "entry/http_reader.h"
#include "entry/http_text.h"
#include "entry/socket.h"
#include "gooseberrypath/http_io.h"
#include "platform/call_format.h"

namespace gooseberrypath::entry {

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

} // namespace

/// A connection to a backend that is being made.
struct BackendPort::Connecting
{
  StartAttempt action;
  kj::Promise<void> task = nullptr;
};

/// A connection to a backend. It runs one call at a time.
class BackendPort::Link
{
public:
  Link(BackendPort& aPort, std::string aAddress, kj::Own<kj::AsyncIoStream> aStream)
    : address(std::move(aAddress))
    , port_(aPort)
    , reader_({ .isRequest = false,
                .onHead = [this](HttpHead& aHead) { OnHead(aHead); },
                .onBody = [this](std::string_view aBytes) { OnBody(aBytes); },
                .onEnd = [this] { isAnswerWhole_ = true; } })
    , socket_(kj::mv(aStream),
              { .onBytes = [this](std::span<const char> aBytes) { OnBytes(aBytes); },
                .onClosed = [this](bool aIsReset) { OnClosed(aIsReset); } })
  {
    socket_.SetSilenceLimit(port_.options_.silenceLimit);
    keepAlive_ = port_.options_.defaultKeepAlive;
  }

  /// Sends the call of the attempt.
  void Begin(const StartAttempt& aAction)
  {
    attempt_ = aAction.attempt;
    requestId_ = aAction.requestId;
    isStream_ = aAction.isStream;
    hasServed_ = std::exchange(isUsed_, true);
    skippedBytes_ = 0;
    head_ = BackendHead{};
    DropBody();
    if (aAction.method == "HEAD") {
      reader_.ExpectNoBody();
    }
    socket_.Write(platform::EncodeAttempt(aAction));
    socket_.Write(aAction.body);
  }

  /// Makes no more callbacks, also for bytes that are being read right now.
  void Silence()
  {
    socket_.Silence();
    attempt_ = AttemptId{};
    DropBody();
  }

  /// Tells whether the connection may be used for a call after this idle time.
  bool IsFresh(TimePoint aNow, bool aMayRepeat) const
  {
    const Duration idle = aNow - idleSince_;
    const Duration limit = keepAlive_ - port_.options_.keepAliveMargin;
    return idle < (aMayRepeat ? limit : std::min(limit, port_.options_.maxIdleForOnce));
  }

  const std::string address;

private:
  bool IsRunning() const { return attempt_ != AttemptId{}; }

  void OnBytes(std::span<const char> aBytes)
  {
    if (!IsRunning()) {
      // Bytes that belong to no call; the connection cannot be trusted any more.
      port_.options_.sink(UnaskedBytes{ address });
      port_.RemoveIdle(*this);
      return;
    }
    if (!IsAnswering()) {
      skippedBytes_ += aBytes.size();
    }
    const bool isWell = reader_.Feed(aBytes);
    if (IsRunning() && !IsAnswering() && skippedBytes_ > port_.options_.maxSkippedBytes) {
      Break("too many bytes came before the answer", true);
      return;
    }
    Proceed(isWell);
  }

  /// Tells whether the answer to this call has begun.
  bool IsAnswering() const { return head_.status != 0 && head_.isForThisCall; }

  void Proceed(bool aIsWell)
  {
    while (aIsWell && isAnswerWhole_ && IsRunning()) {
      isAnswerWhole_ = false;
      if (!head_.isForThisCall) {
        // The answer to another call; the one to this call may still come.
        isTainted_ = true;
        head_ = BackendHead{};
        aIsWell = reader_.Next();
        continue;
      }
      Complete();
      return;
    }
    if (!aIsWell && IsRunning()) {
      const bool isOversized = reader_.IsHeadTooLarge();
      Break(isOversized ? "the head of the answer is too large"
                        : "the answer is malformed",
            isOversized);
    }
  }

  void OnHead(HttpHead& aHead)
  {
    head_ = platform::DecodeBackendHead(aHead, requestId_);
    head_.closesConnection = head_.closesConnection || !aHead.keepsAlive;
    if (hasServed_ && !head_.namesCall && !head_.isOtherBackend) {
      // It may be a late copy of the answer to an earlier call on this connection.
      Break("the answer names no call");
      return;
    }
    if (head_.isForThisCall && IsEventStream()) {
      port_.options_.sink(StreamStarted{ attempt_, head_ });
    }
  }

  bool IsEventStream() const { return isStream_ && head_.status == 200; }

  void OnBody(std::string_view aBytes)
  {
    if (!IsRunning() || !head_.isForThisCall) {
      return;
    }
    if (IsEventStream()) {
      SplitEvents events = splitter_.Feed(aBytes);
      NoteKept(splitter_.Rest().size());
      if (!events.bytes.empty()) {
        port_.options_.sink(
          StreamEvents{ attempt_, std::move(events.bytes), std::move(events.lastId) });
      }
      CheckKept(port_.options_.maxEventBytes);
      return;
    }
    body_.append(aBytes);
    NoteKept(body_.size());
    CheckKept(port_.options_.maxAnswerBytes);
  }

  /// Ends the attempt if too much of its answer is kept.
  void CheckKept(size_t aLimit)
  {
    if (!IsRunning()) {
      return; // it was cancelled for the events before
    }
    if (keptBytes_ > aLimit) {
      Break("a part of the answer is too large", true);
    } else if (port_.keptBytes_ > port_.options_.maxKeptBytes) {
      Break("the answers that are being read are too large together", true);
    }
  }

  void NoteKept(size_t aBytes)
  {
    port_.keptBytes_ += aBytes - keptBytes_;
    keptBytes_ = aBytes;
  }

  void DropBody()
  {
    NoteKept(0);
    body_ = std::string();
    splitter_ = EventSplitter{};
  }

  /// The whole answer to the call was read.
  void Complete()
  {
    const AttemptId attempt = attempt_;
    const bool isStream = IsEventStream();
    const bool isReusable = !isTainted_ && !head_.closesConnection &&
                            reader_.KeptBytes() == 0 && socket_.QueuedBytes() == 0 &&
                            !isEnded_;
    attempt_ = AttemptId{};
    std::string body = std::move(body_);
    std::string rest = splitter_.Rest();
    DropBody();
    if (head_.keepAlive) {
      keepAlive_ = *head_.keepAlive;
    }
    if (isReusable && reader_.Next()) {
      idleSince_ = port_.options_.now();
      port_.Keep(attempt);
    } else {
      port_.Remove(attempt);
    }
    if (!isStream) {
      port_.options_.sink(AttemptAnswered{ attempt, std::move(head_), std::move(body) });
      return;
    }
    if (!rest.empty()) {
      port_.options_.sink(StreamEvents{ attempt, std::move(rest), {} });
    }
    port_.options_.sink(StreamEnded{ attempt });
  }

  void Break(std::string aReason, bool aIsOversized = false)
  {
    const AttemptId attempt = std::exchange(attempt_, AttemptId{});
    DropBody();
    port_.Remove(attempt);
    port_.options_.sink(AttemptBroken{ attempt, std::move(aReason), aIsOversized });
  }

  void OnClosed(bool aIsReset)
  {
    isEnded_ = true;
    if (!IsRunning()) {
      port_.RemoveIdle(*this);
      return;
    }
    if (!aIsReset && reader_.FeedEnd()) {
      Proceed(true);
    }
    if (IsRunning()) {
      Break(aIsReset ? "the connection was reset" : "the connection was closed");
    }
  }

  BackendPort& port_;
  HttpReader reader_;
  AttemptId attempt_; // 0: idle
  std::string requestId_;
  bool isStream_ = false;
  bool isAnswerWhole_ = false;
  bool isUsed_ = false;     // a call was sent
  bool hasServed_ = false;  // another call was sent before the present one
  bool isTainted_ = false;  // an answer to another call was seen
  size_t skippedBytes_ = 0; // read before the answer to the call began
  size_t keptBytes_ = 0;    // of the answer, until they are passed on
  bool isEnded_ = false;    // the backend closed its side
  BackendHead head_;
  std::string body_;
  EventSplitter splitter_;
  Duration keepAlive_{};
  TimePoint idleSince_{};
  Socket socket_; // last, so that its tasks end first
};

BackendPort::BackendPort(BackendPortOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  tasks_.add(SweepLoop());
}

BackendPort::~BackendPort() = default;

void BackendPort::Execute(const StartAttempt& aAction)
{
  if (kj::Own<Link> link = TakeIdle(aAction); link.get() != nullptr) {
    Begin(kj::mv(link), aAction);
    return;
  }
  auto connecting = kj::heap<Connecting>();
  connecting->action = aAction;
  const AttemptId id = aAction.attempt;
  const Duration timeout = std::min(options_.connectTimeout, aAction.timeLeft);
  auto task = Connect(options_.network, options_.timer, aAction.address, timeout)
                .then(
                  [this, id](kj::Own<kj::AsyncIoStream> aStream) {
                    const auto found = connecting_.find(id);
                    if (found == connecting_.end()) {
                      return; // cancelled in this turn
                    }
                    const StartAttempt action = std::move(found->second->action);
                    // This is a continuation of the promise in the entry, so it is
                    // dropped later.
                    tasks_.add(kj::evalLater(
                      [entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
                    connecting_.erase(found);
                    if (options_.now() > action.sendBy) {
                      options_.sink(AttemptNotSent{ id, "connecting took too long" });
                      return;
                    }
                    Begin(kj::heap<Link>(*this, action.address, kj::mv(aStream)), action);
                  },
                  [this, id](kj::Exception&& aError) {
                    const auto found = connecting_.find(id);
                    if (found == connecting_.end()) {
                      return; // cancelled in this turn
                    }
                    tasks_.add(kj::evalLater(
                      [entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
                    connecting_.erase(found);
                    options_.sink(AttemptNotSent{ id, aError.getDescription().cStr() });
                  })
                .eagerlyEvaluate(
                  [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
  connecting->task = kj::mv(task);
  connecting_.emplace(id, kj::mv(connecting));
}

void BackendPort::Begin(kj::Own<Link> aLink, const StartAttempt& aAction)
{
  Link& link = *aLink;
  busy_.emplace(aAction.attempt, kj::mv(aLink));
  link.Begin(aAction);
  options_.sink(AttemptSent{ aAction.attempt });
}

kj::Own<BackendPort::Link> BackendPort::TakeIdle(const StartAttempt& aAction)
{
  const auto found = idle_.find(aAction.address);
  if (found == idle_.end()) {
    return {};
  }
  auto& links = found->second;
  // The one that was used last is the least likely to be closed.
  if (links.empty() || !links.back()->IsFresh(options_.now(), aAction.mayRepeat)) {
    return {};
  }
  kj::Own<Link> link = kj::mv(links.back());
  links.pop_back();
  return link;
}

void BackendPort::Keep(AttemptId aAttempt)
{
  const auto found = busy_.find(aAttempt);
  kj::Own<Link> link = kj::mv(found->second);
  busy_.erase(found);
  const std::string address = link->address;
  idle_[address].push_back(kj::mv(link));
}

void BackendPort::Remove(AttemptId aAttempt)
{
  if (const auto found = busy_.find(aAttempt); found != busy_.end()) {
    kj::Own<Link> link = kj::mv(found->second);
    busy_.erase(found);
    DropLater(kj::mv(link));
  }
}

void BackendPort::RemoveIdle(const Link& aLink)
{
  const auto found = idle_.find(aLink.address);
  if (found == idle_.end()) {
    return;
  }
  auto& links = found->second;
  const auto at = std::ranges::find_if(
    links, [&](const kj::Own<Link>& aOne) { return aOne.get() == &aLink; });
  if (at != links.end()) {
    kj::Own<Link> link = kj::mv(*at);
    links.erase(at);
    DropLater(kj::mv(link));
  }
}

void BackendPort::DropLater(kj::Own<Link> aLink)
{
  aLink->Silence();
  tasks_.add(kj::evalLater([link = kj::mv(aLink)]() mutable { link = nullptr; }));
}

void BackendPort::Execute(const CancelAttempt& aAction)
{
  if (const auto found = connecting_.find(aAction.attempt); found != connecting_.end()) {
    tasks_.add(
      kj::evalLater([entry = kj::mv(found->second)]() mutable { entry = nullptr; }));
    connecting_.erase(found);
    return;
  }
  Remove(aAction.attempt);
}

void BackendPort::Execute(const DropConnections& aAction)
{
  const auto found = idle_.find(aAction.address);
  if (found == idle_.end()) {
    return;
  }
  auto links = std::move(found->second);
  idle_.erase(found);
  for (kj::Own<Link>& link : links) {
    DropLater(kj::mv(link));
  }
}

size_t BackendPort::IdleCount() const
{
  size_t count = 0;
  for (const auto& [address, links] : idle_) {
    count += links.size();
  }
  return count;
}

kj::Promise<void> BackendPort::SweepLoop()
{
  return options_.timer.afterDelay(ToKj(kSweepInterval)).then([this] {
    const TimePoint now = options_.now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      auto& links = it->second;
      while (!links.empty() && !links.front()->IsFresh(now, true)) {
        kj::Own<Link> link = kj::mv(links.front());
        links.erase(links.begin());
        DropLater(kj::mv(link));
      }
      it = links.empty() ? idle_.erase(it) : std::next(it);
    }
    return SweepLoop();
  });
}

} // namespace gooseberrypath::entry
