#include "entry/engine_reserve.h"

#include <algorithm>

#include "entry/backend_choice.h"
#include "entry/duration_text.h"
#include "entry/fleet_system.h"

namespace gooseberrypath::entry {

namespace {

// Bounds of the time after which a refused call may come again, before jitter. In the
// lower one, some calls of an engine end.
constexpr double kMinRetryMs = 100;
constexpr double kMaxRetryMs = 3000;

/// Returns the properties of the engines of the call's service if its urgent calls have a
/// reserve, else null.
const EngineProperties* EngineWithReserve(const RequestRow& aRow)
{
  const auto service = aRow.configuration->services.find(aRow.service);
  const bool hasReserve =
    aRow.call.model && service != aRow.configuration->services.end() &&
    service->second.engine && UrgentPriority(*aRow.configuration, aRow.service);
  return hasReserve ? &*service->second.engine : nullptr;
}

bool IsUrgent(const RequestRow& aRow)
{
  return aRow.route->priority == UrgentPriority(*aRow.configuration, aRow.service);
}

/// Returns the usable engines of the call's service, and the daemons.
ServiceCapacity CapacityFor(const World& aWorld, const RequestRow& aRow,
                            const EngineProperties& aEngine)
{
  ServiceCapacity capacity{ .daemons = static_cast<double>(aWorld.DaemonCount()) };
  for (const auto& [id, backend] : aWorld.backends) {
    if (backend.entry.service == aRow.service && IsUsable(backend, aWorld.Now())) {
      capacity.slots += backend.entry.slots;
      capacity.kvTokens += static_cast<double>(aEngine.kvCapacityTokens);
    }
  }
  return capacity;
}

} // namespace

void EngineReserve::RecordArrival(const RequestRow& aRow)
{
  if (EngineWithReserve(aRow) != nullptr && IsUrgent(aRow)) {
    reserves_[aRow.service].RecordArrival(world_.Now());
  }
}

void EngineReserve::RecordUse(const RequestRow& aRow, const AttemptRow& aAttempt)
{
  if (EngineWithReserve(aRow) != nullptr && IsUrgent(aRow)) {
    reserves_[aRow.service].RecordUse(
      { .seconds = ToMs(world_.Now() - aAttempt.started) / 1000,
        .kvTokens = static_cast<double>(aAttempt.kvTokens) });
  }
}

std::optional<ReservedShares> EngineReserve::SharesToLeave(const RequestRow& aRow) const
{
  const EngineProperties* engine = EngineWithReserve(aRow);
  const bool mustLeave = engine != nullptr && !IsUrgent(aRow) && aRow.sentAttempts == 0 &&
                         world_.DaemonCount() > kMaxDaemonsForFullScan;
  if (!mustLeave) {
    return std::nullopt;
  }
  const ServiceCapacity capacity = CapacityFor(world_, aRow, *engine);
  const auto found = reserves_.find(aRow.service);
  return found == reserves_.end() ? UrgentReserve{}.Shares(world_.Now(), capacity)
                                  : found->second.Shares(world_.Now(), capacity);
}

std::optional<Duration> EngineReserve::Check(const RequestRow& aRow)
{
  const auto reserved = SharesToLeave(aRow);
  const auto excess = reserved ? CallsOverReserve(world_, aRow, *reserved) : std::nullopt;
  if (!excess || *excess <= 0 ||
      reserves_[aRow.service].TakeMinimum(aRow.route->priority)) {
    return std::nullopt;
  }
  const auto stats = world_.serviceStats.find(aRow.service);
  const double slotTimeMs = stats == world_.serviceStats.end() ? ServiceStats{}.slotTimeMs
                                                               : stats->second.slotTimeMs;
  // Refused callers would otherwise return together.
  const double jitter = std::uniform_real_distribution<double>(1, 2)(world_.random);
  return FromMs(std::clamp(*excess * slotTimeMs, kMinRetryMs, kMaxRetryMs) * jitter);
}

} // namespace gooseberrypath::entry
