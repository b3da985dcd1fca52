#include "entry/fleet_watch.h"

#include "entry/duration_text.h"
#include "entry/read_turns.h"
#include "entry/store_polling.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A fleet that was confirmed this long ago is read again. With the turns and the batch
// delay of the last ones, this stays below the time in which a daemon must know that a
// backend has left.
constexpr Duration kCheckAge = milliseconds(700);

// A daemon must know that a backend has left after this time.
constexpr Duration kMaxAge = milliseconds(2000);

} // namespace

void FleetWatch::Start()
{
  lastCheck_ = world_.started;
  Schedule();
}

TimePoint FleetWatch::CheckDue() const
{
  const TimePoint known =
    world_.freshness.AsOf(StoreTopic::Fleet).value_or(world_.started);
  return std::max(known + kCheckAge + ReadTurnDelay(world_, lateTurn_),
                  lastCheck_ + kCheckAge);
}

void FleetWatch::Schedule()
{
  world_.timers.SubscribeAt(CheckDue(), [this](TimePoint) { CheckIfDue(); });
}

void FleetWatch::CheckIfDue()
{
  Report();
  if (CheckDue() <= world_.Now()) {
    lastCheck_ = world_.Now();
    lateTurn_ = RandomUpTo(world_, FleetBatchDelay(LiveDaemons(world_)));
    world_.counters.Add(EntryCounter::FleetChecks);
    world_.Emit(RefreshFleet{});
  }
  Schedule();
}

void FleetWatch::Report()
{
  const auto age = world_.freshness.AgeOf(StoreTopic::Fleet, world_.Now());
  const bool isOld = age && *age > kMaxAge;
  if (!age || isOld == isReported_) {
    return;
  }
  isReported_ = isOld;
  world_.Log(isOld ? LogLevel::Warning : LogLevel::Info,
             isOld ? "fleet_unconfirmed" : "fleet_confirmed", {},
             { { "confirmed_ms_ago", MsText(ToMs(*age)) } });
}

void FleetWatch::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  const bool hasReadAsFar = digest.storeEra == world_.storeEra &&
                            digest.fleetChangesEnd <= world_.fleetListing.Next();
  if (world_.fleetListing.IsRead() && digest.fleetAge && hasReadAsFar &&
      digest.daemon != world_.options.host) {
    world_.freshness.Confirm(StoreTopic::Fleet, world_.Now() - *digest.fleetAge);
  }
}

} // namespace gooseberrypath::entry
