// A dispatch system with its World, some resources, and the actions that it emitted.

#ifndef GOOSEBERRYPATH_TESTING_DISPATCH_FIXTURE_H_
#define GOOSEBERRYPATH_TESTING_DISPATCH_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/dispatch_system.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath::testing {

/// Drives a DispatchSystem on virtual time. Claims are admitted at once.
class DispatchFixture
{
public:
  explicit DispatchFixture(uint64_t aSeed = 1)
    : world({ .daemon = "d0", .incarnation = 1000, .seed = aSeed }, TimePoint{})
    , dispatch(world)
  {
    world.state = DaemonState::Serving;
    AddService("assistant", ServiceKind::Model, 3);
    AddService("booking", ServiceKind::Plain, 2);
    AddRoute("chat", { .pathPrefix = "/v1/chat/completions", .service = "assistant" });
    AddRoute("pickups", { .pathPrefix = "/pickups", .service = "booking" });
    AddRoute("status",
             { .pathPrefix = "/status", .service = "booking", .idempotent = true });
  }

  void AddRoute(const std::string& aName, RouteSpec aSpec)
  {
    aSpec.deadline = std::chrono::seconds(30);
    world.resources[{ "route", aName }].spec = std::move(aSpec);
  }

  void AddService(const std::string& aName, ServiceKind aKind, int aBackends)
  {
    world.resources[{ "service", aName }].spec =
      ServiceSpec{ .kind = aKind,
                   .firstTokenTimeout = std::chrono::seconds(10),
                   .tokenStall = std::chrono::seconds(2) };
    for (int i = 0; i < aBackends; ++i) {
      const std::string name = "b" + std::to_string(i);
      world.backends.Insert(
        aName + "/" + name,
        BackendRow{ .service = aName,
                    .spec = { .name = name,
                              .address = aName + ":" + std::to_string(i),
                              .host = aName + "-host" + std::to_string(i) } });
    }
  }

  /// Passes an event and runs a tick. Claims are admitted by the fixture.
  template<typename E>
  void Post(const E& aEvent)
  {
    dispatch.Handle(aEvent);
    Tick();
  }

  /// Advances the time and runs a tick.
  void Advance(Duration aTime)
  {
    world.timers.AdvanceTo(world.Now() + aTime);
    Tick();
  }

  /// Sends a request of a caller and returns its id.
  RequestId Request(std::string aMethod, std::string aTarget, Headers aHeaders = {},
                    std::string aBody = {})
  {
    const RequestId id{ ++lastRequest };
    Post(CallerRequest{ .request = id,
                        .method = std::move(aMethod),
                        .target = std::move(aTarget),
                        .headers = std::move(aHeaders),
                        .body = std::move(aBody) });
    return id;
  }

  /// Returns the emitted actions of one type, in order, and forgets them.
  template<typename A>
  std::vector<A> Take()
  {
    std::vector<A> taken;
    std::erase_if(world.outbox, [&](const Action& aAction) {
      if (const A* found = std::get_if<A>(&aAction)) {
        taken.push_back(*found);
        return true;
      }
      return false;
    });
    return taken;
  }

  World world;
  DispatchSystem dispatch;
  uint64_t lastRequest = 0;

private:
  void Tick()
  {
    for (auto& [id, row] : world.requests) {
      if (row.stage == RequestStage::AwaitingClaim) {
        row.stage = RequestStage::Ready;
        row.claim = "claim-" + std::to_string(id.value);
        world.dispatchQueue.push_back(id);
      }
    }
    dispatch.Run();
  }
};

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_DISPATCH_FIXTURE_H_
