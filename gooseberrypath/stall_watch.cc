#include "gooseberrypath/stall_watch.h"

#include <utility>

namespace gooseberrypath {

/// Returns null if the attempt ended or is no model attempt.
const ServiceSpec* StallWatch::ServiceOf(AttemptId aId) const
{
  const AttemptRow* attempt = world_.attempts.Find(aId);
  const RequestRow* request = attempt ? world_.requests.Find(attempt->request) : nullptr;
  if (!request || request->kind != ServiceKind::Model) {
    return nullptr;
  }
  const auto found = world_.resources.find({ "service", request->service });
  return found == world_.resources.end() ? nullptr
                                         : &std::get<ServiceSpec>(found->second.spec);
}

void StallWatch::Watch(AttemptId aId)
{
  if (const ServiceSpec* service = ServiceOf(aId)) {
    world_.timers.SubscribeAt(world_.Now() + service->firstTokenTimeout,
                              [this, aId](TimePoint) { Check(aId); });
  }
}

void StallWatch::Check(AttemptId aId)
{
  const ServiceSpec* service = ServiceOf(aId);
  if (!service) {
    return;
  }
  const AttemptRow& attempt = *world_.attempts.Find(aId);
  const bool hasToken = attempt.lastToken > attempt.started;
  const TimePoint due =
    attempt.lastToken + (hasToken ? service->tokenStall : service->firstTokenTimeout);
  if (world_.Now() < due) {
    world_.timers.SubscribeAt(due, [this, aId](TimePoint) { Check(aId); });
    return;
  }
  world_.counters.Add(Counter::AttemptsStalled);
  stalled_.push_back(aId);
}

std::vector<AttemptId> StallWatch::TakeStalled()
{
  std::vector<AttemptId> stalled = std::exchange(stalled_, {});
  // An attempt may have been moved in the same tick.
  std::erase_if(stalled, [this](AttemptId aId) { return !world_.attempts.Find(aId); });
  return stalled;
}

} // namespace gooseberrypath
