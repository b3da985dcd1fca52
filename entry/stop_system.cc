#include "entry/stop_system.h"

namespace gooseberrypath::entry {

namespace {

// The load balancer checks readiness once a second and removes a daemon after two failed
// checks.
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2500);

// Grace period for connected callers, once from when new calls are refused and again from
// when no connection is accepted. A call that is already on its way arrives in this time
// and its caller reads the refusal; the exit of the process would reset the connection.
constexpr Duration kCallerGracePeriod = std::chrono::milliseconds(600);

// Calls in progress are abandoned at this share of the stop timeout. The forced kill
// would end them soon after and leave no time to close connections properly.
constexpr int kDrainPercent = 87;

} // namespace

bool RefusesNewCalls(const World& aWorld)
{
  return aWorld.stoppingSince &&
         aWorld.Now() >= *aWorld.stoppingSince + kBalancerDetectionTime;
}

void StopSystem::Handle(const StopRequested&)
{
  if (world_.stoppingSince) {
    return;
  }
  world_.stoppingSince = world_.Now();
  world_.isDigestDue = true;
  world_.isReady = false;
  world_.Emit(SetReady{ false });
  world_.Log(LogLevel::Info, "stopping", {},
             { { "requests", std::to_string(world_.requests.Size()) } });
  world_.timers.SubscribeAt(world_.Now() + kBalancerDetectionTime, [](TimePoint) {});
  world_.timers.SubscribeAt(
    world_.Now() + world_.options.stopTimeout * kDrainPercent / 100, [this](TimePoint) {
      Exit("the stop timeout is nearly over; calls in progress are abandoned");
    });
}

void StopSystem::Run()
{
  if (!world_.isReady && !world_.stoppingSince && world_.configuration &&
      world_.isFleetRead) {
    world_.isReady = true;
    world_.Emit(SetReady{ true });
    world_.Log(LogLevel::Info, "ready", {},
               { { "version", std::to_string(world_.configuration->version) },
                 { "backends", std::to_string(world_.backends.Size()) } });
  }
  if (!RefusesNewCalls(world_)) {
    return;
  }
  const TimePoint now = world_.Now();
  if (!closingSince_) {
    closingSince_ = now;
    world_.Emit(CloseIdleCallerConnections{});
    world_.timers.SubscribeAt(now + kCallerGracePeriod, [](TimePoint) {});
  }
  if (!world_.requests.IsEmpty()) {
    return;
  }
  if (!acceptStoppedAt_) {
    if (IsWaitingForCallers(*closingSince_)) {
      return;
    }
    acceptStoppedAt_ = now;
    hasCallers_ = true; // the connections in the backlog
    world_.Emit(StopAccepting{});
    world_.timers.SubscribeAt(now + kCallerGracePeriod, [](TimePoint) {});
  }
  if (!IsWaitingForCallers(*acceptStoppedAt_)) {
    Exit("all calls have ended");
  }
}

bool StopSystem::IsWaitingForCallers(TimePoint aSince) const
{
  return hasCallers_ && world_.Now() < aSince + kCallerGracePeriod;
}

void StopSystem::Handle(const AllCallersDisconnected&)
{
  hasCallers_ = false;
}

void StopSystem::Exit(const std::string& aReason)
{
  if (hasExited_) {
    return;
  }
  hasExited_ = true;
  world_.Log(
    LogLevel::Info, "stopped", {},
    { { "reason", aReason }, { "requests", std::to_string(world_.requests.Size()) } });
  world_.Emit(ExitProcess{});
}

} // namespace gooseberrypath::entry
