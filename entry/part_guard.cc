#include "entry/part_guard.h"

#include <algorithm>

#include <xxhash.h>

#include "entry/duration_text.h"
#include "entry/prompt_parts.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::seconds;

// A blocked part is tried this time after it was blocked. The longer time holds after a
// trial, and from this number of engines on.
constexpr Duration kFirstTrialDelay = seconds(3);
constexpr Duration kLaterTrialDelay = seconds(20);
constexpr size_t kCertainStarts = 3;

// After this number of failed trials the part is not tried any more. Each of them ends an
// engine and breaks the calls that it runs.
constexpr uint32_t kMaxTrials = 2;

// The number of daemons that may try a part doubles each time that no trial began in this
// time, so that rare calls get their trial and frequent ones do not collide.
constexpr Duration kTrialTurn = seconds(3);
constexpr int64_t kMaxDoublings = 20;

// A daemon that hears at most this share of the daemons tries no part.
constexpr double kMinAliveShare = 0.5;

// Retry-After for a part that is not tried any more.
constexpr Duration kBlockedRetryAfter = std::chrono::minutes(10);

constexpr Duration kFullLogInterval = std::chrono::minutes(1);

// Engines that ended under a request, from which on it is not sent to another one again.
constexpr size_t kSuspectingEngines = 2;

// Bound of the answered parts and requests that wait for the next digest.
constexpr size_t kMaxAnsweredParts = 32;

uint32_t TeamKey(const RequestRow& aRow)
{
  return aRow.team == nullptr ? 0 : DigestKey(aRow.team->name);
}

std::span<const PromptPart> PartsOf(const RequestRow& aRow)
{
  return aRow.call.model ? SharedParts(*aRow.call.model) : std::span<const PromptPart>();
}

uint64_t TrialRank(const std::string& aHost, uint64_t aPart)
{
  return XXH64(aHost.data(), aHost.size(), aPart);
}

} // namespace

std::optional<TimePoint> NextTrialAt(const PartBlock& aBlock, const PartTrials& aTrials)
{
  // Earlier trials belong to an earlier block, which an answer has ended.
  const uint32_t count = aTrials.lastAt >= aBlock.firstAt ? aTrials.count : 0;
  if (count >= kMaxTrials) {
    return std::nullopt;
  }
  if (count > 0) {
    return std::max(aBlock.since, aTrials.lastAt) + kLaterTrialDelay;
  }
  const bool isCertain = aBlock.starts >= kCertainStarts;
  return aBlock.since + (isCertain ? kLaterTrialDelay : kFirstTrialDelay);
}

bool HasSuspectedPart(const World& aWorld, const RequestRow& aRow)
{
  return std::ranges::any_of(PartsOf(aRow), [&](const PromptPart& aPart) {
    return aWorld.partEvidence.StartsOf(aPart.id) > 0;
  });
}

bool IsSuspectedRequest(const World& aWorld, const RequestRow& aRow)
{
  return aWorld.partEvidence.EnginesOf(aRow.print) >= kSuspectingEngines;
}

std::optional<PartRefusal> PartGuard::CheckRequest(const RequestRow& aRow)
{
  PartEvidence& evidence = world_.partEvidence;
  evidence.Update(world_.Now());
  const RequestBlock* block = evidence.BlockFor(aRow.print);
  if (block == nullptr) {
    return std::nullopt;
  }
  evidence.TrialsOf(PartEvidence::KeyOf(aRow.print)).wantedAt = world_.Now();
  return PartRefusal{ .error = { ErrorKind::RequestBlocked,
                                 std::to_string(block->engines) +
                                   " engines ended as they ran the request " +
                                   PrintText(aRow.print) } };
}

std::optional<PartRefusal> PartGuard::Check(RequestRow& aRow)
{
  if (auto refusal = CheckRequest(aRow)) {
    return refusal;
  }
  if (aRow.isPartTrial && aRow.sentAttempts == 0) {
    return std::nullopt; // it waited for a permit
  }
  PartEvidence& evidence = world_.partEvidence;
  const PartBlock* tried = nullptr;
  for (const PromptPart& part : PartsOf(aRow)) {
    const PartBlock* block = evidence.BlockFor(part.id, TeamKey(aRow));
    if (block == nullptr) {
      continue;
    }
    PartTrials& trials = evidence.TrialsOf(part.id);
    trials.wantedAt = world_.Now();
    if (aRow.sentAttempts == 0 && tried == nullptr && MayTry(*block, trials)) {
      tried = block;
      continue;
    }
    return RefusalFor(*block, trials);
  }
  if (tried != nullptr) {
    BeginTrial(aRow, tried->part);
  }
  return std::nullopt;
}

PartRefusal PartGuard::RefusalFor(const PartBlock& aBlock,
                                  const PartTrials& aTrials) const
{
  const auto next = NextTrialAt(aBlock, aTrials);
  return { .error = { ErrorKind::PromptBlocked,
                      std::to_string(aBlock.starts) +
                        " engines ended as they began to answer calls with the prompt "
                        "part " +
                        PartText(aBlock.part) },
           .retryAfter =
             next ? std::max(*next - world_.Now(), kTrialTurn) : kBlockedRetryAfter };
}

void PartGuard::BeginTrial(RequestRow& aRow, uint64_t aPart)
{
  PartTrials& trials = world_.partEvidence.TrialsOf(aPart);
  trials.count += 1;
  trials.lastAt = world_.Now();
  aRow.isPartTrial = true;
  world_.isDigestUrgent = true;
  world_.counters.Add(EntryCounter::PartTrials);
  world_.Log(LogLevel::Info, "part_trial", aRow.call.requestId,
             { { "part", PartText(aPart) }, { "number", std::to_string(trials.count) } });
}

size_t PartGuard::EnginesOfBlock(const RequestRow& aRow) const
{
  const PartEvidence& evidence = world_.partEvidence;
  if (const RequestBlock* block = evidence.BlockFor(aRow.print)) {
    return block->engines;
  }
  for (const PromptPart& part : PartsOf(aRow)) {
    const PartBlock* block = evidence.BlockFor(part.id, TeamKey(aRow));
    if (block != nullptr && !aRow.isPartTrial) {
      return block->starts;
    }
  }
  return 0;
}

bool PartGuard::MayTry(const PartBlock& aBlock, const PartTrials& aTrials) const
{
  const TimePoint now = world_.Now();
  const auto due = NextTrialAt(aBlock, aTrials);
  if (!due || now < *due || now < world_.observesPartsFrom) {
    return false;
  }
  if (world_.aliveShare <= kMinAliveShare) {
    return false; // the others may try it, and would not hear of each other's trials
  }
  const int64_t turns = std::min((now - *due) / kTrialTurn, kMaxDoublings);
  return RankFor(aBlock.part) < (size_t{ 1 } << static_cast<size_t>(turns));
}

size_t PartGuard::RankFor(uint64_t aPart) const
{
  const uint64_t own = TrialRank(world_.options.host, aPart);
  return static_cast<size_t>(std::ranges::count_if(world_.peers, [&](const auto& aItem) {
    return aItem.second.isAlive && TrialRank(aItem.first, aPart) > own;
  }));
}

void PartGuard::RecordFirstEvent(const RequestRow& aRow)
{
  for (const PromptPart& part : PartsOf(aRow)) {
    if (world_.partEvidence.RecordAnswer(world_.Now(), part.id)) {
      TellAnswered(PartEvidence::KeyOf(part.id));
    }
  }
}

void PartGuard::RecordAnswer(const RequestRow& aRow)
{
  if (world_.partEvidence.RecordAnswer(world_.Now(), aRow.print)) {
    TellAnswered(PartEvidence::AnswerKeyOf(aRow.print));
  }
}

void PartGuard::TellAnswered(uint32_t aKey)
{
  if (world_.answeredParts.size() < kMaxAnsweredParts) {
    world_.answeredParts.push_back(aKey);
    world_.isDigestDue = true;
  }
}

void PartGuard::RecordBroken(const RunningAttempt& aRunning)
{
  const RequestRow& row = *aRunning.request.row;
  const TimePoint now = world_.Now();
  if (aRunning.backend == nullptr) {
    return;
  }
  BrokenStart start{ .id = { .backend = aRunning.backend->key,
                             .startedMs = aRunning.backend->entry.startedMs,
                             .request = row.print },
                     .team = TeamKey(row),
                     .at = now,
                     .isOwn = true };
  const bool judgesParts =
    !aRunning.attempt->hasEvents && now >= world_.observesPartsFrom;
  if (judgesParts) {
    for (const PromptPart& part : PartsOf(row)) {
      start.parts.push_back(part.id);
    }
  }
  const BrokenStartId id = start.id;
  const StartRecorded recorded = world_.partEvidence.AddOwn(now, std::move(start));
  if (recorded == StartRecorded::TableFull) {
    LogFullTable();
  }
  if (recorded != StartRecorded::Yes) {
    return;
  }
  world_.partEvidence.Update(now);
  LogSuspected(row, id);
  world_.isDigestDue = true;
  if (now - lastUrgentAt_ >= world_.digestInterval) {
    lastUrgentAt_ = now;
    world_.isDigestUrgent = true;
  }
}

void PartGuard::LogFullTable()
{
  const TimePoint now = world_.Now();
  if (fullLoggedAt_ && now - *fullLoggedAt_ < kFullLogInterval) {
    return;
  }
  fullLoggedAt_ = now;
  world_.Log(LogLevel::Warning, "part_table_full", {},
             { { "calls", std::to_string(world_.partEvidence.Starts().size()) } });
}

void PartGuard::LogSuspected(const RequestRow& aRow, const BrokenStartId& aId) const
{
  const BrokenStart& start = world_.partEvidence.Starts().at(aId);
  std::string parts;
  for (const uint64_t part : start.parts) {
    if (!parts.empty()) {
      parts += ',';
    }
    parts += PartText(part);
  }
  world_.Log(
    LogLevel::Info, "part_suspected", aRow.call.requestId,
    { { "parts", parts },
      { "request_print", PrintText(aRow.print) },
      { "engines", std::to_string(world_.partEvidence.EnginesOf(aRow.print)) } });
}

void PartGuard::RecordAlive(const BackendRow& aBackend)
{
  world_.partEvidence.RecordAlive(world_.Now(), aBackend.key, aBackend.entry.startedMs);
}

} // namespace gooseberrypath::entry
