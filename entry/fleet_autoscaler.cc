#include "entry/fleet_autoscaler.h"

#include <algorithm>
#include <cmath>

#include "entry/duration_text.h"
#include "entry/store_polling.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// Reclaimable backends follow a rise of the load within the time that one takes to start.
constexpr double kRecentRiseSeconds = 2;
constexpr double kRecentFallSeconds = 12;

// Ordinary backends are dear, and one that is let go too early costs a start.
constexpr double kLastingRiseSeconds = 10;
constexpr double kLastingFallSeconds = 25;

// Before the first order the entries of all backends must have been read: the fleet is
// known when no backend was new for a reading and a heartbeat of theirs.
constexpr Duration kFleetKnownAfter = milliseconds(3500);
constexpr Duration kBackendHeartbeat = milliseconds(1000);

// Status of an order when no backends are to be had.
constexpr int kNoneAvailable = 409;

// An order that was refused or not answered is repeated after this time.
constexpr Duration kOrderRetry = milliseconds(2000);

// Backends that do not serve this long after their boot time were taken away or crashed;
// an order is not filled up again by itself.
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
    fleet.isReclaimableUnavailable = LacksReclaimable(aService, fleet);
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
    load.tokensPerMs = stats->second.tokensPerMs;
  }
  if (const auto own = world_.demands.find(aService.name); own != world_.demands.end()) {
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
    // Calls at backends that are gone only wait for their connections to break.
    if (row.entry.service == aService.name && !row.removedAt) {
      // What waits beyond the slots is in the tokens that must be read.
      const int64_t running =
        std::clamp<int64_t>(world_.TotalUseOf(row).inFlight, 0, row.entry.slots);
      load.inFlight += static_cast<double>(running);
    }
  }
  return load;
}

void FleetAutoscaler::UpdateNeed(const Service& aService,
                                 std::span<const DataCentreFleet> aFleets,
                                 EngineDemand& aNeed)
{
  if (aNeed == EngineDemand{}) {
    // Only the fleet before the first order tells the need; later it holds what was
    // ordered.
    const double starting = EngineDemandOfFleet(aFleets);
    aNeed = EngineDemand{ .slowAverage = starting, .fastAverage = starting };
  }
  const double measured = NeededEngines(LoadOf(aService));
  hasLoad_ = hasLoad_ || measured > 0;
  if (!hasLoad_) {
    return;
  }
  const double step = std::chrono::duration<double>(kInterval).count();
  const auto follow = [&](double& aValue, double aRise, double aFall) {
    aValue +=
      (measured - aValue) * (1 - std::exp(-step / (measured > aValue ? aRise : aFall)));
  };
  follow(aNeed.slowAverage, kLastingRiseSeconds, kLastingFallSeconds);
  follow(aNeed.fastAverage, kRecentRiseSeconds, kRecentFallSeconds);
}

bool FleetAutoscaler::IsOverdue(const OrderRow& aRow, const Service& aService,
                                uint32_t aServing) const
{
  const Duration wait = aService.scaling->bootTime + kBootMargin;
  return aServing < aRow.count && world_.Now() - aRow.sent >= wait;
}

bool FleetAutoscaler::LacksReclaimable(const Service& aService,
                                       const DataCentreFleet& aFleet) const
{
  const auto found = orders_.find({ aService.name, aFleet.dataCentre, true });
  if (found == orders_.end() || aFleet.reclaimable >= found->second.count) {
    return false;
  }
  const OrderRow& row = found->second;
  return row.isDenied || IsOverdue(row, aService, aFleet.reclaimable);
}

bool FleetAutoscaler::IsFleetKnown()
{
  if (isFleetKnown_) {
    return true;
  }
  const TimePoint now = world_.Now();
  if (world_.backends.Size() != seenBackends_) {
    seenBackends_ = world_.backends.Size();
    fleetChangedAt_ = now;
  }
  const Duration settled = FleetBatchDelay(world_.DaemonCount()) + kBackendHeartbeat;
  isFleetKnown_ =
    now - world_.started >= kFleetKnownAfter && now - fleetChangedAt_ >= settled;
  return isFleetKnown_;
}

void FleetAutoscaler::Send(EngineDemands& aNeeds)
{
  if (!world_.options.ordersBackends || !world_.configuration || !IsFleetKnown()) {
    return;
  }
  for (const auto& [name, service] : world_.configuration->services) {
    if (!service.scaling) {
      continue;
    }
    const std::vector<DataCentreFleet> fleets = FleetsOf(service);
    EngineDemand& need = aNeeds[name];
    UpdateNeed(service, fleets, need);
    for (const FleetOrder& order : PlanFleet(service, fleets, need)) {
      OrderRow& row = orders_[{ order.service, order.dataCentre, order.isReclaimable }];
      const auto fleet =
        std::ranges::find(fleets, order.dataCentre, &DataCentreFleet::dataCentre);
      const uint32_t serving = order.isReclaimable ? fleet->reclaimable : fleet->ordinary;
      const bool isDone =
        row.isAccepted && row.count == order.count && !IsOverdue(row, service, serving);
      if (row.isRunning || isDone || world_.Now() < row.retryAt) {
        continue;
      }
      row = OrderRow{ .count = order.count,
                      .isDenied = row.isDenied,
                      .isRunning = true,
                      .sent = world_.Now() };
      world_.counters.Add(EntryCounter::OrdersSent);
      world_.Emit(SendOrder{ world_.dutyToken, order });
    }
  }
}

void FleetAutoscaler::NoteSent(const OrderSent& aEvent, const EngineDemands& aNeeds)
{
  const FleetOrder& order = aEvent.order;
  OrderRow& row = orders_[{ order.service, order.dataCentre, order.isReclaimable }];
  row.isRunning = false;
  row.isAccepted = aEvent.status == 200;
  row.isDenied = aEvent.status == kNoneAvailable;
  row.retryAt = row.isAccepted ? TimePoint{} : world_.Now() + kOrderRetry;
  const auto known = aNeeds.find(order.service);
  const EngineDemand need = known == aNeeds.end() ? EngineDemand{} : known->second;
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
               { "need_lasting", std::to_string(need.slowAverage) },
               { "need_recent", std::to_string(need.fastAverage) },
               { "prompt_tokens_per_s", MsText(load.promptTokensPerSecond) },
               { "read_tokens_per_ms", MsText(load.tokensPerMs) },
               { "in_flight", MsText(load.inFlight) },
               { "status", std::to_string(aEvent.status) } });
}

} // namespace gooseberrypath::entry
