// The appends of ClaimSystem: ends of claims, their repetition, and carry records.

#include <algorithm>
#include <utility>

#include "gooseberrypath/claim_system.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

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
                                     .body = std::string(aEnd.answer.body.View()) });
}

} // namespace

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
  world_.unrecordedEnds = 0;
  for (auto& [claim, ending] : endings_) {
    if (ending.appending->confirmed) {
      continue;
    }
    ++world_.unrecordedEnds;
    if (world_.Now() >= ending.appending->due) {
      Append(ending.appending);
    }
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

} // namespace gooseberrypath
