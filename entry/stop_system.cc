#include "entry/stop_system.h"

namespace gooseberrypath::entry {

namespace {

// The balancer asks once a second and takes a daemon out after two misses.
constexpr Duration kBalancerTime = std::chrono::milliseconds(2500);

// Callers that are connected when new calls are refused get this time to send the call
// that is on its way and to read its refusal, and again when no connection is accepted
// any more. The end of the process would reset their connections.
constexpr Duration kCallersTime = std::chrono::milliseconds(600);

// Calls that still run at this share of the stop time are given up: the kill would break
// them a moment later and leave no time to close their connections in order.
constexpr int kStopPercent = 87;

} // namespace

bool RefusesNewCalls(const World& aWorld)
{
  return aWorld.stoppingSince && aWorld.Now() >= *aWorld.stoppingSince + kBalancerTime;
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
  world_.timers.SubscribeAt(world_.Now() + kBalancerTime, [](TimePoint) {});
  world_.timers.SubscribeAt(world_.Now() +
                              world_.options.stopTimeout * kStopPercent / 100,
                            [this](TimePoint) { Exit("the stop time is over"); });
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
    world_.timers.SubscribeAt(now + kCallersTime, [](TimePoint) {});
  }
  if (!world_.requests.IsEmpty()) {
    return;
  }
  if (!acceptedUntil_) {
    if (IsWaitingForCallers(*closingSince_)) {
      return;
    }
    acceptedUntil_ = now;
    hasCallers_ = true; // those that were waiting to be accepted
    world_.Emit(StopAccepting{});
    world_.timers.SubscribeAt(now + kCallersTime, [](TimePoint) {});
  }
  if (!IsWaitingForCallers(*acceptedUntil_)) {
    Exit("all calls have ended");
  }
}

bool StopSystem::IsWaitingForCallers(TimePoint aSince) const
{
  return hasCallers_ && world_.Now() < aSince + kCallersTime;
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
