// Sizes the fleet to the load: tracks how many engines each service needs and orders
// backends from the platform. Runs on the daemon that holds the duties.
//
//   FleetAutoscaler autoscaler(world);
//   autoscaler.Reconcile(state.engineDemands); // every kInterval while the lease is held

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

/// Turns the measured load into orders for backends.
class FleetAutoscaler
{
public:
  using EngineDemands = std::map<std::string, EngineDemand>; // by service

  /// The time between two calls of Reconcile.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);

  explicit FleetAutoscaler(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Updates the engine demands from the load and sends the orders that follow from them,
  /// except orders that are pending or fulfilled.
  void Reconcile(EngineDemands& aEngineDemands);

  /// Records the platform's response to an order. An order that was not accepted is sent
  /// again.
  void HandleResult(const OrderSent& aEvent, const EngineDemands& aEngineDemands);

  /// Forgets all orders that were sent, because another holder may have sent newer ones.
  void Reset() { orders_.clear(); }

private:
  using OrderKey = std::tuple<std::string, std::string, bool>;

  /// State of the newest order for one kind of backend in a data centre.
  struct OrderState
  {
    uint32_t count = 0;
    bool isAccepted = false;
    bool isCapacityDenied = false; // the platform had no such backends
    bool isPending = false;        // the response is awaited
    TimePoint sentAt{};
    TimePoint retryAt{}; // not sent again before
  };

  /// Tells whether backends that were ordered should serve by now but do not.
  bool IsOverdue(const OrderState& aRow, const Service& aService,
                 uint32_t aServing) const;

  /// Tells whether reclaimable backends were ordered in the data centre but are
  /// unavailable.
  bool IsReclaimableUnavailable(const Service& aService,
                                const DataCentreFleet& aFleet) const;

  /// Tells whether the entries of all backends that ran at the start have been read.
  bool IsFleetKnown();

  /// Returns the serving backends of the service in each data centre.
  std::vector<DataCentreFleet> FleetsOf(const Service& aService) const;

  /// Returns the load of the service over all live daemons.
  ServiceLoad LoadOf(const Service& aService) const;

  /// Updates the smoothed engine demand of the service from its load.
  void UpdateDemand(const Service& aService, std::span<const DataCentreFleet> aFleets,
                    EngineDemand& aEngineDemand);

  World& world_;
  std::map<OrderKey, OrderState> orders_;
  bool hasSeenLoad_ = false; // the load was above 0 since the start
  bool isFleetKnown_ = false;
  size_t lastBackendCount_ = 0; // at the last change of the fleet before it was known
  TimePoint fleetChangedAt_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_AUTOSCALER_H_
