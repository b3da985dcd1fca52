#include "gooseberrypath/stream_system.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/peer_order.h"
#include "gooseberrypath/request_intake.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPrefix = "/v1/streams/";
/// A batch, with its JSON form, must stay well below the 256 KiB that the caller port
/// queues for one stream, and below the largest message between peers.
constexpr size_t kBatchTokens = 256;
constexpr size_t kBatchBytes = size_t{ 32 } * 1024;
/// Between batches that catch up, so that the caller port can write them.
constexpr Duration kBatchPause = 10ms;
/// A peer's read waits for a token up to this time, which is less than the peer's
/// timeout for a call.
constexpr Duration kReadWait = 100ms;
/// A peer that has not answered a read by then is passed over.
constexpr Duration kAskTimeout = 1s;
/// A stream that was lost, or may be at a peer that did not answer, is looked for again.
constexpr uint32_t kMaxSearches = 4;
constexpr Duration kSearchPause = 250ms;
constexpr Duration kLimitPeriod = 1s;

/// Returns as many tokens from an offset on as fit into a batch; at least one, if any.
std::span<const std::string> CutBatch(const std::vector<std::string>& aTokens,
                                      uint64_t aFrom)
{
  if (aFrom >= aTokens.size()) {
    return {};
  }
  const size_t most = std::min<size_t>(aTokens.size() - aFrom, kBatchTokens);
  size_t count = 0;
  size_t bytes = 0;
  while (count < most &&
         (count == 0 || bytes + aTokens[aFrom + count].size() <= kBatchBytes)) {
    bytes += aTokens[aFrom + count++].size();
  }
  return { aTokens.data() + aFrom, count };
}

/// Reads "<request-id>:<offset>" and returns the offset after that one.
Result<uint64_t> NextOffset(std::string_view aLastEvent, std::string_view aId)
{
  uint64_t offset = 0;
  const std::string_view digits =
    aLastEvent.substr(std::min(aLastEvent.size(), aId.size() + 1));
  const char* end = digits.data() + digits.size();
  const auto [position, problem] = std::from_chars(digits.data(), end, offset);
  if (!aLastEvent.starts_with(std::string(aId) + ":") || problem != std::errc{} ||
      position != end || offset == UINT64_MAX) {
    return MakeError(ErrorKind::BadHeader,
                     "Last-Event-ID must be the request id of the path, a colon and an "
                     "offset");
  }
  return offset + 1;
}

} // namespace

bool IsStreamQuery(const CallerRequest& aRequest)
{
  return aRequest.method == "GET" && aRequest.target.starts_with(kPrefix);
}

void StreamSystem::Start()
{
  world_.timers.SubscribeEvery(kLimitPeriod,
                               [this](TimePoint) { EnforceLimits(world_); });
}

// ---- Events ----

void StreamSystem::Handle(const CallerRequest& aEvent)
{
  if (!IsStreamQuery(aEvent)) {
    return;
  }
  Result<StreamReaderRow> reader = TakeIn(aEvent);
  if (!reader) {
    world_.counters.Add(Counter::RequestsRefused);
    replies_.SendError(aEvent.request, RequestRow{ .caller = aEvent }, reader.error());
    return;
  }
  world_.streamReaders.Insert(aEvent.request, std::move(*reader));
}

Result<StreamReaderRow> StreamSystem::TakeIn(const CallerRequest& aEvent) const
{
  if (world_.state == DaemonState::Starting) {
    return MakeError(ErrorKind::NotReady, "the configuration has not been read yet");
  }
  if (world_.refusesRequests) {
    return MakeError(ErrorKind::Draining, "this daemon is stopping");
  }
  if (world_.requests.Size() + world_.streamReaders.Size() >=
      world_.options.maxRequests) {
    return MakeError(ErrorKind::Overloaded, "this daemon has too many requests running");
  }
  StreamReaderRow reader;
  reader.stream = PathOf(aEvent.target).substr(kPrefix.size());
  if (!DaemonOfRequest(reader.stream)) {
    return MakeError(ErrorKind::StreamNotFound, "the path has no request id");
  }
  const std::string_view last = FindHeader(aEvent.headers, "Last-Event-ID");
  if (!last.empty()) {
    const Result<uint64_t> next = NextOffset(last, reader.stream);
    if (!next) {
      return tl::unexpected(next.error());
    }
    reader.next = *next;
  }
  return reader;
}

void StreamSystem::Handle(const CallerGone& aEvent)
{
  world_.streamReaders.Erase(aEvent.request);
}

void StreamSystem::Handle(const StreamAsked& aEvent)
{
  questions_.push_back(
    { .asked = aEvent, .source = {}, .due = world_.Now() + kReadWait });
  world_.timers.SubscribeAt(questions_.back().due, [](TimePoint) {});
}

void StreamSystem::Handle(const StreamAnswered& aEvent)
{
  const auto found = std::ranges::find_if(world_.streamReaders, [&](const auto& aItem) {
    return aItem.second.question == aEvent.question && aEvent.question != QuestionId{};
  });
  if (found == world_.streamReaders.end()) {
    return;
  }
  auto& [id, reader] = *found;
  reader.question = QuestionId{};
  reader.due = TimePoint{};
  const StreamPart& part = aEvent.part;
  if (part.state != StreamPart::State::Found) {
    Lose(reader, part.state == StreamPart::State::Unreachable);
    return;
  }
  reader.searches = 0;
  reader.hasMissed = false;
  reader.toAsk.clear();
  if (Send(id, reader,
           { .model = part.model,
             .createdSeconds = part.createdSeconds,
             .total = part.total,
             .tokens = part.tokens,
             .end = part.end ? &*part.end : nullptr })) {
    world_.streamReaders.Erase(RequestId(id));
  }
}

// ---- Tick ----

void StreamSystem::Run()
{
  std::erase_if(questions_, [this](Question& aItem) { return Answer(aItem); });
  std::vector<RequestId> done;
  for (auto& [id, reader] : world_.streamReaders) {
    if (Drive(id, reader)) {
      done.push_back(id);
    }
  }
  for (const RequestId id : done) {
    world_.streamReaders.Erase(id);
  }
}

bool StreamSystem::Drive(RequestId aId, StreamReaderRow& aReader)
{
  if (world_.IsHandOverDue()) {
    // The caller attaches again, through another daemon.
    if (aReader.headSent) {
      world_.Emit(ReplyStreamEnd{ aId });
      return true;
    }
    return Fail(aId, aReader, { ErrorKind::Draining, "this daemon is stopping" });
  }
  if (world_.Now() < aReader.due) {
    return false;
  }
  if (aReader.question != QuestionId{}) {
    aReader.question = QuestionId{};
    Lose(aReader, true);
    if (world_.Now() < aReader.due) {
      return false;
    }
  }
  if (!aReader.address.empty()) {
    Ask(aReader, aReader.address);
    return false;
  }
  if (aReader.toAsk.empty()) {
    if (const auto view = FindStream(world_, aReader.stream, aReader.source)) {
      aReader.searches = 0;
      return Send(aId, aReader,
                  { .model = view->model,
                    .createdSeconds = view->createdSeconds,
                    .total = view->tokens->size(),
                    .tokens = CutBatch(*view->tokens, aReader.next),
                    .end = view->end });
    }
  }
  return Search(aId, aReader);
}

/// Asks the next peer about a stream that this daemon does not have.
bool StreamSystem::Search(RequestId aId, StreamReaderRow& aReader)
{
  if (aReader.toAsk.empty()) {
    const bool maySearch =
      aReader.searches == 0 ||
      ((aReader.hasMissed || aReader.headSent) && aReader.searches < kMaxSearches);
    if (maySearch) {
      aReader.toAsk = HoldersOf(world_, aReader.stream);
      std::ranges::reverse(aReader.toAsk);
    }
    if (aReader.toAsk.empty()) {
      return Fail(
        aId, aReader,
        { ErrorKind::StreamNotFound, "no daemon has the stream " + aReader.stream });
    }
    aReader.hasMissed = false;
    ++aReader.searches;
  }
  const std::string address = std::move(aReader.toAsk.back());
  aReader.toAsk.pop_back();
  Ask(aReader, address);
  return false;
}

void StreamSystem::Ask(StreamReaderRow& aReader, const std::string& aAddress)
{
  aReader.question = world_.NewId<QuestionId>();
  aReader.address = aAddress;
  Pause(aReader, kAskTimeout);
  world_.Emit(ReadStream{ .question = aReader.question,
                          .address = aAddress,
                          .stream = aReader.stream,
                          .from = aReader.next });
}

/// Handles that the peer that was asked does not have the stream.
void StreamSystem::Lose(StreamReaderRow& aReader, bool aIsUnreachable)
{
  aReader.address.clear();
  aReader.hasMissed = aReader.hasMissed || aIsUnreachable;
  if (aReader.toAsk.empty() && (aReader.searches > 0 || aReader.headSent)) {
    Pause(aReader,
          aReader.hasMissed || aReader.headSent ? kSearchPause : Duration::zero());
  }
}

void StreamSystem::Pause(StreamReaderRow& aReader, Duration aTime)
{
  aReader.due = world_.Now() + aTime;
  world_.timers.SubscribeAt(aReader.due, [](TimePoint) {});
}

bool StreamSystem::Send(RequestId aId, StreamReaderRow& aReader, const Batch& aBatch)
{
  if (aBatch.end && aReader.next > aBatch.total) {
    return Fail(aId, aReader,
                { ErrorKind::BadHeader, "Last-Event-ID is after the end of the stream" });
  }
  if (!aReader.headSent) {
    aReader.headSent = true;
    world_.counters.Add(Counter::StreamsReattached);
    world_.Emit(ReplyStreamHead{ aId, { { "X-Request-Id", aReader.stream } } });
  }
  const AnswerIdentity identity{ .requestId = aReader.stream,
                                 .model = aBatch.model,
                                 .createdSeconds = aBatch.createdSeconds };
  for (const std::string& token : aBatch.tokens) {
    world_.Emit(
      ReplyStreamEvent{ .request = aId,
                        .id = aReader.stream + ":" + std::to_string(aReader.next),
                        .event = {},
                        .data = ChunkData(identity, aReader.next, token) });
    ++aReader.next;
  }
  if (aReader.next < aBatch.total) {
    Pause(aReader, kBatchPause);
    return false;
  }
  if (!aBatch.end) {
    return false;
  }
  if (aBatch.end->error) {
    return Fail(aId, aReader, *aBatch.end->error);
  }
  for (const std::string& data :
       { LastChunkData(identity, aBatch.end->finishReason), std::string("[DONE]") }) {
    world_.Emit(ReplyStreamEvent{ .request = aId, .id = {}, .event = {}, .data = data });
  }
  world_.Emit(ReplyStreamEnd{ aId });
  return true;
}

bool StreamSystem::Fail(RequestId aId, const StreamReaderRow& aReader,
                        const Error& aError)
{
  RequestRow row;
  row.publicId = aReader.stream;
  row.headSent = aReader.headSent;
  replies_.SendError(aId, row, aError);
  return true;
}

/// Answers a peer's read, unless it waits for a token. Returns whether it was answered.
bool StreamSystem::Answer(Question& aQuestion)
{
  const StreamAsked& asked = aQuestion.asked;
  const auto view = FindStream(world_, asked.stream, aQuestion.source);
  if (!view) {
    world_.Emit(AnswerStreamQuestion{ .question = asked.question,
                                      .part = { .state = StreamPart::State::NotFound } });
    return true;
  }
  const auto tokens = CutBatch(*view->tokens, asked.from);
  if (tokens.empty() && !view->end && world_.Now() < aQuestion.due) {
    return false;
  }
  StreamPart part{ .state = StreamPart::State::Found,
                   .model = std::string(view->model),
                   .createdSeconds = view->createdSeconds,
                   .total = view->tokens->size(),
                   .tokens = { tokens.begin(), tokens.end() } };
  if (view->end) {
    part.end = *view->end;
  }
  world_.Emit(
    AnswerStreamQuestion{ .question = asked.question, .part = std::move(part) });
  return true;
}

} // namespace gooseberrypath
