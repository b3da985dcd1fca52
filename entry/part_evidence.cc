#include "entry/part_evidence.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Calls at whose start a backend ended, from which on their common part is blocked.
constexpr size_t kBlockingStarts = 2;

// Engines that ended under a request, from which on it is blocked.
constexpr size_t kBlockingEngines = 3;

// Evidence against a part that is not blocked is kept for this time.
constexpr Duration kStartRetention = seconds(120);

// A block ends when no call with its part came for this time.
constexpr Duration kBlockRetention = std::chrono::minutes(10);

// A part that is answered all the time is told again after this time.
constexpr Duration kAnswerTellInterval = seconds(1);

// A backend that answers within this span after a connection of it broke has not ended:
// what was on its way arrives earlier, and a restart takes longer.
constexpr Duration kMinAliveDelay = milliseconds(150);
constexpr Duration kMaxAliveDelay = milliseconds(1000);

constexpr Duration kForgetInterval = seconds(1);

// Bounds of the tables. Attempts beyond it are not recorded.
constexpr size_t kMaxStarts = 512;
constexpr size_t kMaxParts = 128; // of one attempt

/// One process of an engine.
using Engine = std::pair<uint32_t, uint64_t>;

Engine EngineOf(const BrokenStart& aStart)
{
  return { aStart.id.backend, aStart.id.startedMs };
}

size_t CountEnginesOf(const std::vector<const BrokenStart*>& aStarts)
{
  std::set<Engine> engines;
  for (const BrokenStart* start : aStarts) {
    engines.insert(EngineOf(*start));
  }
  return engines.size();
}

/// Returns the number of pairs of a request and a backend that share neither.
size_t CountDistinct(const std::vector<const BrokenStart*>& aStarts)
{
  std::set<RequestPrint> requests;
  for (const BrokenStart* start : aStarts) {
    requests.insert(start->id.request);
  }
  return std::min(requests.size(), CountEnginesOf(aStarts));
}

} // namespace

uint32_t PartEvidence::KeyOf(uint64_t aPart)
{
  return XXH32(&aPart, sizeof(aPart), 0);
}

bool PartEvidence::RecordAnswer(TimePoint aNow, uint64_t aPart)
{
  const uint32_t key = KeyOf(aPart);
  const bool isTold = answered_.WasAnswered(key, aNow - kAnswerTellInterval);
  if (!isTold) {
    RecordPeerAnswer(aNow, key);
  }
  return !isTold;
}

bool PartEvidence::RecordAnswer(TimePoint aNow, const RequestPrint& aRequest)
{
  const uint32_t key = AnswerKeyOf(aRequest);
  ownAnswered_.Record(aNow, key);
  const bool isSuspected = startsOfKey_.contains(key);
  RemoveAnswered(key);
  return isSuspected;
}

void PartEvidence::RecordPeerAnswer(TimePoint aNow, uint32_t aPartKey)
{
  answered_.Record(aNow, aPartKey);
  RemoveAnswered(aPartKey);
}

void PartEvidence::RemoveAnswered(uint32_t aKey)
{
  const auto suspected = startsOfKey_.find(aKey);
  if (suspected == startsOfKey_.end()) {
    return;
  }
  for (const BrokenStartId& id : suspected->second) {
    if (const auto start = starts_.find(id); start != starts_.end()) {
      std::erase_if(start->second.parts,
                    [&](uint64_t aPart) { return KeyOf(aPart) == aKey; });
      const bool isRequest = AnswerKeyOf(id.request) == aKey;
      start->second.isCleared = start->second.isCleared || isRequest;
    }
  }
  startsOfKey_.erase(suspected);
  isChanged_ = true;
}

bool PartEvidence::WasAnswered(uint32_t aKey, TimePoint aSince) const
{
  return answered_.WasAnswered(aKey, aSince - freshTime_);
}

bool PartEvidence::WasAnswered(const RequestPrint& aRequest, TimePoint aBrokenAt) const
{
  return ownAnswered_.WasAnswered(AnswerKeyOf(aRequest), aBrokenAt - freshTime_);
}

void PartEvidence::LeaveOutAnswered(BrokenStart& aStart) const
{
  std::erase_if(aStart.parts,
                [&](uint64_t aPart) { return WasAnswered(KeyOf(aPart), aStart.at); });
  const RequestPrint& request = aStart.id.request;
  aStart.isCleared = aStart.isCleared || WasAnswered(request, aStart.at) ||
                     WasAnswered(AnswerKeyOf(request), aStart.at);
}

StartRecorded PartEvidence::AddOwn(TimePoint aNow, BrokenStart aStart)
{
  LeaveOutAnswered(aStart);
  if (!aStart.IsSuspect()) {
    return StartRecorded::NothingSuspected;
  }
  // If there are too many, the parts that nobody has answered lately are kept.
  std::stable_partition(aStart.parts.begin(), aStart.parts.end(), [&](uint64_t aPart) {
    return !answered_.Contains(KeyOf(aPart));
  });
  const BrokenStartId id = aStart.id;
  Merge(aNow, std::move(aStart));
  return starts_.contains(id) ? StartRecorded::Yes : StartRecorded::TableFull;
}

void PartEvidence::Add(TimePoint aNow, BrokenStart aStart)
{
  if (!IsKept(aStart, aNow) || !MakeRoom(aStart.team)) {
    return;
  }
  aStart.parts.resize(std::min(aStart.parts.size(), kMaxParts));
  for (const uint64_t part : aStart.parts) {
    startsOfKey_[KeyOf(part)].push_back(aStart.id);
  }
  startsOfKey_[AnswerKeyOf(aStart.id.request)].push_back(aStart.id);
  starts_.emplace(aStart.id, std::move(aStart));
  isChanged_ = true;
}

bool PartEvidence::MakeRoom(uint32_t aTeam)
{
  if (starts_.size() < kMaxStarts) {
    return true;
  }
  std::map<uint32_t, size_t> counts;
  for (const auto& [id, start] : starts_) {
    counts[start.team] += 1;
  }
  const auto largest =
    std::ranges::max_element(counts, {}, [](const auto& aItem) { return aItem.second; });
  if (counts[aTeam] >= largest->second) {
    return false;
  }
  // No team's evidence pushes out that of another one which has less.
  auto oldest = starts_.end();
  for (auto it = starts_.begin(); it != starts_.end(); ++it) {
    const bool isCandidate = it->second.team == largest->first;
    if (isCandidate && (oldest == starts_.end() || it->second.at < oldest->second.at)) {
      oldest = it;
    }
  }
  starts_.erase(oldest);
  return true;
}

void PartEvidence::Merge(TimePoint aNow, BrokenStart aStart)
{
  LeaveOutAnswered(aStart);
  const auto known = starts_.find(aStart.id);
  if (known == starts_.end()) {
    Add(aNow, std::move(aStart));
    return;
  }
  // Either side may have heard that a part was answered.
  BrokenStart& start = known->second;
  const size_t removed = std::erase_if(start.parts, [&](uint64_t aPart) {
    return std::ranges::find(aStart.parts, aPart) == aStart.parts.end();
  });
  const bool wasCleared =
    std::exchange(start.isCleared, start.isCleared || aStart.isCleared);
  isChanged_ = isChanged_ || removed > 0 || start.isCleared != wasCleared;
}

void PartEvidence::MergeSome(TimePoint aNow, BrokenStart aStart)
{
  LeaveOutAnswered(aStart);
  const auto known = starts_.find(aStart.id);
  if (known == starts_.end()) {
    Add(aNow, std::move(aStart));
    return;
  }
  const bool isCleared = known->second.isCleared || aStart.isCleared;
  isChanged_ = isChanged_ || isCleared != known->second.isCleared;
  known->second.isCleared = isCleared;
  std::vector<uint64_t>& parts = known->second.parts;
  if (parts.empty()) {
    return; // nothing is suspected of this attempt any more
  }
  for (const uint64_t part : aStart.parts) {
    if (parts.size() < kMaxParts && std::ranges::find(parts, part) == parts.end()) {
      parts.push_back(part);
      startsOfKey_[KeyOf(part)].push_back(aStart.id);
      isChanged_ = true;
    }
  }
}

void PartEvidence::RecordAlive(TimePoint aNow, uint32_t aBackend, uint64_t aStartedMs)
{
  const BrokenStartId first{ .backend = aBackend, .startedMs = aStartedMs };
  for (auto it = starts_.lower_bound(first); it != starts_.end(); ++it) {
    const BrokenStartId& id = it->first;
    if (id.backend != aBackend || id.startedMs != aStartedMs) {
      return;
    }
    BrokenStart& start = it->second;
    const Duration age = aNow - start.at;
    if (age >= kMinAliveDelay && age <= kMaxAliveDelay && start.IsSuspect()) {
      start.parts.clear();
      start.isCleared = true;
      isChanged_ = true;
    }
  }
}

std::map<uint64_t, std::vector<const BrokenStart*>> PartEvidence::StartsByPart() const
{
  std::map<uint64_t, std::vector<const BrokenStart*>> all;
  for (const auto& [id, start] : starts_) {
    for (const uint64_t part : start.parts) {
      all[part].push_back(&start);
    }
  }
  std::map<uint64_t, size_t> counts;
  for (const auto& [part, starts] : all) {
    counts[part] = CountDistinct(starts);
  }
  std::map<const BrokenStart*, size_t> mostOf; // calls against the worst part of each
  for (const auto& [part, starts] : all) {
    for (const BrokenStart* start : starts) {
      mostOf[start] = std::max(mostOf[start], counts[part]);
    }
  }
  for (auto& [part, starts] : all) {
    const size_t own = counts[part];
    const size_t engines = CountEnginesOf(starts);
    std::erase_if(starts, [&](const BrokenStart* aStart) {
      return mostOf[aStart] > own || IsExplained(*aStart, engines);
    });
  }
  return all;
}

bool PartEvidence::IsExplained(const BrokenStart& aStart, size_t aEngines) const
{
  const size_t ofRequest = EnginesOf(aStart.id.request);
  return ofRequest >= kBlockingEngines ||
         (ofRequest >= kBlockingStarts && ofRequest >= aEngines);
}

void PartEvidence::CountEngines()
{
  std::map<RequestPrint, std::set<Engine>> all;
  for (const auto& [id, start] : starts_) {
    if (!start.isCleared) {
      all[id.request].insert(EngineOf(start));
    }
  }
  std::map<Engine, size_t> mostAt; // engines that the worst request of each has ended
  for (const auto& [request, engines] : all) {
    for (const Engine& engine : engines) {
      mostAt[engine] = std::max(mostAt[engine], engines.size());
    }
  }
  engines_.clear();
  for (const auto& item : all) {
    const std::set<Engine>& engines = item.second;
    engines_[item.first] = std::ranges::count_if(
      engines, [&](const Engine& aEngine) { return mostAt[aEngine] <= engines.size(); });
  }
}

void PartEvidence::UpdateRequestBlocks(TimePoint aNow)
{
  std::map<RequestPrint, RequestBlock> next;
  for (const auto& [request, count] : engines_) {
    if (count < kBlockingEngines) {
      continue;
    }
    const auto known = requestBlocks_.find(request);
    next[request] = { .request = request,
                      .since = known == requestBlocks_.end() ? aNow : known->second.since,
                      .firstAt = aNow,
                      .engines = count };
  }
  for (const auto& [id, start] : starts_) {
    if (const auto block = next.find(id.request); block != next.end()) {
      block->second.firstAt = std::min(block->second.firstAt, start.at);
    }
  }
  requestBlocks_ = std::move(next);
}

void PartEvidence::Update(TimePoint aNow)
{
  if (forgotAt_ + kForgetInterval <= aNow) {
    forgotAt_ = aNow;
    ForgetOld(aNow);
  }
  if (!std::exchange(isChanged_, false)) {
    return;
  }
  CountEngines();
  UpdateRequestBlocks(aNow);
  UpdatePartBlocks(aNow);
}

void PartEvidence::UpdatePartBlocks(TimePoint aNow)
{
  std::map<uint64_t, PartBlock> next;
  for (const auto& [part, starts] : StartsByPart()) {
    const size_t count = CountDistinct(starts);
    if (count < kBlockingStarts) {
      continue;
    }
    const auto known = blocks_.find(part);
    PartBlock block{ .part = part,
                     .since = known == blocks_.end() ? aNow : known->second.since,
                     .firstAt = aNow,
                     .starts = count };
    for (const BrokenStart* start : starts) {
      block.firstAt = std::min(block.firstAt, start->at);
      block.teams.insert(start->team);
    }
    next.emplace(part, std::move(block));
  }
  blocks_ = std::move(next);
}

size_t PartEvidence::StartsOf(uint64_t aPart) const
{
  const auto found = blocks_.find(aPart);
  if (found != blocks_.end()) {
    return found->second.starts;
  }
  if (!startsOfKey_.contains(KeyOf(aPart))) {
    return 0;
  }
  const auto starts = StartsByPart();
  const auto own = starts.find(aPart);
  return own == starts.end() ? 0 : CountDistinct(own->second);
}

void PartEvidence::MergeTrials(uint64_t aPart, const PartTrials& aTrials)
{
  if (trials_.size() >= kMaxStarts && !trials_.contains(aPart)) {
    return;
  }
  PartTrials& known = trials_[aPart];
  known.count = std::max(known.count, aTrials.count);
  known.lastAt = std::max(known.lastAt, aTrials.lastAt);
  known.wantedAt = std::max(known.wantedAt, aTrials.wantedAt);
}

bool PartEvidence::IsKept(const BrokenStart& aStart, TimePoint aNow) const
{
  const auto isWanted = [&](uint64_t aKey) {
    const auto trials = trials_.find(aKey);
    return trials != trials_.end() && trials->second.wantedAt + kBlockRetention > aNow;
  };
  const bool isSecond = EnginesOf(aStart.id.request) >= kBlockingStarts;
  return aStart.at + (isSecond ? kBlockRetention : kStartRetention) > aNow ||
         (!aStart.isCleared && isWanted(KeyOf(aStart.id.request))) ||
         std::ranges::any_of(aStart.parts, isWanted);
}

void PartEvidence::ForgetOld(TimePoint aNow)
{
  const size_t forgotten = std::erase_if(
    starts_, [&](const auto& aItem) { return !IsKept(aItem.second, aNow); });
  if (forgotten > 0) {
    isChanged_ = true;
    std::erase_if(startsOfKey_, [&](const auto& aItem) {
      return std::ranges::none_of(
        aItem.second, [&](const BrokenStartId& aId) { return starts_.contains(aId); });
    });
  }
  std::erase_if(trials_, [&](const auto& aItem) {
    const PartTrials& trials = aItem.second;
    return std::max(trials.lastAt, trials.wantedAt) + kBlockRetention <= aNow;
  });
  answered_.ForgetOld(aNow);
  ownAnswered_.ForgetOld(aNow);
}

const RequestBlock* PartEvidence::BlockFor(const RequestPrint& aRequest) const
{
  const auto found = requestBlocks_.find(aRequest);
  return found == requestBlocks_.end() ? nullptr : &found->second;
}

size_t PartEvidence::EnginesOf(const RequestPrint& aRequest) const
{
  const auto found = engines_.find(aRequest);
  return found == engines_.end() ? 0 : found->second;
}

const PartBlock* PartEvidence::BlockFor(uint64_t aPart, uint32_t aTeam) const
{
  const auto found = blocks_.find(aPart);
  if (found == blocks_.end()) {
    return nullptr;
  }
  const PartBlock& block = found->second;
  return block.teams.size() > 1 || block.teams.contains(aTeam) ? &block : nullptr;
}

} // namespace gooseberrypath::entry
