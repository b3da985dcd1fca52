// Orders backends for the load, on behalf of the holder of the duties.
//
//   FleetAutoscaler orders(world);
//   orders.Send(needs); // several times a second while this daemon holds the duties

#ifndef ENTRY_FLEET_AUTOSCALER_H_
#define ENTRY_FLEET_AUTOSCALER_H_

#include <map>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "entry/fleet_plan.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class FleetAutoscaler
{
public:
  using EngineDemands = std::map<std::string, EngineDemand>; // by service

  /// The time between two calls of Send.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);

  explicit FleetAutoscaler(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Takes the load into the needs and sends the orders that they ask for and that were
  /// not sent or did not help.
  void Send(EngineDemands& aNeeds);

  /// Notes the answer to an order. Orders that were not accepted are repeated.
  void NoteSent(const OrderSent& aEvent, const EngineDemands& aNeeds);

  /// Forgets what was ordered: another daemon may have ordered since.
  void Forget() { orders_.clear(); }

private:
  using OrderKey = std::tuple<std::string, std::string, bool>;

  /// The newest order of one kind of backend in a data centre.
  struct OrderRow
  {
    uint32_t count = 0;
    bool isAccepted = false;
    bool isDenied = false;  // none were to be had
    bool isRunning = false; // its answer is awaited
    TimePoint sent{};
    TimePoint retryAt{}; // not sent again before
  };

  /// Tells whether backends that were ordered should serve by now and do not.
  bool IsOverdue(const OrderRow& aRow, const Service& aService, uint32_t aServing) const;

  /// Tells whether reclaimable backends that were ordered there are not to be had.
  bool LacksReclaimable(const Service& aService, const DataCentreFleet& aFleet) const;

  /// Tells whether the backends that were there at the start have been read.
  bool IsFleetKnown();
  std::vector<DataCentreFleet> FleetsOf(const Service& aService) const;
  ServiceLoad LoadOf(const Service& aService) const;

  /// Takes the load into the smoothed need of the service.
  void UpdateNeed(const Service& aService, std::span<const DataCentreFleet> aFleets,
                  EngineDemand& aNeed);

  World& world_;
  std::map<OrderKey, OrderRow> orders_;
  bool hasLoad_ = false; // there were calls since the start
  bool isFleetKnown_ = false;
  size_t seenBackends_ = 0; // when the fleet changed last, before it was known
  TimePoint fleetChangedAt_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_AUTOSCALER_H_
