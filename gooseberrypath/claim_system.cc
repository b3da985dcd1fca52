#include "gooseberrypath/claim_system.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "claims";
// An asked holder is asked again after this time; without an answer for this time it
// counts as unreachable.
constexpr Duration kAskInterval = 1s;
// An append that neither succeeded nor failed is repeated after this multiple of
// CoreOptions::appendRetry, so that a slow log does not receive every record many times.
constexpr int kUnansweredFactor = 5;
// Repeats of one append slow down up to 2^4 times CoreOptions::appendRetry, because the
// log takes only several hundred appends per second from all daemons.
constexpr uint32_t kMaxDoublings = 4;
// Carry records are delayed at random by up to this time, so that usually one daemon
// writes them and the others see them in time.
constexpr Duration kCarrySpread = 2s;
// Carry records per kCarryPause, to leave the log's append rate to the claims.
constexpr size_t kCarriesAtOnce = 8;
constexpr Duration kCarryPause = 100ms;
// Claims are remembered for this long after the key's window, because the clock that made
// a key with a time may be ahead of the log's clock.
constexpr Duration kClockMargin = 60s;
// How often memory of ended claims is freed.
constexpr Duration kTrimPeriod = 60s;
constexpr Duration kDefaultKeyWindow = std::chrono::hours(24);

int64_t ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string EncodeEnd(const ClaimEnd& aEnd)
{
  const auto& [service, key] = aEnd.action;
  if (aEnd.how == ClaimEnd::How::Abandoned) {
    return EncodeRecord(
      AbandonRecord{ .service = service, .key = key, .claim = aEnd.claim });
  }
  return EncodeRecord(OutcomeRecord{ .service = service,
                                     .key = key,
                                     .claim = aEnd.claim,
                                     .isKnown = aEnd.how == ClaimEnd::How::Done,
                                     .status = aEnd.answer.status,
                                     .headers = aEnd.answer.headers,
                                     .body = aEnd.answer.body });
}

} // namespace

void ClaimSystem::Start()
{
  world_.streams[std::string(kActionStream)];
  world_.timers.SubscribeEvery(kTrimPeriod, [this](TimePoint) { Trim(); });
}

// ---- Events ----

void ClaimSystem::Handle(const LogBatch& aBatch)
{
  if (aBatch.stream != kActionStream) {
    return;
  }
  StreamRow& stream = world_.streams[aBatch.stream];
  const bool hasGap = aBatch.start > stream.next;
  if (!stream.contacted || hasGap) {
    if (stream.contacted) {
      world_.Log(LogLevel::Warning, kPart,
                 "records from offset " + std::to_string(stream.next) + " to " +
                   std::to_string(aBatch.start - 1) +
                   " were removed before they were read");
    }
    // Claims whose records were removed come back by their carry records. An end that the
    // log has confirmed may be among the removed records and is not read any more.
    std::erase_if(endings_,
                  [](const auto& aItem) { return aItem.second.appending->confirmed; });
    stream.next = std::max(aBatch.start, stream.next);
    stream.targetHead = aBatch.head;
    table_.Reset(stream.next);
  }
  stream.contacted = true;
  // Run() sets lastContact: the time of the last tick may be long ago.
  contacted_ = true;
  readFailed_ = false;
  for (const LogEntry& entry : aBatch.entries) {
    if (entry.offset == stream.next) {
      Apply(entry);
      ++stream.next;
    }
  }
  FindCarries(aBatch.start, aBatch.head);
}

void ClaimSystem::Apply(const LogEntry& aEntry)
{
  const Result<Record> record = DecodeRecord(aEntry.data);
  if (!record || std::holds_alternative<UnknownRecord>(*record)) {
    world_.counters.Add(Counter::RecordsSkipped);
    world_.Log(LogLevel::Warning, kPart,
               "skipped the record at offset " + std::to_string(aEntry.offset) + ": " +
                 (record ? "unknown type" : record.error().message));
    return;
  }
  world_.counters.Add(Counter::RecordsApplied);
  table_.Apply(aEntry.offset, aEntry.timeMs, *record);

  if (const auto* claim = std::get_if<ClaimRecord>(&*record)) {
    const auto own = own_.find(claim->claim);
    const ActionRow* row = world_.actions.Find({ claim->service, claim->key });
    const bool isAdmitted = row && row->claim == claim->claim;
    if (own != own_.end() && own->second.state == Own::Pending && !isAdmitted) {
      // A repeated append of this claim may still be admitted later, when the request has
      // gone on without it.
      own->second.state = Own::GaveUp;
      world_.counters.Add(Counter::ClaimsLost);
    }
    AbandonIfAdmitted(claim->claim);
  } else if (const auto* carry = std::get_if<CarryRecord>(&*record)) {
    AbandonIfAdmitted(carry->claim.claim);
  } else if (const auto* outcome = std::get_if<OutcomeRecord>(&*record)) {
    const auto ending = endings_.find(outcome->claim);
    if (ending != endings_.end() &&
        (ending->second.end.how == ClaimEnd::How::Unknown ||
         (ending->second.end.how == ClaimEnd::How::Done && outcome->isKnown))) {
      endings_.erase(ending);
    }
  } else if (const auto* abandon = std::get_if<AbandonRecord>(&*record)) {
    const auto ending = endings_.find(abandon->claim);
    if (ending != endings_.end() && ending->second.end.how == ClaimEnd::How::Abandoned) {
      endings_.erase(ending);
    }
  }
}

/// Begins to abandon a given-up claim if the log shows it as admitted.
void ClaimSystem::AbandonIfAdmitted(const std::string& aClaim)
{
  const auto own = own_.find(aClaim);
  if (own == own_.end() || own->second.state != Own::GaveUp) {
    return;
  }
  const ActionRow* row = world_.actions.Find(own->second.action);
  if (row && row->claim == aClaim && row->state == ActionRow::State::Claimed &&
      !endings_.contains(aClaim)) {
    BeginEnd({ .action = own->second.action,
               .claim = aClaim,
               .how = ClaimEnd::How::Abandoned,
               .answer = {} });
  }
}

void ClaimSystem::FindCarries(Offset aStart, Offset aHead)
{
  const Offset range = aHead > aStart ? aHead - aStart : 0;
  carryBefore_ = aStart + range / 4;
  for (const ActionId& id : table_.FindBefore(carryBefore_)) {
    if (!carryDue_.contains(id)) {
      const Duration delay(
        static_cast<int64_t>(world_.random() % (kCarrySpread / Duration(1))));
      carryDue_.emplace(id, world_.Now() + delay);
    }
  }
}

void ClaimSystem::Handle(const LogReadFailed& aEvent)
{
  if (aEvent.stream != kActionStream) {
    return;
  }
  world_.counters.Add(Counter::LogReadFailures);
  if (!std::exchange(readFailed_, true)) {
    world_.Log(LogLevel::Warning, kPart,
               "stream \"actions\" cannot be read: " + aEvent.reason);
  }
}

void ClaimSystem::Handle(const AppendDone& aEvent)
{
  const auto found = appends_.find(aEvent.append);
  if (found != appends_.end()) {
    if (const auto appending = found->second.lock()) {
      appending->confirmed = true;
    }
    appends_.erase(found);
  }
}

void ClaimSystem::Handle(const AppendFailed& aEvent)
{
  const auto found = appends_.find(aEvent.append);
  if (found == appends_.end()) {
    return;
  }
  const auto appending = found->second.lock();
  appends_.erase(found);
  world_.counters.Add(Counter::AppendFailures);
  if (appending && appending->newest == aEvent.append) {
    const uint32_t doublings = std::min(appending->tries - 1, kMaxDoublings);
    appending->due = world_.Now() + world_.options.appendRetry * (1 << doublings);
  }
}

void ClaimSystem::Handle(const CallerGone& aEvent)
{
  RequestRow* row = world_.requests.Find(aEvent.request);
  if (row && row->stage == RequestStage::AwaitingClaim) {
    row->callerGone = true;
  }
}

void ClaimSystem::Handle(const ClaimAsked& aEvent)
{
  world_.Emit(
    AnswerClaimQuestion{ .question = aEvent.question, .word = WordOf(aEvent.claim) });
}

void ClaimSystem::Handle(const ClaimAnswered& aEvent)
{
  for (auto& [id, pending] : pending_) {
    if (pending.question == aEvent.question && aEvent.question != QuestionId{}) {
      pending.question = QuestionId{};
      pending.word = aEvent.word;
      pending.askDue = world_.Now() + kAskInterval;
    }
  }
}

// ---- Tick ----

void ClaimSystem::Run()
{
  if (std::exchange(contacted_, false)) {
    world_.streams[std::string(kActionStream)].lastContact = world_.Now();
  }
  for (auto& [id, row] : world_.requests) {
    if (row.stage == RequestStage::AwaitingClaim) {
      auto [found, isNew] = pending_.try_emplace(id);
      if (isNew) {
        found->second.started = world_.Now();
      }
      Drive(row, found->second);
    }
  }
  // A request that left the stage, or was removed while it waited, has no more use for an
  // outstanding claim.
  std::erase_if(pending_, [&](auto& aItem) {
    const RequestRow* row = world_.requests.Find(aItem.first);
    if (row && row->stage == RequestStage::AwaitingClaim) {
      return false;
    }
    GiveUp(aItem.second.claim);
    if (row) {
      world_.dispatchQueue.push_back(aItem.first);
    }
    return true;
  });
  RunEnds();
  RunCarries();
  Schedule();
}

void ClaimSystem::Drive(RequestRow& aRow, Pending& aPending)
{
  if (aRow.callerGone) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the caller left before the action was dispatched");
    return;
  }
  if (!aPending.claim.empty()) {
    DriveOwn(aRow, aPending);
    if (!aPending.claim.empty() || aRow.stage != RequestStage::AwaitingClaim) {
      return;
    }
  }
  const ActionRow* action = world_.actions.Find({ aRow.service, aRow.key });
  if (action) {
    DriveOther(aRow, aPending, *action);
    return;
  }
  aPending.otherClaim.clear();
  aPending.abandonDue = TimePoint{};
  if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the deadline passed before the action was claimed");
  } else if (IsKeyExpired(aRow, table_.LatestMs())) {
    Refuse(aRow, aPending, ErrorKind::KeyExpired,
           "the key is older than the key window of its service");
  } else if (!IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "the log is not reachable");
  } else {
    MakeClaim(aRow, aPending);
  }
}

/// Waits until the request's own claim is admitted or lost.
void ClaimSystem::DriveOwn(RequestRow& aRow, Pending& aPending)
{
  if (own_.at(aPending.claim).state == Own::GaveUp) { // lost
    aPending.claim.clear();
    return;
  }
  if (world_.Now() >= aPending.claimDue) {
    GiveUp(aPending.claim);
    aPending.claim.clear();
    if (world_.Now() >= aRow.deadline) {
      Refuse(aRow, aPending, ErrorKind::QueueTimeout,
             "the deadline passed before the claim was admitted");
    } else if (IsLogUsable()) {
      Refuse(aRow, aPending, ErrorKind::LogUnavailable,
             "the log did not show the claim in time");
    } else {
      RefuseOrBypass(aRow, aPending, "the log became unreachable during the claim");
    }
    return;
  }
  const ActionRow* action = world_.actions.Find({ aRow.service, aRow.key });
  // Before the daemon has caught up, a record that it has not read yet may show that
  // another claim was admitted earlier.
  const bool isAdmitted = action && action->claim == aPending.claim && IsLogUsable();
  if (!isAdmitted) {
    if (world_.Now() >= aPending.appending->due && !aPending.appending->confirmed) {
      Append(aPending.appending);
    }
    return;
  }
  if (action->state != ActionRow::State::Claimed) {
    GiveUp(aPending.claim);
    aPending.claim.clear();
    return;
  }
  if (IsKeyExpired(aRow, action->claimedMs)) {
    Refuse(aRow, aPending, ErrorKind::KeyExpired,
           "the key is older than the key window of its service");
    return;
  }
  world_.counters.Add(Counter::ClaimsAdmitted);
  own_.at(aPending.claim).state = Own::Ready;
  aRow.claim = std::exchange(aPending.claim, {});
  aRow.claimOffset = action->claimOffset;
  aRow.stage = RequestStage::Ready;
  Finish(aRow, aPending, "admitted");
}

/// Decides on a request whose key has a row that is not its own claim.
void ClaimSystem::DriveOther(RequestRow& aRow, Pending& aPending,
                             const ActionRow& aAction)
{
  if (aAction.bodyHash !=
      HashAction(aRow.caller.method, aRow.caller.target, aRow.caller.body)) {
    Refuse(aRow, aPending, ErrorKind::KeyReused, "the key was used with another request");
    return;
  }
  switch (aAction.state) {
    case ActionRow::State::Done:
      world_.counters.Add(Counter::OutcomesReplayed);
      aRow.decision = aAction.answer;
      aRow.stage = RequestStage::Decided;
      Finish(aRow, aPending, "recorded answer");
      return;
    case ActionRow::State::Unknown:
      Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
             "an earlier attempt with this key may have run");
      return;
    case ActionRow::State::Claimed:
      break;
  }
  if (Deduplicates(aRow.service) && !IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "the log is not reachable");
    return;
  }
  if (aPending.otherClaim != aAction.claim) {
    aPending.otherClaim = aAction.claim;
    aPending.question = QuestionId{};
    aPending.askDue = TimePoint{};
    aPending.word.reset();
    aPending.abandonDue = TimePoint{};
  }
  const CoreOptions& options = world_.options;
  if (aAction.holder == options.daemon &&
      aAction.holderIncarnation == options.incarnation) {
    DriveAsked(aRow, aPending, aAction, WordOf(aAction.claim));
    return;
  }
  if (aAction.holder == options.daemon &&
      aAction.holderIncarnation < options.incarnation) {
    Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
           "the daemon was restarted while the action may have run");
    return;
  }
  if (aPending.question != QuestionId{} && world_.Now() >= aPending.askDue) {
    aPending.question = QuestionId{};
    aPending.word = ClaimWord::Unreachable;
  } else if (aPending.question == QuestionId{} && aPending.word != ClaimWord::GaveUp &&
             aPending.word != ClaimWord::Unreachable &&
             aPending.word != ClaimWord::NotHeld && world_.Now() >= aPending.askDue &&
             world_.Now() < aRow.deadline) {
    aPending.question = world_.NewId<QuestionId>();
    aPending.askDue = world_.Now() + kAskInterval;
    world_.Emit(AskClaim{ .question = aPending.question,
                          .address = aAction.holderAddress,
                          .claim = aAction.claim });
  }
  if (aPending.word) {
    DriveAsked(aRow, aPending, aAction, *aPending.word);
  } else if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
           "the daemon that holds the claim did not answer before the deadline");
  }
}

/// Decides by what the holder of the key's claim says.
void ClaimSystem::DriveAsked(RequestRow& aRow, Pending& aPending,
                             const ActionRow& aAction, ClaimWord aWord)
{
  switch (aWord) {
    case ClaimWord::Running:
      if (world_.Now() >= aRow.deadline) {
        Refuse(aRow, aPending, ErrorKind::ActionInProgress,
               "the action with this key is running");
      }
      return;
    case ClaimWord::NotHeld:
    case ClaimWord::Unreachable:
      Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
             aWord == ClaimWord::NotHeld
               ? "the daemon that claimed the action was restarted"
               : "the daemon that claimed the action is not reachable");
      return;
    case ClaimWord::GaveUp:
      break;
  }
  // The claim never ran. After its abandon record, this request claims the key itself.
  if (aPending.abandonDue == TimePoint{}) {
    aPending.abandonDue =
      std::min(world_.Now() + world_.options.claimTimeout, aRow.deadline);
  }
  if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the deadline passed before the action was claimed");
  } else if (world_.Now() >= aPending.abandonDue || !IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "an earlier claim cannot be abandoned");
  } else if (!endings_.contains(aAction.claim)) {
    BeginEnd({ .action = { aRow.service, aRow.key },
               .claim = aAction.claim,
               .how = ClaimEnd::How::Abandoned,
               .answer = {} });
  }
}

void ClaimSystem::MakeClaim(RequestRow& aRow, Pending& aPending)
{
  constexpr size_t kClaimDigits = 32;
  aPending.claim = world_.RandomHex(kClaimDigits);
  own_.emplace(aPending.claim, OwnClaim{ .action = { aRow.service, aRow.key } });
  aPending.claimDue = std::min(world_.Now() + world_.options.claimTimeout, aRow.deadline);
  aPending.appending = std::make_shared<Appending>();
  aPending.appending->data = EncodeRecord(ClaimRecord{
    .service = aRow.service,
    .key = aRow.key,
    .bodyHash = HashAction(aRow.caller.method, aRow.caller.target, aRow.caller.body),
    .claim = aPending.claim,
    .daemon = world_.options.daemon,
    .incarnation = world_.options.incarnation,
    .peerAddress = world_.options.peerAddress,
    .windowMs = ToMs(KeyWindow(aRow.service) + kClockMargin),
    .asOf = world_.streams[std::string(kActionStream)].next });
  world_.counters.Add(Counter::ClaimsAppended);
  Append(aPending.appending);
}

/// Refuses the request because of the log, or passes it on without a claim if the
/// service's backends deduplicate by key.
void ClaimSystem::RefuseOrBypass(RequestRow& aRow, Pending& aPending,
                                 std::string_view aReason)
{
  if (!IsLogUsable() && Deduplicates(aRow.service)) {
    aRow.stage = RequestStage::Ready;
    Finish(aRow, aPending, "no claim, the service deduplicates");
  } else {
    Refuse(aRow, aPending, ErrorKind::LogUnavailable, std::string(aReason));
  }
}

void ClaimSystem::Refuse(RequestRow& aRow, Pending& aPending, ErrorKind aKind,
                         std::string aMessage)
{
  GiveUp(aPending.claim);
  aPending.claim.clear();
  if (aKind == ErrorKind::OutcomeUnknown) {
    world_.counters.Add(Counter::OutcomesUnknown);
  }
  aRow.decision = Error{ .kind = aKind, .message = std::move(aMessage) };
  aRow.stage = RequestStage::Decided;
  Finish(aRow, aPending, InfoOf(aKind).name);
}

void ClaimSystem::Finish(RequestRow& aRow, Pending& aPending, std::string_view aNote)
{
  constexpr size_t kSpanDigits = 16;
  world_.Emit(WriteSpan{ .trace = aRow.trace,
                         .span = world_.RandomHex(kSpanDigits),
                         .parent = aRow.span,
                         .name = "claim",
                         .request = aRow.publicId,
                         .attempt = {},
                         .note = std::string(aNote),
                         .start = aPending.started,
                         .end = world_.Now() });
}

/// Marks a claim that was not dispatched as given up. From here on it is never
/// dispatched.
void ClaimSystem::GiveUp(const std::string& aClaim)
{
  const auto own = own_.find(aClaim);
  if (own != own_.end() && own->second.state == Own::Pending) {
    own->second.state = Own::GaveUp;
    world_.counters.Add(Counter::ClaimsGivenUp);
    AbandonIfAdmitted(aClaim);
  }
}

/// Returns what this daemon tells about a claim.
ClaimWord ClaimSystem::WordOf(std::string_view aClaim) const
{
  const auto own = own_.find(aClaim);
  if (own == own_.end()) {
    return ClaimWord::NotHeld;
  }
  return own->second.state == Own::GaveUp ? ClaimWord::GaveUp : ClaimWord::Running;
}

// ---- Appends ----

/// Begins to record the end of a claim.
void ClaimSystem::BeginEnd(ClaimEnd aEnd)
{
  const auto found = endings_.find(aEnd.claim);
  if (found != endings_.end() && found->second.end.how == ClaimEnd::How::Done) {
    return;
  }
  auto appending = std::make_shared<Appending>();
  appending->data = EncodeEnd(aEnd);
  appending->due = world_.Now();
  const std::string claim = aEnd.claim;
  endings_.insert_or_assign(
    claim, Ending{ .end = std::move(aEnd), .appending = std::move(appending) });
}

void ClaimSystem::Append(const std::shared_ptr<Appending>& aAppending)
{
  const auto id = world_.NewId<AppendId>();
  aAppending->newest = id;
  const uint32_t doublings = std::min(aAppending->tries, kMaxDoublings);
  ++aAppending->tries;
  aAppending->due =
    world_.Now() + world_.options.appendRetry * kUnansweredFactor * (1 << doublings);
  appends_.emplace(id, aAppending);
  world_.Emit(AppendRecord{
    .append = id, .stream = std::string(kActionStream), .data = aAppending->data });
}

void ClaimSystem::RunEnds()
{
  while (!world_.claimEnds.empty()) {
    ClaimEnd end = std::move(world_.claimEnds.front());
    world_.claimEnds.pop_front();
    if (end.claim.empty()) {
      continue; // a call without a claim, to a service that deduplicates
    }
    if (end.how == ClaimEnd::How::Abandoned) {
      const auto own = own_.find(end.claim);
      if (own != own_.end()) {
        own->second.state = Own::GaveUp;
        world_.counters.Add(Counter::ClaimsGivenUp);
      }
    } else {
      world_.counters.Add(Counter::OutcomesRecorded);
    }
    BeginEnd(std::move(end));
  }
  for (auto& [claim, ending] : endings_) {
    if (!ending.appending->confirmed && world_.Now() >= ending.appending->due) {
      Append(ending.appending);
    }
  }
}

void ClaimSystem::RunCarries()
{
  size_t written = 0;
  for (auto it = carryDue_.begin(); it != carryDue_.end();) {
    auto& [id, due] = *it;
    if (world_.Now() < due) {
      ++it;
      continue;
    }
    const ActionRow* row = world_.actions.Find(id);
    if (!row || row->offset >= carryBefore_) {
      it = carryDue_.erase(it); // ended, or carried by another daemon
      continue;
    }
    if (written == kCarriesAtOnce || !IsLogUsable()) {
      due = world_.Now() + kCarryPause;
    } else {
      ++written;
      const Offset next = world_.streams[std::string(kActionStream)].next;
      world_.Emit(AppendRecord{ .append = world_.NewId<AppendId>(),
                                .stream = std::string(kActionStream),
                                .data = EncodeRecord(MakeCarry(id, *row, next)) });
      due = world_.Now() + kCarrySpread;
    }
    ++it;
  }
}

/// Frees what is not needed after the end of a claim. Given-up claims are remembered, so
/// that a daemon that asks always learns that they did not run.
void ClaimSystem::Trim()
{
  std::erase_if(own_, [&](const auto& aItem) {
    const ActionRow* row = world_.actions.Find(aItem.second.action);
    return aItem.second.state == Own::Ready && !endings_.contains(aItem.first) &&
           (!row || row->claim != aItem.first);
  });
  std::erase_if(appends_, [](const auto& aItem) { return aItem.second.expired(); });
}

/// Subscribes to the earliest time at which Run() has something to do.
void ClaimSystem::Schedule()
{
  std::optional<TimePoint> next;
  const auto need = [&](TimePoint aDue) {
    if (aDue > world_.Now() && (!next || aDue < *next)) {
      next = aDue;
    }
  };
  for (const auto& [id, pending] : pending_) {
    need(world_.requests.Find(id)->deadline);
    need(pending.askDue);
    need(pending.abandonDue);
    if (!pending.claim.empty()) {
      need(pending.claimDue);
      if (!pending.appending->confirmed) {
        need(pending.appending->due);
      }
    }
  }
  for (const auto& [claim, ending] : endings_) {
    if (!ending.appending->confirmed) {
      need(ending.appending->due);
    }
  }
  for (const auto& [id, due] : carryDue_) {
    need(due);
  }
  if (next != wakeAt_ || (wakeAt_ && *wakeAt_ <= world_.Now())) {
    world_.timers.Cancel(wake_);
    wakeAt_ = next;
    if (next) {
      wake_ = world_.timers.SubscribeAt(*next, [](TimePoint) {});
    }
  }
}

// ---- Questions about the state ----

/// Tells whether the table is known to be current enough for a new claim.
bool ClaimSystem::IsLogUsable() const
{
  const auto stream = world_.streams.find(kActionStream);
  return world_.IsLogReachable(kActionStream) &&
         stream->second.next >= stream->second.targetHead;
}

bool ClaimSystem::Deduplicates(std::string_view aService) const
{
  const auto found = world_.resources.find({ "service", std::string(aService) });
  const auto* spec = found == world_.resources.end()
                       ? nullptr
                       : std::get_if<ServiceSpec>(&found->second.spec);
  return spec && spec->deduplicates;
}

Duration ClaimSystem::KeyWindow(std::string_view aService) const
{
  const auto found = world_.resources.find({ "service", std::string(aService) });
  const auto* spec = found == world_.resources.end()
                       ? nullptr
                       : std::get_if<ServiceSpec>(&found->second.spec);
  return spec && spec->keyWindow > Duration::zero() ? spec->keyWindow : kDefaultKeyWindow;
}

bool ClaimSystem::IsKeyExpired(const RequestRow& aRow, int64_t aLogMs) const
{
  const std::optional<int64_t> createdMs = TimeOfUuidV7(aRow.key);
  return createdMs && *createdMs + ToMs(KeyWindow(aRow.service)) <= aLogMs;
}

// ---- Free functions ----

ActionView FindAction(const World& aWorld, const std::string& aService,
                      const std::string& aKey)
{
  const ActionRow* row = aWorld.actions.Find({ aService, aKey });
  if (!row) {
    return { .state = "none" };
  }
  switch (row->state) {
    case ActionRow::State::Claimed:
      return { .state = "claimed", .row = row };
    case ActionRow::State::Done:
      return { .state = "done", .row = row };
    case ActionRow::State::Unknown:
      break;
  }
  return { .state = "unknown", .row = row };
}

std::string HashAction(std::string_view aMethod, std::string_view aTarget,
                       std::string_view aBody)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                       &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (const std::string_view part : { aMethod, aTarget, aBody }) {
    std::array<unsigned char, 8> length{};
    for (size_t i = 0; i < length.size(); ++i) {
      length.at(i) = static_cast<unsigned char>(part.size() >> (8 * i));
    }
    XXH3_128bits_update(state.get(), length.data(), length.size());
    XXH3_128bits_update(state.get(), part.data(), part.size());
  }
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(state.get()));
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : bytes.digest) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

std::optional<int64_t> TimeOfUuidV7(std::string_view aKey)
{
  constexpr std::string_view kForm = "hhhhhhhh-hhhh-7hhh-vhhh-hhhhhhhhhhhh";
  constexpr size_t kTimeEnd = 13; // the first 48 bits
  if (aKey.size() != kForm.size()) {
    return std::nullopt;
  }
  int64_t timeMs = 0;
  for (size_t i = 0; i < kForm.size(); ++i) {
    const char c = aKey[i];
    if (kForm[i] == '-' || kForm[i] == '7') {
      if (c != kForm[i]) {
        return std::nullopt;
      }
      continue;
    }
    const std::string_view allowed =
      kForm[i] == 'v' ? "89abAB" : "0123456789abcdefABCDEF";
    if (allowed.find(c) == std::string_view::npos) {
      return std::nullopt;
    }
    if (i < kTimeEnd) {
      const int digit = c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
      timeMs = timeMs * 16 + digit;
    }
  }
  return timeMs;
}

} // namespace gooseberrypath
