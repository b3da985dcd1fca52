#include "gooseberrypath/claim_system.h"

#include <algorithm>
#include <utility>

#include "gooseberrypath/record_reader.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPart = "claims";
// How often memory of ended claims is freed.
constexpr Duration kTrimPeriod = 60s;

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
  const std::optional<Record> record = ReadRecord(world_, kPart, aEntry);
  if (!record) {
    return;
  }
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

} // namespace gooseberrypath
