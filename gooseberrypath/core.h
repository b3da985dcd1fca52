// The decision core: it receives events and the time, and returns actions. It does no
// input or output and reads no clock.
//
//   Core core(options, now);
//   core.SetTime(now);
//   core.Handle(event);
//   core.Tick(now);
//   for (Action& action : core.TakeActions()) { ... }
//   wait until core.NextDue() or the next event

#ifndef GOOSEBERRYPATH_CORE_H_
#define GOOSEBERRYPATH_CORE_H_

#include <optional>
#include <tuple>
#include <vector>

#include "gooseberrypath/backend_system.h"
#include "gooseberrypath/claim_system.h"
#include "gooseberrypath/config_system.h"
#include "gooseberrypath/dispatch_system.h"
#include "gooseberrypath/hand_over_system.h"
#include "gooseberrypath/job_system.h"
#include "gooseberrypath/membership_system.h"
#include "gooseberrypath/stream_system.h"
#include "gooseberrypath/system_concept.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// A set of systems over one world. The world names the types of its options, events and
/// actions, so that daemons with other tables share this class.
template<typename WorldType, System... Systems>
class BasicCore
{
public:
  using Event = typename WorldType::Event;
  using Action = typename WorldType::Action;
  using Options = typename WorldType::Options;

  BasicCore(Options aOptions, TimePoint aNow)
    : world_(std::move(aOptions), aNow)
    , systems_(Systems(world_)...)
  {
    ForEach([](auto& aSystem) { aSystem.Start(); });
  }

  BasicCore(const BasicCore&) = delete;
  BasicCore& operator=(const BasicCore&) = delete;

  /// Sets the time for events that are handled before the next Tick().
  void SetTime(TimePoint aNow) { world_.timers.SetTime(aNow); }

  /// Passes the event to the systems that handle it. The tables are consistent again
  /// after the next Tick().
  void Handle(const Event& aEvent)
  {
    std::visit([this](const auto& aOne) { this->HandleOne(aOne); }, aEvent);
  }

  /// Advances the time, calls due timers and runs the systems, again while one of them
  /// left work for an earlier one.
  void Tick(TimePoint aNow)
  {
    world_.timers.AdvanceTo(aNow);
    for (int pass = 0; pass == 0 || (world_.HasWork() && pass < kMaxPasses); ++pass) {
      ForEach([](auto& aSystem) { aSystem.Run(); });
    }
  }

  /// Returns the queued actions in order and empties the queue.
  std::vector<Action> TakeActions() { return std::exchange(world_.outbox, {}); }

  /// Returns when the next tick is due without an event.
  std::optional<TimePoint> NextDue() const
  {
    return world_.HasWork() ? world_.Now() : world_.timers.NextDue();
  }

  const WorldType& GetWorld() const { return world_; }

private:
  /// Bounds a tick, so that events are not kept waiting.
  static constexpr int kMaxPasses = 8;

  template<typename E>
  void HandleOne(const E& aEvent)
  {
    ForEach([&](auto& aSystem) {
      if constexpr (Handles<std::remove_reference_t<decltype(aSystem)>, E>) {
        aSystem.Handle(aEvent);
      }
    });
  }

  template<typename F>
  void ForEach(F aFunction)
  {
    std::apply([&](auto&... aSystems) { (aFunction(aSystems), ...); }, systems_);
  }

  WorldType world_;
  std::tuple<Systems...> systems_;
};

/// The core of a daemon. The order is the order of the systems in a tick.
using Core = BasicCore<World, ConfigSystem, MembershipSystem, BackendSystem, ClaimSystem,
                       JobSystem, DispatchSystem, HandOverSystem, StreamSystem>;

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CORE_H_
