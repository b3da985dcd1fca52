#include "entry/configuration_watch.h"

#include <algorithm>
#include <utility>

#include "entry/duration_text.h"
#include "entry/read_turns.h"
#include "entry/store_polling.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

// A configuration that was confirmed this long ago is read again. With a turn, a read
// whose answer is lost and the read of the others, this stays below the two seconds in
// which a change must be in force.
constexpr Duration kCheckAge = milliseconds(1000);

constexpr Duration kLateTurns =
  milliseconds(200); // for all daemons after the first turns

// A first read is given up early, for its answer may be lost; a slow store gets the whole
// time when it is asked again.
constexpr Duration kFirstTimeout = milliseconds(500);
constexpr Duration kTimeout = milliseconds(1200);
constexpr Duration kFirstRetryDelay = milliseconds(50);

// When a peer has a newer version, this daemon's own long poll mostly returns it too.
constexpr Duration kMinFetchDelay = milliseconds(100);
constexpr Duration kFetchDelayPerDaemon = milliseconds(10);
constexpr Duration kMaxFetchDelay = milliseconds(400);

// A change must be in force after this time.
constexpr Duration kMaxAge = milliseconds(2000);

} // namespace

void ConfigurationWatch::Start()
{
  lateTurn_ = RandomUpTo(world_, kLateTurns);
  Schedule();
}

TimePoint ConfigurationWatch::CheckDue() const
{
  const TimePoint known =
    world_.freshness.AsOf(StoreTopic::Configuration).value_or(world_.started);
  const TimePoint turn = std::max(known + kCheckAge + ReadTurnDelay(world_, lateTurn_),
                                  retryAt_.value_or(world_.started));
  return fetchAt_ ? std::min(turn, *fetchAt_) : turn;
}

void ConfigurationWatch::Schedule()
{
  world_.timers.Cancel(timer_);
  timer_ = world_.timers.SubscribeAt(std::max(CheckDue(), world_.Now()),
                                     [this](TimePoint) { CheckIfDue(); });
}

void ConfigurationWatch::CheckIfDue()
{
  const bool hasVersion =
    world_.configuration && world_.configuration->version >= peerVersion_;
  if (hasVersion) {
    fetchAt_.reset();
  }
  if (CheckDue() > world_.Now()) {
    Schedule(); // it was confirmed meanwhile
    return;
  }
  if (isChecking_ && !fetchAt_) {
    return; // the end of the check arranges the next one
  }
  if (fetchAt_) {
    fetchAt_.reset();
    lastFetch_ = world_.Now();
  }
  isChecking_ = true;
  world_.counters.Add(EntryCounter::ConfigurationChecks);
  world_.Emit(ReadConfiguration{ failures_ == 0 ? kFirstTimeout : kTimeout });
}

void ConfigurationWatch::Handle(const TopicConfirmed& aEvent)
{
  world_.freshness.Confirm(aEvent.read.topic, world_.Now() - aEvent.age);
  if (aEvent.read.topic == StoreTopic::Fleet) {
    world_.counters.Add(EntryCounter::FleetReads);
    return;
  }
  NoteConfirmed();
  if (aEvent.read.kind != StoreReadKind::Check) {
    return;
  }
  isChecking_ = false;
  failures_ = 0;
  retryAt_.reset();
  world_.isDigestUrgent = true; // before the next daemon takes its turn
  Schedule();
}

void ConfigurationWatch::Handle(const TopicReadFailed& aEvent)
{
  if (aEvent.read.topic != StoreTopic::Configuration ||
      aEvent.read.kind != StoreReadKind::Check) {
    return;
  }
  isChecking_ = false;
  const Duration delay =
    failures_ == 0 ? kFirstRetryDelay : StoreRetryDelay(LiveDaemons(world_));
  ++failures_;
  retryAt_ = world_.Now() + delay / 2 + RandomUpTo(world_, delay);
  lateTurn_ = RandomUpTo(world_, kLateTurns);
  const auto age = world_.freshness.AgeOf(StoreTopic::Configuration, world_.Now());
  if (!isReported_ && age && *age > kMaxAge) {
    isReported_ = true;
    world_.Log(LogLevel::Warning, "configuration_unconfirmed", {},
               { { "confirmed_ms_ago", MsText(ToMs(*age)) } });
  }
  Schedule();
}

void ConfigurationWatch::NoteConfirmed()
{
  const auto age = world_.freshness.AgeOf(StoreTopic::Configuration, world_.Now());
  if (isReported_ && age && *age <= kMaxAge) {
    isReported_ = false;
    world_.Log(LogLevel::Info, "configuration_confirmed", {},
               { { "confirmed_ms_ago", MsText(ToMs(*age)) } });
  }
}

void ConfigurationWatch::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  if (digest.daemon == world_.options.host) {
    return;
  }
  if (digest.storeAnswerAge) {
    world_.freshness.NoteAnswer(world_.Now() - *digest.storeAnswerAge);
  }
  if (!world_.configuration) {
    return;
  }
  const uint64_t version = world_.configuration->version;
  if (digest.configVersion <= version) {
    if (digest.configurationAge) {
      world_.freshness.Confirm(StoreTopic::Configuration,
                               world_.Now() - *digest.configurationAge);
      NoteConfirmed();
    }
    return;
  }
  // A version that the store does not have, or no longer, is not asked for all the time.
  const bool wasFetched =
    digest.configVersion <= peerVersion_ && world_.Now() < lastFetch_ + kCheckAge;
  if (fetchAt_ || wasFetched) {
    return;
  }
  peerVersion_ = digest.configVersion;
  const auto spread = std::min(
    kMaxFetchDelay, kFetchDelayPerDaemon * static_cast<int64_t>(LiveDaemons(world_)));
  fetchAt_ = world_.Now() + kMinFetchDelay + RandomUpTo(world_, spread);
  Schedule();
}

} // namespace gooseberrypath::entry
