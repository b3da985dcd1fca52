#include "entry/placement_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "entry/backend_cost.h"
#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// Maximum ages of what a load report says. Calls last some tens of milliseconds, and the
// pace of a backend changes about twice a second.
constexpr Duration kMaxCallsAge = milliseconds(300);
constexpr Duration kMaxPaceAge = milliseconds(600);

// Bounds of a reported pace. A backend that reports a false one neither gets all calls
// nor none.
constexpr double kMinPace = 0.25;
constexpr double kMaxPace = 4;

// A placement is removed this long after the deadline of its call, when its release must
// have been lost.
constexpr Duration kExpiryMargin = milliseconds(500);

// A call reaches its backend at most this long after it was placed, unless a connection
// has to be established. A report from before need not show it.
constexpr Duration kRoundTrip = milliseconds(20);

// From the moment at which a backend writes a report to its arrival at a daemon that has
// little processor time.
constexpr Duration kReportDelay = milliseconds(30);

// Calls that only a report shows are taken to end within this multiple of the time that a
// call takes. Without it, a backend that gets no placements sends no newer reports, and
// its slots stay unused until the report is too old.
constexpr double kUnplacedLifetime = 2;

// A report that shows fewer calls than there are placements removes only placements that
// are older than this multiple of the time that a call takes: the releases of younger
// ones may be on their way, and a backend that reports too few calls would be overloaded.
constexpr double kUnreportedAgeFactor = 3;

// Within this time, at most as many placements as the backend has slots are removed due
// to its reports. This bounds what a backend that always reports no calls can receive.
constexpr Duration kDoubtTime = std::chrono::seconds(1);

// A digest may still show calls that ended this long ago: large deployments send them
// about once a second.
constexpr Duration kMaxDigestAge = milliseconds(1500);

// From the end of a call to the arrival of the next one in its slot, a release, a reply
// and the call itself are on their way. Calls are placed that much earlier, so that the
// slot is not idle meanwhile.
constexpr double kHandOverMs = 5;

// From this share of live daemons on, the others are taken to be restarting and not to be
// behind a partition.
constexpr double kNearlyAllShare = 0.95;

// Weight of one observation in the moving average of the time that a call takes, and the
// bounds of an observation.
constexpr double kObservationWeight = 0.05;
constexpr double kMinWorkMs = 1;
constexpr double kMaxWorkMs = 60'000;

// A backend at or above either limit gets calls only if all are unhealthy, as when a
// daemon chooses alone.
constexpr double kUnhealthyFailureRate = 0.3;
constexpr double kUnhealthySlowness = 3;

bool IsHealthy(const PlaceableBackend& aBackend)
{
  return aBackend.failureRate < kUnhealthyFailureRate &&
         aBackend.slowness < kUnhealthySlowness;
}

} // namespace

void PlacementLedger::SetBackends(TimePoint aNow,
                                  const std::map<uint32_t, PlaceableBackend>& aBackends)
{
  since_ = since_.value_or(aNow);
  for (auto& [key, backend] : backends_) {
    const auto found = aBackends.find(key);
    if (found == aBackends.end() || found->second.startedMs != backend.known.startedMs) {
      Clear(backend);
    }
  }
  std::erase_if(backends_,
                [&](const auto& aItem) { return !aBackends.contains(aItem.first); });
  for (const auto& [key, known] : aBackends) {
    backends_[key].known = known;
  }
  RemoveExpired(aNow);
}

void PlacementLedger::Clear(Backend& aBackend)
{
  for (const Placement& placement : aBackend.placements) {
    backendOf_.erase(placement.key);
  }
  aBackend = Backend{ .known = aBackend.known };
}

void PlacementLedger::ApplyReport(TimePoint aNow, uint32_t aBackend,
                                  const LoadReport& aReport, TimePoint aReceivedAt)
{
  const auto found = backends_.find(aBackend);
  if (found != backends_.end() &&
      StoreReport(aNow, found->second, aReport, aReceivedAt)) {
    RemoveUnreported(aNow, found->second);
  }
}

bool PlacementLedger::StoreReport(TimePoint aNow, Backend& aBackend,
                                  const LoadReport& aReport, TimePoint aReceivedAt)
{
  const bool isNewest = !aBackend.report || aReceivedAt >= aBackend.reportedAt;
  if (!isNewest || aReceivedAt > aNow || aNow - aReceivedAt > kMaxPaceAge) {
    return false;
  }
  const auto placed =
    std::ranges::count_if(aBackend.placements, [&](const Placement& aOne) {
      return aOne.grantedAt <= aReceivedAt;
    });
  // The report may show calls that ended while it was on its way.
  const auto released =
    std::ranges::count_if(aBackend.releasedAt, [&](TimePoint aReleasedAt) {
      return aReleasedAt + kReportDelay >= aReceivedAt;
    });
  const auto explained = static_cast<uint64_t>(placed + released);
  const uint64_t calls = uint64_t{ aReport.running } + aReport.waiting;
  const uint64_t others = calls - std::min(calls, explained);
  aBackend.report = aReport;
  aBackend.reportedAt = aReceivedAt;
  aBackend.unplaced =
    static_cast<uint32_t>(std::min<uint64_t>(others, aBackend.known.slots));
  return true;
}

void PlacementLedger::RemoveUnreported(TimePoint aNow, Backend& aBackend)
{
  std::erase_if(aBackend.doubtedAt,
                [&](TimePoint aTime) { return aTime + kDoubtTime <= aNow; });
  const uint64_t reported =
    uint64_t{ aBackend.report->running } + aBackend.report->waiting;
  const Duration age =
    std::max<Duration>(kRoundTrip, FromMs(kUnreportedAgeFactor * workMs_ *
                                          std::max(Pace(aNow, aBackend), 1.0)));
  while (!aBackend.placements.empty() && aBackend.placements.size() > reported &&
         aBackend.doubtedAt.size() < aBackend.known.slots &&
         aBackend.placements.front().grantedAt + age <= aBackend.reportedAt) {
    const auto shown =
      std::ranges::count_if(aBackend.placements, [&](const Placement& aOne) {
        return aOne.grantedAt + kRoundTrip <= aBackend.reportedAt;
      });
    if (static_cast<uint64_t>(shown) <= reported) {
      return;
    }
    backendOf_.erase(aBackend.placements.front().key);
    aBackend.placements.erase(aBackend.placements.begin());
    aBackend.doubtedAt.push_back(aNow);
  }
}

std::optional<uint32_t> PlacementLedger::Place(TimePoint aNow,
                                               const PlacementDemand& aDemand)
{
  return Grant(aNow, aDemand, SlotUse::Free);
}

std::optional<uint32_t> PlacementLedger::PlaceSoon(TimePoint aNow,
                                                   const PlacementDemand& aDemand)
{
  return Grant(aNow, aDemand, SlotUse::Soon);
}

std::optional<uint32_t> PlacementLedger::PlaceWaiting(TimePoint aNow,
                                                      const PlacementDemand& aDemand)
{
  const auto placed = PlaceSoon(aNow, aDemand);
  return placed || aDemand.excluded.empty() ? placed : Grant(aNow, aDemand, SlotUse::Any);
}

std::optional<uint32_t> PlacementLedger::Grant(TimePoint aNow,
                                               const PlacementDemand& aDemand,
                                               SlotUse aUse)
{
  if (const auto placed = FindPlacement(aDemand.key)) {
    return placed;
  }
  RemoveExpired(aNow);
  const auto [key, best] = FindBest(aNow, aDemand, aUse);
  if (best == nullptr) {
    return std::nullopt;
  }
  backends_.at(key).placements.push_back(
    { .key = aDemand.key,
      .grantedAt = aNow,
      .expiresAt = aNow + aDemand.timeLeft + kExpiryMargin });
  backendOf_.emplace(aDemand.key, key);
  return key;
}

std::pair<uint32_t, const PlacementLedger::Backend*> PlacementLedger::FindBest(
  TimePoint aNow, const PlacementDemand& aDemand, SlotUse aUse) const
{
  const auto isExcluded = [&](uint32_t aKey) {
    return std::ranges::find(aDemand.excluded, aKey) != aDemand.excluded.end();
  };
  // As when a daemon chooses alone: a backend at which the call failed is only chosen if
  // there is no other one, and an unhealthy one only if all are unhealthy.
  const bool hasOther = std::ranges::any_of(backends_, [&](const auto& aItem) {
    return aItem.second.known.isUsable && !isExcluded(aItem.first);
  });
  const auto isCandidate = [&](const auto& aItem) {
    return aItem.second.known.isUsable && !(hasOther && isExcluded(aItem.first));
  };
  const bool hasHealthy = std::ranges::any_of(backends_, [&](const auto& aItem) {
    return isCandidate(aItem) && IsHealthy(aItem.second.known);
  });
  std::pair<uint32_t, const Backend*> best{ 0, nullptr };
  double bestCost = std::numeric_limits<double>::infinity();
  for (const auto& item : backends_) {
    const auto& [key, backend] = item;
    if (!isCandidate(item) || (hasHealthy && !IsHealthy(backend.known)) ||
        !HasSlot(aNow, backend, aUse)) {
      continue;
    }
    const double cost = Cost(aNow, backend, aDemand);
    if (cost < bestCost) {
      best = { key, &backend };
      bestCost = cost;
    }
  }
  return best;
}

void PlacementLedger::Release(TimePoint aNow, const PlaceRelease& aRelease)
{
  // The report may count the call that ended with it, so it is applied while that is
  // still placed.
  const auto reporting = backends_.find(aRelease.backend);
  const bool isReported = aRelease.report && reporting != backends_.end() &&
                          StoreReport(aNow, reporting->second, aRelease.report->report,
                                      aNow - aRelease.report->age);
  const PlacementKey key{ aRelease.process, aRelease.id };
  if (const auto placed = backendOf_.find(key); placed != backendOf_.end()) {
    Backend& backend = backends_.at(placed->second);
    std::erase_if(backend.placements,
                  [&](const Placement& aOne) { return aOne.key == key; });
    backend.releasedAt.push_back(aNow);
    backendOf_.erase(placed);
    if (aRelease.wasUsed) {
      const double observed =
        std::clamp(ToMs(aRelease.timeAtBackend), kMinWorkMs, kMaxWorkMs);
      workMs_ += kObservationWeight * (observed - workMs_);
    }
  }
  if (isReported) {
    RemoveUnreported(aNow, reporting->second);
  }
}

void PlacementLedger::RemoveProcess(const std::string& aProcess)
{
  for (auto& [key, backend] : backends_) {
    std::erase_if(backend.placements,
                  [&](const Placement& aOne) { return aOne.key.process == aProcess; });
  }
  std::erase_if(backendOf_,
                [&](const auto& aItem) { return aItem.first.process == aProcess; });
}

void PlacementLedger::RemoveExpired(TimePoint aNow)
{
  for (auto& [key, backend] : backends_) {
    std::erase_if(backend.placements, [&](const Placement& aOne) {
      const bool isExpired = aOne.expiresAt <= aNow;
      if (isExpired) {
        backendOf_.erase(aOne.key);
      }
      return isExpired;
    });
    while (!backend.releasedAt.empty() &&
           backend.releasedAt.front() + kMaxDigestAge <= aNow) {
      backend.releasedAt.pop_front();
    }
  }
}

std::optional<uint32_t> PlacementLedger::FindPlacement(const PlacementKey& aKey) const
{
  const auto found = backendOf_.find(aKey);
  return found == backendOf_.end() ? std::nullopt : std::optional(found->second);
}

bool PlacementLedger::HasFreeSlot(TimePoint aNow) const
{
  return FindBest(aNow, {}, SlotUse::Free).second != nullptr;
}

bool PlacementLedger::HasSlotForWaiting(TimePoint aNow) const
{
  return FindBest(aNow, {}, SlotUse::Soon).second != nullptr;
}

bool PlacementLedger::HasSlot(TimePoint aNow, const Backend& aBackend, SlotUse aUse) const
{
  if (aUse == SlotUse::Any) {
    return true;
  }
  const uint32_t slots = Slots(aNow, aBackend);
  const auto soon = aUse == SlotUse::Soon
                      ? static_cast<uint32_t>(std::lround(slots * kHandOverMs / workMs_))
                      : 0;
  const bool isPartitioned = share_ < kNearlyAllShare;
  // In a partition, each part of the daemons may always use its own share of the slots.
  // The rest is free if reports do not show that the other part uses it.
  const bool hasOwnSlot =
    isPartitioned && aBackend.placements.size() < Capacity(aNow, aBackend);
  const bool knowsOthers = !isPartitioned || IsReportFresh(aNow, aBackend);
  return hasOwnSlot || (knowsOthers && Calls(aNow, aBackend) < slots + soon);
}

uint32_t PlacementLedger::CallsAt(TimePoint aNow, uint32_t aBackend) const
{
  const auto found = backends_.find(aBackend);
  return found == backends_.end() ? 0 : Calls(aNow, found->second);
}

uint32_t PlacementLedger::SlotCount(TimePoint aNow) const
{
  uint32_t sum = 0;
  for (const auto& [key, backend] : backends_) {
    sum += backend.known.isUsable ? Capacity(aNow, backend) : 0;
  }
  return sum;
}

double PlacementLedger::SlotsPerSecond(TimePoint aNow) const
{
  double sum = 0;
  for (const auto& [key, backend] : backends_) {
    if (backend.known.isUsable) {
      sum += Capacity(aNow, backend) * 1000.0 / workMs_;
    }
  }
  return sum;
}

bool PlacementLedger::IsReportFresh(TimePoint aNow, const Backend& aBackend)
{
  return aBackend.report && aBackend.reportedAt + kMaxCallsAge > aNow;
}

uint32_t PlacementLedger::Slots(TimePoint aNow, const Backend& aBackend)
{
  return IsReportFresh(aNow, aBackend)
           ? std::min(aBackend.known.slots, aBackend.report->slots)
           : aBackend.known.slots;
}

uint32_t PlacementLedger::Capacity(TimePoint aNow, const Backend& aBackend) const
{
  const uint32_t slots = Slots(aNow, aBackend);
  return share_ < kNearlyAllShare
           ? std::max(static_cast<uint32_t>(std::lround(slots * share_)), 1U)
           : slots;
}

uint32_t PlacementLedger::Calls(TimePoint aNow, const Backend& aBackend) const
{
  const auto placed = static_cast<uint32_t>(aBackend.placements.size());
  if (IsReportFresh(aNow, aBackend)) {
    return placed + RemainingUnplaced(aNow, aBackend);
  }
  // The digests may be older than the youngest placements. A new placer takes all calls
  // that they show for those of the former one.
  const bool isNew = aNow - since_.value_or(aNow) <= kMaxDigestAge;
  const auto digested =
    std::ranges::count_if(aBackend.placements, [&](const Placement& aOne) {
      return !isNew || aOne.grantedAt + kMaxCallsAge <= aNow;
    });
  const auto ended = static_cast<int64_t>(aBackend.releasedAt.size());
  const int64_t others = aBackend.known.digestedCalls - digested - ended;
  return placed +
         static_cast<uint32_t>(std::clamp<int64_t>(others, 0, aBackend.known.slots));
}

uint32_t PlacementLedger::RemainingUnplaced(TimePoint aNow, const Backend& aBackend) const
{
  const double ageMs = ToMs(aNow - aBackend.reportedAt);
  const double lifetimeMs = kUnplacedLifetime * workMs_ * Pace(aNow, aBackend);
  const double share = std::max(1 - ageMs / lifetimeMs, 0.0);
  return static_cast<uint32_t>(std::lround(aBackend.unplaced * share));
}

double PlacementLedger::Pace(TimePoint aNow, const Backend& aBackend)
{
  return aBackend.report && aBackend.reportedAt + kMaxPaceAge > aNow
           ? std::clamp(aBackend.report->pace, kMinPace, kMaxPace)
           : aBackend.known.slowness;
}

double PlacementLedger::Cost(TimePoint aNow, const Backend& aBackend,
                             const PlacementDemand& aDemand) const
{
  return ExpectedCost({ .slots = Capacity(aNow, aBackend),
                        .inFlight = Calls(aNow, aBackend),
                        .baseMs = workMs_,
                        .slotTimeMs = workMs_,
                        .slowness = Pace(aNow, aBackend),
                        .failureRate = aBackend.known.failureRate,
                        .failureCostMs = 3 * ToMs(aDemand.latencyObjective),
                        .isRemote = aBackend.known.dataCentre != aDemand.dataCentre });
}

} // namespace gooseberrypath::entry
