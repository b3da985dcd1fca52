#include "entry/part_gossip.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace gooseberrypath::entry {

namespace {

// The own broken attempts are in each digest for this time, the other evidence in one of
// this number of digests.
constexpr Duration kOwnGossipTime = std::chrono::seconds(3);
constexpr uint64_t kRefreshDigests = 8;

// Bounds of what a digest carries, some 1.4 KB. Longer lists of parts are told in turns.
constexpr size_t kMaxOwnStarts = 12;
constexpr size_t kMaxOtherStarts = 4;
constexpr size_t kMaxTrials = 8;
constexpr size_t kMaxPartIds = 128; // of all attempts together
constexpr size_t kMinTurnParts = kMaxPartIds / (kMaxOwnStarts + kMaxOtherStarts);

// Bound of what a daemon keeps in the store, some 16 KB.
constexpr size_t kMaxStoredStarts = 64;

uint32_t AgeMs(TimePoint aNow, TimePoint aAt)
{
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aAt);
  return static_cast<uint32_t>(
    std::clamp<int64_t>(age.count(), 0, std::numeric_limits<uint32_t>::max()));
}

GossipedStart ToGossip(const BrokenStart& aStart, TimePoint aNow)
{
  return { .id = aStart.id,
           .team = aStart.team,
           .ageMs = AgeMs(aNow, aStart.at),
           .parts = aStart.parts,
           .isCleared = aStart.isCleared };
}

/// Returns at most this number of the attempts, the newest ones of each team in turn, so
/// that the attempts of one team leave room for those of the others.
std::vector<const BrokenStart*> SharedAmongTeams(std::vector<const BrokenStart*> aStarts,
                                                 size_t aMost)
{
  std::ranges::sort(aStarts, std::ranges::greater(), &BrokenStart::at);
  std::map<uint32_t, size_t> taken;
  std::vector<std::pair<size_t, const BrokenStart*>> ranked;
  ranked.reserve(aStarts.size());
  for (const BrokenStart* start : aStarts) {
    ranked.emplace_back(taken[start->team]++, start);
  }
  std::ranges::stable_sort(ranked, {}, [](const auto& aItem) { return aItem.first; });
  ranked.resize(std::min(ranked.size(), aMost));
  std::vector<const BrokenStart*> shared;
  shared.reserve(ranked.size());
  for (const auto& [rank, start] : ranked) {
    shared.push_back(start);
  }
  return shared;
}

/// Keeps at most this number of the attempt's parts, others in each turn.
void KeepTurn(GossipedStart& aStart, size_t aMaxParts, uint64_t aTurn)
{
  const size_t count = aStart.parts.size();
  if (count <= aMaxParts) {
    return;
  }
  const size_t turns = (count + aMaxParts - 1) / aMaxParts;
  const size_t from = (aTurn % turns) * aMaxParts;
  const size_t to = std::min(from + aMaxParts, count);
  aStart.parts = { aStart.parts.begin() + static_cast<std::ptrdiff_t>(from),
                   aStart.parts.begin() + static_cast<std::ptrdiff_t>(to) };
  aStart.isPartial = true;
}

bool IsTurn(uint64_t aKey, uint64_t aSequence)
{
  return aKey % kRefreshDigests == aSequence % kRefreshDigests;
}

/// Arranges that the peers hear of it if this daemon had an answer to a request that a
/// peer suspects.
void TellIfAnswered(World& aWorld, const BrokenStart& aTold)
{
  const RequestPrint& request = aTold.id.request;
  if (aTold.isCleared || !aWorld.partEvidence.WasAnswered(request, aTold.at)) {
    return;
  }
  const uint32_t key = PartEvidence::AnswerKeyOf(request);
  std::vector<uint32_t>& answered = aWorld.answeredParts;
  if (std::ranges::find(answered, key) == answered.end()) {
    answered.push_back(key);
  }
}

} // namespace

std::string EncodePartEvidence(const World& aWorld)
{
  const auto wallMs = [&](TimePoint aTime) { return aWorld.WallAt(aTime).count(); };
  std::vector<const BrokenStart*> own;
  for (const auto& [id, start] : aWorld.partEvidence.Starts()) {
    if (start.isOwn && start.IsSuspect()) {
      own.push_back(&start);
    }
  }
  auto starts = nlohmann::json::array();
  for (const BrokenStart* start : SharedAmongTeams(std::move(own), kMaxStoredStarts)) {
    const BrokenStartId& id = start->id;
    starts.push_back({ { "backend", id.backend },
                       { "startedMs", id.startedMs },
                       { "requestHigh", id.request.high },
                       { "requestLow", id.request.low },
                       { "isCleared", start->isCleared },
                       { "team", start->team },
                       { "atMs", wallMs(start->at) },
                       { "parts", start->parts } });
  }
  auto trials = nlohmann::json::array();
  for (const auto& [part, known] : aWorld.partEvidence.Trials()) {
    if (trials.size() < kMaxTrials) {
      trials.push_back({ { "part", part },
                         { "count", known.count },
                         { "lastMs", wallMs(known.lastAt) },
                         { "wantedMs", wallMs(known.wantedAt) } });
    }
  }
  return nlohmann::json{ { "starts", starts }, { "trials", trials } }.dump();
}

Result<GossipedParts> DecodePartEvidence(const World& aWorld, std::string_view aText)
{
  const int64_t now = aWorld.WallNow().count();
  const auto age = [&](const nlohmann::json& aWallMs) {
    return static_cast<uint32_t>(std::clamp<int64_t>(
      now - aWallMs.get<int64_t>(), 0, std::numeric_limits<uint32_t>::max()));
  };
  // A daemon of another version may have written the text, so a field of an unexpected
  // type is an input error and not a bug.
  try {
    const auto root = nlohmann::json::parse(aText);
    GossipedParts parts;
    for (const auto& start : root.at("starts")) {
      const RequestPrint request{ .high = start.at("requestHigh").get<uint64_t>(),
                                  .low = start.at("requestLow").get<uint64_t>() };
      parts.starts.push_back({ .id = { .backend = start.at("backend").get<uint32_t>(),
                                       .startedMs = start.at("startedMs").get<uint64_t>(),
                                       .request = request },
                               .team = start.at("team").get<uint32_t>(),
                               .ageMs = age(start.at("atMs")),
                               .parts = start.at("parts").get<std::vector<uint64_t>>(),
                               .isCleared = start.at("isCleared").get<bool>() });
    }
    for (const auto& trials : root.at("trials")) {
      parts.trials.push_back({ .part = trials.at("part").get<uint64_t>(),
                               .count = trials.at("count").get<uint32_t>(),
                               .lastAgeMs = age(trials.at("lastMs")),
                               .wantedAgeMs = age(trials.at("wantedMs")) });
    }
    return parts;
  } catch (const nlohmann::json::exception& problem) {
    return MakeError(ErrorKind::BadRequest, problem.what());
  }
}

GossipedParts PartsToGossip(World& aWorld, uint64_t aSequence)
{
  const TimePoint now = aWorld.Now();
  GossipedParts gossiped{ .answered = std::exchange(aWorld.answeredParts, {}) };
  std::vector<GossipedStart> others;
  std::vector<const BrokenStart*> own;
  for (const auto& [id, start] : aWorld.partEvidence.Starts()) {
    const bool isNew = start.isOwn && start.at + kOwnGossipTime > now;
    if (isNew) {
      own.push_back(&start);
    } else if (start.IsSuspect() && IsTurn(id.request.low, aSequence) &&
               others.size() < kMaxOtherStarts) {
      others.push_back(ToGossip(start, now));
    }
  }
  for (const BrokenStart* start : SharedAmongTeams(std::move(own), kMaxOwnStarts)) {
    gossiped.starts.push_back(ToGossip(*start, now));
  }
  const size_t starts = gossiped.starts.size() + others.size();
  const size_t maxParts =
    starts == 0 ? kMaxPartIds : std::max(kMinTurnParts, kMaxPartIds / starts);
  for (GossipedStart& start : gossiped.starts) {
    KeepTurn(start, maxParts, aSequence);
  }
  for (GossipedStart& start : others) {
    KeepTurn(start, maxParts,
             aSequence / kRefreshDigests); // its digests are as far apart
  }
  gossiped.starts.insert(gossiped.starts.end(), others.begin(), others.end());
  for (const auto& [part, trials] : aWorld.partEvidence.Trials()) {
    const bool isNew =
      trials.lastAt != TimePoint{} && trials.lastAt + kOwnGossipTime > now;
    if ((isNew || IsTurn(part, aSequence)) && gossiped.trials.size() < kMaxTrials) {
      gossiped.trials.push_back({ .part = part,
                                  .count = trials.count,
                                  .lastAgeMs = AgeMs(now, trials.lastAt),
                                  .wantedAgeMs = AgeMs(now, trials.wantedAt) });
    }
  }
  return gossiped;
}

void ApplyGossipedParts(World& aWorld, const GossipedParts& aParts)
{
  const TimePoint now = aWorld.Now();
  const auto before = [&](uint32_t aAgeMs) {
    return now - std::chrono::milliseconds(aAgeMs);
  };
  PartEvidence& evidence = aWorld.partEvidence;
  for (const GossipedTrials& trials : aParts.trials) {
    evidence.MergeTrials(
      trials.part, { .count = trials.count,
                     .lastAt = trials.count == 0 ? TimePoint{} : before(trials.lastAgeMs),
                     .wantedAt = before(trials.wantedAgeMs) });
  }
  for (const GossipedStart& start : aParts.starts) {
    BrokenStart told{ .id = start.id,
                      .team = start.team,
                      .at = before(start.ageMs),
                      .parts = start.parts,
                      .isCleared = start.isCleared };
    TellIfAnswered(aWorld, told);
    if (start.isPartial) {
      evidence.MergeSome(now, std::move(told));
    } else {
      evidence.Merge(now, std::move(told));
    }
  }
  for (const uint32_t part : aParts.answered) {
    evidence.RecordPeerAnswer(now, part);
  }
}

} // namespace gooseberrypath::entry
