#include "gooseberrypath/hand_over_system.h"

#include <algorithm>
#include <utility>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/kept_streams.h"
#include "gooseberrypath/peer_order.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "hand-over";
/// Bounds the memory for messages that are being sent.
constexpr size_t kHandOversAtOnce = 32;
/// A peer that has not answered by then is asked again.
constexpr Duration kAskTimeout = 1s;
/// A peer may have taken the stream although its answer was lost. Asked again, it accepts
/// again, and the stream is not run at two peers.
constexpr uint32_t kTriesPerPeer = 2;
/// Each offer of a running request costs the new computation of its prompt, so offers
/// that all peers refused are repeated ever more slowly.
constexpr Duration kRetryPause = 1s;
constexpr Duration kMaxRetryPause = 8s;
/// Ids of requests that were taken over start here; the caller port counts from 1.
constexpr uint64_t kFirstTakenOver = uint64_t{ 1 } << 62;

bool IsComplete(const RequestRow& aRow)
{
  return aRow.chat.maxTokens > 0 && aRow.tokens.size() >= aRow.chat.maxTokens;
}

} // namespace

// ---- At the receiver ----

void HandOverSystem::Handle(const HandOverAsked& aEvent)
{
  const bool isTaken = TakeOver(aEvent.state);
  world_.counters.Add(isTaken ? Counter::StreamsTakenOver : Counter::StreamsNotTakenOver);
  world_.Emit(
    AnswerHandOver{ .question = aEvent.question,
                    .word = isTaken ? HandOverWord::Accepted : HandOverWord::Refused });
}

bool HandOverSystem::TakeOver(const StreamState& aState)
{
  if (world_.state != DaemonState::Serving || !DaemonOfRequest(aState.id)) {
    return false;
  }
  RequestId hint;
  if (FindStream(world_, aState.id, hint)) {
    return true; // an earlier answer was lost
  }
  if (!aState.end) {
    return TakeOverRunning(aState);
  }
  return KeepEnded(world_, aState.id,
                   { .model = aState.model,
                     .createdSeconds = aState.createdSeconds,
                     .tokens = aState.tokens,
                     .end = *aState.end });
}

bool HandOverSystem::TakeOverRunning(const StreamState& aState)
{
  constexpr size_t kSpanDigits = 16;
  constexpr int64_t kMsPerSecond = 1000;
  const auto service = world_.resources.find({ "service", aState.service });
  Result<ChatRequest> chat = ParseChatRequest(aState.chat);
  if (!chat || service == world_.resources.end() ||
      std::get<ServiceSpec>(service->second.spec).kind != ServiceKind::Model ||
      world_.requests.Size() >= world_.options.maxRequests) {
    return false;
  }
  const int64_t ageMs =
    std::max<int64_t>(0, world_.WallMs() - aState.createdSeconds * kMsPerSecond);
  RequestRow row;
  row.publicId = aState.id;
  row.trace = aState.trace;
  row.span = world_.RandomHex(kSpanDigits);
  row.parent = aState.span;
  row.service = aState.service;
  row.team = aState.team;
  row.kind = ServiceKind::Model;
  row.idempotent = true;
  row.arrived = world_.Now() - std::chrono::milliseconds(ageMs);
  row.deadline = world_.Now() + aState.timeLeft;
  row.chat = std::move(*chat);
  row.tokens = aState.tokens;
  for (const std::string& token : row.tokens) {
    row.tokenBytes += token.size();
  }
  const RequestId id{ kFirstTakenOver + world_.NewId<RequestId>().value };
  row.caller.request = id;
  RequestRow& inserted = world_.requests.Insert(id, std::move(row));
  if (!KeepRunning(world_, id, inserted)) {
    world_.requests.Erase(id);
    return false;
  }
  world_.dispatchQueue.push_back(id);
  world_.Log(LogLevel::Info, kPart,
             "took over " + aState.id + " with " + std::to_string(aState.tokens.size()) +
               " tokens");
  return true;
}

// ---- At the daemon that stops ----

void HandOverSystem::Run()
{
  const bool isLast = world_.refusesRequests && world_.requests.IsEmpty();
  if (!world_.IsHandOverDue() && !isLast) {
    return;
  }
  if (world_.IsHandOverDue()) {
    BeginRequests();
  }
  BeginEnded();
  for (auto it = handOvers_.begin(); it != handOvers_.end();) {
    auto& [id, handOver] = *it;
    if (handOver.question != QuestionId{} && world_.Now() >= handOver.due) {
      handOver.question = QuestionId{};
    }
    if (handOver.question == QuestionId{}) {
      Drive(id, handOver);
    }
    it = handOver.toAsk.empty() ? handOvers_.erase(it) : std::next(it);
  }
}

/// Stops the attempts of running requests and begins to offer them.
void HandOverSystem::BeginRequests()
{
  for (auto& [id, row] : world_.requests) {
    if (handOvers_.size() >= kHandOversAtOnce) {
      return;
    }
    const bool isMovable =
      row.kind == ServiceKind::Model && !IsComplete(row) &&
      (row.stage == RequestStage::Ready || row.stage == RequestStage::Running);
    const auto retry = retries_.find(row.publicId);
    if (!isMovable || (retry != retries_.end() && world_.Now() < retry->second.due)) {
      continue;
    }
    std::vector<std::string> receivers = ReceiversOf(world_, row.publicId);
    if (receivers.empty()) {
      continue; // goes on here; gossip may bring a receiver
    }
    if (row.stage == RequestStage::Running) {
      const AttemptId attempt = row.attempt;
      world_.Emit(CancelAttempt{ attempt });
      attempts_.End(attempt, "handed over");
    }
    row.stage = RequestStage::HandingOver;
    std::ranges::reverse(receivers);
    handOvers_[row.publicId] = { .request = id, .toAsk = std::move(receivers) };
  }
}

void HandOverSystem::BeginEnded()
{
  std::vector<std::string> lost;
  for (const auto& [id, row] : world_.endedStreams) {
    if (handOvers_.size() >= kHandOversAtOnce) {
      break;
    }
    if (handOvers_.contains(id)) {
      continue;
    }
    std::vector<std::string> receivers = ReceiversOf(world_, id);
    if (receivers.empty()) {
      lost.push_back(id); // an ended stream does not hold up the stop
      continue;
    }
    std::ranges::reverse(receivers);
    handOvers_[id] = { .request = {}, .toAsk = std::move(receivers) };
  }
  for (const std::string& id : lost) {
    world_.endedStreams.Erase(id);
  }
}

/// Asks the next peer, or gives up when all were asked.
void HandOverSystem::Drive(const std::string& aId, HandOver& aHandOver)
{
  if (aHandOver.tries >= kTriesPerPeer) {
    aHandOver.toAsk.pop_back();
    aHandOver.tries = 0;
  }
  std::optional<StreamState> state = StateOf(aId, aHandOver);
  if (!state) {
    aHandOver.toAsk.clear(); // it expired
    return;
  }
  if (aHandOver.toAsk.empty()) {
    GiveUp(aId, aHandOver);
    return;
  }
  ++aHandOver.tries;
  aHandOver.question = world_.NewId<QuestionId>();
  aHandOver.due = world_.Now() + kAskTimeout;
  WakeAt(aHandOver.due);
  world_.Emit(HandOverStream{ .question = aHandOver.question,
                              .address = aHandOver.toAsk.back(),
                              .state = std::move(*state) });
}

void HandOverSystem::Handle(const HandOverAnswered& aEvent)
{
  const auto found = std::ranges::find_if(handOvers_, [&](const auto& aItem) {
    return aItem.second.question == aEvent.question && aEvent.question != QuestionId{};
  });
  if (found == handOvers_.end()) {
    return;
  }
  auto& [id, handOver] = *found;
  handOver.question = QuestionId{};
  if (aEvent.word == HandOverWord::Accepted) {
    Complete(id, handOver);
    handOvers_.erase(found);
  } else if (aEvent.word == HandOverWord::Refused) {
    handOver.tries = kTriesPerPeer;
  }
}

/// Ends the caller's stream without "[DONE]", so that the caller attaches again.
void HandOverSystem::Complete(const std::string& aId, const HandOver& aHandOver)
{
  world_.counters.Add(Counter::StreamsHandedOver);
  world_.Log(LogLevel::Info, kPart,
             "handed " + aId + " over to " + aHandOver.toAsk.back());
  if (!aHandOver.request) {
    world_.endedStreams.Erase(aId);
    return;
  }
  const RequestId request = *aHandOver.request;
  const RequestRow* row = world_.requests.Find(request);
  if (!row) {
    return;
  }
  if (!row->callerGone && !row->chat.streams) {
    replies_.SendError(
      request, *row,
      { ErrorKind::BackendFailed,
        "this daemon stops; the answer can be read at /v1/streams/" + aId });
  } else if (!row->callerGone) {
    if (!row->headSent) {
      world_.Emit(ReplyStreamHead{ request, { { "X-Request-Id", aId } } });
    }
    world_.Emit(ReplyStreamEnd{ request });
  }
  EraseRequest(world_, request, "handed over");
}

void HandOverSystem::GiveUp(const std::string& aId, const HandOver& aHandOver)
{
  world_.Log(LogLevel::Warning, kPart, "no peer takes " + aId + " over");
  if (!aHandOver.request) {
    world_.endedStreams.Erase(aId);
    return;
  }
  RequestRow* row = world_.requests.Find(*aHandOver.request);
  if (row && row->stage == RequestStage::HandingOver) {
    row->stage = RequestStage::Ready;
    world_.dispatchQueue.push_back(*aHandOver.request);
    Retry& retry = retries_[aId];
    retry.pause =
      std::clamp(2 * retry.pause, Duration(kRetryPause), Duration(kMaxRetryPause));
    retry.due = world_.Now() + retry.pause;
    WakeAt(retry.due);
  }
}

std::optional<StreamState> HandOverSystem::StateOf(const std::string& aId,
                                                   const HandOver& aHandOver) const
{
  if (!aHandOver.request) {
    const EndedStreamRow* row = world_.endedStreams.Find(aId);
    if (!row) {
      return std::nullopt;
    }
    return StreamState{ .id = aId,
                        .model = row->model,
                        .createdSeconds = row->createdSeconds,
                        .tokens = row->tokens,
                        .end = row->end };
  }
  const RequestRow* row = world_.requests.Find(*aHandOver.request);
  if (!row) {
    return std::nullopt;
  }
  return StreamState{ .id = aId,
                      .service = row->service,
                      .team = row->team,
                      .chat = std::string(row->chat.json.View()),
                      .model = row->chat.model,
                      .trace = row->trace,
                      .span = row->span,
                      .createdSeconds = CreatedSeconds(world_, *row),
                      .timeLeft =
                        std::max(Duration::zero(), row->deadline - world_.Now()),
                      .tokens = row->tokens };
}

void HandOverSystem::WakeAt(TimePoint aTime)
{
  world_.timers.SubscribeAt(aTime, [](TimePoint) {});
}

} // namespace gooseberrypath
