#include "entry/backend_choice.h"

#include <algorithm>
#include <limits>

#include "entry/backend_cost.h"
#include "entry/fleet_system.h"

namespace gooseberrypath::entry {

namespace {

/// The usable backends of a service, and their keys in the same order.
struct Candidates
{
  std::vector<std::pair<const std::string*, const BackendRow*>> rows;
  std::vector<uint64_t> keys;
  bool hasBackendAtLimit = false; // it is usable, but not among them
};

constexpr size_t kEngineSampleSize = 4;
// Calls to plain services are shorter than the digest interval, so the load reported by
// peers is mostly outdated. A larger sample only makes more daemons pick the same
// backend.
constexpr size_t kPlainSampleSize = 2;

// A backend at or above either limit is unhealthy. Unhealthy backends of plain services
// are removed before sampling, because a small sample could consist of them only.
constexpr double kUnhealthyFailureRate = 0.3;
constexpr double kUnhealthySlowness = 3;

bool IsHealthy(const BackendRow& aBackend, TimePoint aNow)
{
  return aBackend.health.FailureRate(aNow) < kUnhealthyFailureRate &&
         aBackend.health.Slowness(aNow) < kUnhealthySlowness;
}

/// Removes the unhealthy backends, unless all are unhealthy.
void KeepHealthy(Candidates& aCandidates, TimePoint aNow)
{
  Candidates healthy{ .hasBackendAtLimit = aCandidates.hasBackendAtLimit };
  for (size_t i = 0; i < aCandidates.rows.size(); ++i) {
    if (IsHealthy(*aCandidates.rows[i].second, aNow)) {
      healthy.rows.push_back(aCandidates.rows[i]);
      healthy.keys.push_back(aCandidates.keys[i]);
    }
  }
  if (!healthy.rows.empty()) {
    aCandidates = std::move(healthy);
  }
}

/// Reduces the candidates to a random sample of `aSize`. The sample always contains the
/// affinity engine if there is one; `aAffinity` is set to its new index.
void Sample(Candidates& aCandidates, std::optional<size_t>& aAffinity, size_t aSize,
            std::mt19937_64& aRandom)
{
  if (aCandidates.rows.size() <= aSize) {
    return;
  }
  const auto swap = [&](size_t aLeft, size_t aRight) {
    std::swap(aCandidates.rows[aLeft], aCandidates.rows[aRight]);
    std::swap(aCandidates.keys[aLeft], aCandidates.keys[aRight]);
  };
  size_t kept = 0;
  if (aAffinity) {
    swap(0, *aAffinity);
    aAffinity = 0;
    kept = 1;
  }
  for (; kept < aSize; ++kept) {
    std::uniform_int_distribution<size_t> index(kept, aCandidates.rows.size() - 1);
    swap(kept, index(aRandom));
  }
  aCandidates.rows.resize(aSize);
  aCandidates.keys.resize(aSize);
}

/// Tells whether the call cannot be sent to the backend because of its limit: there is no
/// permit, and the call may not wait for one.
bool IsAtLimit(const World& aWorld, const RequestRow& aRow, const BackendRow& aBackend)
{
  if (!aBackend.limit.Enforced()) {
    return false;
  }
  const TimePoint now = aWorld.Now();
  const bool mayWait = !aRow.permitWaitEnd || now < *aRow.permitWaitEnd;
  return mayWait ? !aBackend.permits.MayGet(now) : !aBackend.permits.HasPermit(now);
}

Candidates FindCandidates(const World& aWorld, const RequestRow& aRow,
                          bool aIncludeFailed)
{
  Candidates found;
  for (const auto& [id, backend] : aWorld.backends) {
    if (backend.entry.service != aRow.service || !IsUsable(backend, aWorld.Now())) {
      continue;
    }
    const bool hasFailed =
      std::ranges::find(aRow.failedBackends, id) != aRow.failedBackends.end();
    if (hasFailed && !aIncludeFailed) {
      continue;
    }
    if (IsAtLimit(aWorld, aRow, backend)) {
      found.hasBackendAtLimit = true;
      continue;
    }
    found.rows.emplace_back(&id, &backend);
    found.keys.push_back(backend.key);
  }
  return found;
}

/// Estimates the KV cache memory of a call, in tokens. Only half of the maximum output is
/// counted because most responses end before the limit.
uint32_t NeededKvTokens(const ModelDemand& aDemand)
{
  return aDemand.promptTokens + aDemand.maxOutputTokens / 2;
}

} // namespace

std::optional<BackendChoice> ChooseBackend(World& aWorld, const RequestRow& aRow)
{
  Candidates candidates = FindCandidates(aWorld, aRow, false);
  if (candidates.rows.empty()) {
    candidates = FindCandidates(aWorld, aRow, true);
  }
  if (candidates.rows.empty()) {
    return std::nullopt;
  }
  const auto& demand = aRow.call.model;
  std::optional<size_t> affinity;
  if (demand) {
    affinity = AffinityEngine(*demand, candidates.keys);
  }
  if (aWorld.DaemonCount() > kMaxDaemonsForFullScan) {
    if (!demand) {
      KeepHealthy(candidates, aWorld.Now());
    }
    Sample(candidates, affinity, demand ? kEngineSampleSize : kPlainSampleSize,
           aWorld.random);
  }
  const auto found = aWorld.serviceStats.find(aRow.service);
  const ServiceStats stats =
    found == aWorld.serviceStats.end() ? ServiceStats{} : found->second;
  const auto service = aRow.configuration->services.find(aRow.service);
  const bool hasEngines =
    service != aRow.configuration->services.end() && service->second.engine;
  const double failureCostMs =
    3 * std::chrono::duration<double, std::milli>(aRow.route->latencyObjective).count();

  std::optional<BackendChoice> best;
  double bestCost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < candidates.rows.size(); ++i) {
    const auto& [id, backend] = candidates.rows[i];
    const TotalBackendUse use = aWorld.TotalUseOf(*backend);
    BackendLoad load{
      .slots = backend->entry.slots,
      .inFlight = static_cast<uint32_t>(std::max<int64_t>(use.inFlight, 0)),
      .waitingTokens = static_cast<uint64_t>(std::max<int64_t>(use.waitingTokens, 0)),
      .kvTokens = static_cast<uint64_t>(std::max<int64_t>(use.kvTokens, 0)),
      .kvCapacityTokens = hasEngines ? service->second.engine->kvCapacityTokens : 0,
      .prefillTokensPerMs = stats.prefillTokensPerMs,
      .baseMs = stats.baseMs,
      .slotTimeMs = stats.slotTimeMs,
      .slowness = backend->health.Slowness(aWorld.Now()),
      .failureRate = backend->health.FailureRate(aWorld.Now()),
      .failureCostMs = failureCostMs,
      .isRemote = backend->entry.dataCentre != aWorld.options.dataCentre
    };
    if (demand) {
      load.uncachedTokens = aWorld.promptCacheIndex.UncachedTokens(
        aWorld.Now(), backend->key, i == affinity, *demand);
      load.neededKvTokens = NeededKvTokens(*demand);
    }
    const double cost = ExpectedCost(load);
    if (cost < bestCost) {
      bestCost = cost;
      best = BackendChoice{ .id = *id,
                            .expectedMs = ExpectedFirstEventMs(load),
                            .uncachedTokens = load.uncachedTokens,
                            .kvTokens = load.neededKvTokens,
                            .inFlight = load.inFlight,
                            .waitingTokens = static_cast<double>(load.waitingTokens),
                            .avoidsLimit = candidates.hasBackendAtLimit };
    }
  }
  return best;
}

BackendChoice PlacedChoice(const World& aWorld, const RequestRow& aRow,
                           const BackendRow& aBackend)
{
  const auto found = aWorld.serviceStats.find(aRow.service);
  const double baseMs =
    found == aWorld.serviceStats.end() ? ServiceStats{}.baseMs : found->second.baseMs;
  const int64_t inFlight = aWorld.TotalUseOf(aBackend).inFlight;
  return { .id = aBackend.entry.id,
           .expectedMs = baseMs * aBackend.health.Slowness(aWorld.Now()),
           .inFlight = static_cast<uint32_t>(std::max<int64_t>(inFlight, 0)) };
}

std::string DescribeLimits(const World& aWorld, const RequestRow& aRow)
{
  constexpr int kMaxNamed = 3;
  std::string text;
  int count = 0;
  for (const auto& [id, backend] : aWorld.backends) {
    if (backend.entry.service != aRow.service || !IsUsable(backend, aWorld.Now()) ||
        !IsAtLimit(aWorld, aRow, backend)) {
      continue;
    }
    if (++count <= kMaxNamed) {
      text += text.empty() ? "" : ", ";
      text += id + " at " + LimitText(backend.limit.InForce());
    }
  }
  return count <= kMaxNamed
           ? text
           : text + " and " + std::to_string(count - kMaxNamed) + " more";
}

std::optional<Duration> TimeUntilUsable(const World& aWorld, const RequestRow& aRow)
{
  std::optional<Duration> earliest;
  for (const auto& [id, backend] : aWorld.backends) {
    const bool isCandidate = backend.entry.service == aRow.service &&
                             !backend.entry.isLeaving && !backend.removedAt;
    if (!isCandidate) {
      continue;
    }
    TimePoint usableAt = std::max(backend.avoidUntil, backend.backOffUntil);
    if (IsAtLimit(aWorld, aRow, backend)) {
      usableAt = std::max(usableAt, backend.permits.AskAgainAt());
    }
    const Duration wait = std::max<Duration>(usableAt - aWorld.Now(), Duration::zero());
    earliest = std::min(earliest.value_or(wait), wait);
  }
  return earliest;
}

std::string PickService(const Route& aRoute, std::string_view aRequestId)
{
  double total = 0;
  for (const WeightedService& share : aRoute.services) {
    total += std::max(share.weight, 0.0);
  }
  constexpr double kParts = 1'000'000;
  double point = static_cast<double>(DigestKey(aRequestId) % 1'000'000) / kParts * total;
  for (const WeightedService& share : aRoute.services) {
    point -= std::max(share.weight, 0.0);
    if (point < 0) {
      return share.service;
    }
  }
  return aRoute.services.empty() ? std::string() : aRoute.services.back().service;
}

} // namespace gooseberrypath::entry
