#include "entry/fleet_autoscaler.h"

#include <algorithm>
#include <cmath>

#include "entry/duration_text.h"
#include "entry/store_polling.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// The number of reclaimable backends follows a rise of the load within the time that one
// takes to start.
constexpr double kFastRiseSeconds = 2;
constexpr double kFastFallSeconds = 12;

// Ordinary backends are expensive, and replacing one that was released too early costs a
// start.
constexpr double kSlowRiseSeconds = 10;
constexpr double kSlowFallSeconds = 25;

// Before the first order, the entries of all backends must have been read. The fleet
// counts as known after this time, once no new backend appeared for the delay of a
// batched read and a heartbeat of the backends.
constexpr Duration kMinDiscoveryTime = milliseconds(3500);
constexpr Duration kBackendHeartbeatInterval = milliseconds(1000);

// Status of an order that the platform cannot fulfil for lack of backends.
constexpr int kNoCapacityStatus = 409;

// Delay after which an order that was refused or not answered is sent again.
constexpr Duration kOrderRetryDelay = milliseconds(2000);

// Backends that do not serve this long after their boot time were reclaimed or crashed.
// The platform does not replace them by itself, so the order is sent again.
constexpr Duration kBootMargin = milliseconds(2000);

} // namespace

std::vector<DataCentreFleet> FleetAutoscaler::FleetsOf(const Service& aService) const
{
  std::vector<DataCentreFleet> fleets;
  for (const std::string& name : world_.options.dataCentres) {
    DataCentreFleet fleet{ .dataCentre = name };
    for (const auto& [id, row] : world_.backends) {
      if (row.entry.service != aService.name || row.entry.dataCentre != name ||
          row.entry.isLeaving || row.removedAt) {
        continue;
      }
      (row.entry.isReclaimable ? fleet.reclaimable : fleet.ordinary) += 1;
    }
    fleet.isReclaimableUnavailable = IsReclaimableUnavailable(aService, fleet);
    fleets.push_back(std::move(fleet));
  }
  return fleets;
}

ServiceLoad FleetAutoscaler::LoadOf(const Service& aService) const
{
  ServiceLoad load{ .slots =
                      aService.engine ? static_cast<double>(aService.engine->slots) : 1 };
  if (const auto stats = world_.serviceStats.find(aService.name);
      stats != world_.serviceStats.end()) {
    load.prefillTokensPerMs = stats->second.prefillTokensPerMs;
  }
  if (const auto own = world_.promptTokenRates.find(aService.name);
      own != world_.promptTokenRates.end()) {
    load.promptTokensPerSecond = own->second.PerSecond(world_.Now());
  }
  const uint32_t key = DigestKey(aService.name);
  for (const auto& [host, peer] : world_.peers) {
    for (const ServiceDemand& demand : peer.digest.demands) {
      load.promptTokensPerSecond +=
        peer.isAlive && demand.service == key ? demand.promptTokensPerSecond : 0;
    }
  }
  for (const auto& [id, row] : world_.backends) {
    // Calls at removed backends are no load; they only wait for their connections to
    // break.
    if (row.entry.service == aService.name && !row.removedAt) {
      // Calls beyond the slots are queued; their load is in the prompt tokens to prefill.
      const int64_t running =
        std::clamp<int64_t>(world_.TotalUseOf(row).inFlight, 0, row.entry.slots);
      load.inFlight += static_cast<double>(running);
    }
  }
  return load;
}

void FleetAutoscaler::UpdateDemand(const Service& aService,
                                   std::span<const DataCentreFleet> aFleets,
                                   EngineDemand& aEngineDemand)
{
  if (aEngineDemand == EngineDemand{}) {
    // The size of the fleet shows the demand only before the first order; later it
    // reflects what was ordered.
    const double initial = EngineDemandOfFleet(aFleets);
    aEngineDemand = EngineDemand{ .slowAverage = initial, .fastAverage = initial };
  }
  const double measured = NeededEngines(LoadOf(aService));
  hasSeenLoad_ = hasSeenLoad_ || measured > 0;
  if (!hasSeenLoad_) {
    return;
  }
  const double step = std::chrono::duration<double>(kInterval).count();
  const auto smooth = [&](double& aValue, double aRise, double aFall) {
    aValue +=
      (measured - aValue) * (1 - std::exp(-step / (measured > aValue ? aRise : aFall)));
  };
  smooth(aEngineDemand.slowAverage, kSlowRiseSeconds, kSlowFallSeconds);
  smooth(aEngineDemand.fastAverage, kFastRiseSeconds, kFastFallSeconds);
}

bool FleetAutoscaler::IsOverdue(const OrderState& aRow, const Service& aService,
                                uint32_t aServing) const
{
  const Duration wait = aService.scaling->bootTime + kBootMargin;
  return aServing < aRow.count && world_.Now() - aRow.sentAt >= wait;
}

bool FleetAutoscaler::IsReclaimableUnavailable(const Service& aService,
                                               const DataCentreFleet& aFleet) const
{
  const auto found = orders_.find({ aService.name, aFleet.dataCentre, true });
  if (found == orders_.end() || aFleet.reclaimable >= found->second.count) {
    return false;
  }
  const OrderState& row = found->second;
  return row.isCapacityDenied || IsOverdue(row, aService, aFleet.reclaimable);
}

bool FleetAutoscaler::IsFleetKnown()
{
  if (isFleetKnown_) {
    return true;
  }
  const TimePoint now = world_.Now();
  if (world_.backends.Size() != lastBackendCount_) {
    lastBackendCount_ = world_.backends.Size();
    fleetChangedAt_ = now;
  }
  const Duration quietPeriod =
    FleetBatchDelay(world_.DaemonCount()) + kBackendHeartbeatInterval;
  isFleetKnown_ =
    now - world_.started >= kMinDiscoveryTime && now - fleetChangedAt_ >= quietPeriod;
  return isFleetKnown_;
}

void FleetAutoscaler::Reconcile(EngineDemands& aEngineDemands)
{
  if (!world_.options.ordersBackends || !world_.configuration || !IsFleetKnown()) {
    return;
  }
  for (const auto& [name, service] : world_.configuration->services) {
    if (!service.scaling) {
      continue;
    }
    const std::vector<DataCentreFleet> fleets = FleetsOf(service);
    EngineDemand& engineDemand = aEngineDemands[name];
    UpdateDemand(service, fleets, engineDemand);
    for (const FleetOrder& order : PlanFleet(service, fleets, engineDemand)) {
      OrderState& row = orders_[{ order.service, order.dataCentre, order.isReclaimable }];
      const auto fleet =
        std::ranges::find(fleets, order.dataCentre, &DataCentreFleet::dataCentre);
      const uint32_t serving = order.isReclaimable ? fleet->reclaimable : fleet->ordinary;
      const bool isFulfilled =
        row.isAccepted && row.count == order.count && !IsOverdue(row, service, serving);
      if (row.isPending || isFulfilled || world_.Now() < row.retryAt) {
        continue;
      }
      row = OrderState{ .count = order.count,
                        .isCapacityDenied = row.isCapacityDenied,
                        .isPending = true,
                        .sentAt = world_.Now() };
      world_.counters.Add(EntryCounter::OrdersSent);
      world_.Emit(SendOrder{ world_.dutyToken, order });
    }
  }
}

void FleetAutoscaler::HandleResult(const OrderSent& aEvent,
                                   const EngineDemands& aEngineDemands)
{
  const FleetOrder& order = aEvent.order;
  OrderState& row = orders_[{ order.service, order.dataCentre, order.isReclaimable }];
  row.isPending = false;
  row.isAccepted = aEvent.status == 200;
  row.isCapacityDenied = aEvent.status == kNoCapacityStatus;
  row.retryAt = row.isAccepted ? TimePoint{} : world_.Now() + kOrderRetryDelay;
  const auto known = aEngineDemands.find(order.service);
  const EngineDemand engineDemand =
    known == aEngineDemands.end() ? EngineDemand{} : known->second;
  ServiceLoad load;
  if (const auto service = world_.configuration->services.find(order.service);
      service != world_.configuration->services.end()) {
    load = LoadOf(service->second);
  }
  world_.Log(LogLevel::Info, "backends_ordered", {},
             { { "service", order.service },
               { "data_centre", order.dataCentre },
               { "reclaimable", order.isReclaimable ? "yes" : "no" },
               { "count", std::to_string(order.count) },
               { "need_lasting", std::to_string(engineDemand.slowAverage) },
               { "need_recent", std::to_string(engineDemand.fastAverage) },
               { "prompt_tokens_per_s", MsText(load.promptTokensPerSecond) },
               { "read_tokens_per_ms", MsText(load.prefillTokensPerMs) },
               { "in_flight", MsText(load.inFlight) },
               { "status", std::to_string(aEvent.status) } });
}

} // namespace gooseberrypath::entry
