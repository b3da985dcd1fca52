#include "entry/fleet_system.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "entry/backend_notice.h"
#include "entry/duration_text.h"
#include "entry/leaving_gossip.h"
#include "entry/unknown_fields.h"

namespace gooseberrypath::entry {

namespace {

// Entries that lapsed during an outage of the store are written again within two seconds
// of its return. The remaining time covers reading them.
constexpr Duration kStoreRecoveryTime = std::chrono::milliseconds(2300);

// A removed backend is kept at least this long, for the calls that still run on it, and
// so that its entry in an old copy of the store is known to be outdated.
constexpr Duration kRemovedRetention = std::chrono::seconds(60);

// A report that the reads of this daemon do not reach in this time named an offset that
// the store does not have.
constexpr Duration kMaxReportTime = std::chrono::seconds(10);

// Largest number of changes that a digest carries. More would fill the link of a small
// host for a tenth of a second, so each daemon reads them from the store instead.
constexpr size_t kMaxGossipedChanges = 40;

constexpr Duration kPurgeInterval = std::chrono::seconds(2);

// When half of the backends of a service disappear in one read, and at least this number,
// without having said that they leave, their entries have probably lapsed in an outage,
// unless this daemon or its peers have read the fleet without a gap.
constexpr size_t kMinLapsed = 2;

/// The backends of a service that a daemon knows, and those that a read removes.
struct ServiceLoss
{
  size_t known = 0;
  size_t missing = 0;
};

} // namespace

bool IsUsable(const BackendRow& aBackend, TimePoint aNow)
{
  return !aBackend.entry.isLeaving && !aBackend.removedAt && !aBackend.reportedRemoved &&
         aBackend.avoidUntil <= aNow && aBackend.backOffUntil <= aNow;
}

void FleetSystem::Start()
{
  world_.timers.SubscribeEvery(kPurgeInterval, [this](TimePoint) {
    Purge();
    if (world_.configuration) {
      ApplyTeams(); // the enforced limits depend on the digest interval
    }
  });
}

void FleetSystem::Handle(const ConfigurationRead& aEvent)
{
  const Configuration& next = *aEvent.configuration;
  if (world_.configuration && world_.configuration->version >= next.version) {
    return;
  }
  ReportUnknownFields(world_, "configuration", next.unknownFields);
  world_.configuration = aEvent.configuration;
  world_.routes = RouteIndex(next);
  ApplyTeams();
  world_.counters.Add(EntryCounter::ConfigurationsApplied);
  world_.Emit(SetCallerLimits{ next.limits });
  world_.isDigestDue = true;
  world_.Log(LogLevel::Info, "configuration_applied", {},
             { { "version", std::to_string(next.version) },
               { "routes", std::to_string(next.routes.size()) },
               { "teams", std::to_string(next.teams.size()) },
               { "read_by", std::string(NameOf(aEvent.read.kind)) },
               { "read_ms", MsText(ToMs(aEvent.read.took)) },
               { "confirmed_ms_ago", AgeText(StoreTopic::Configuration) } });
}

std::string FleetSystem::AgeText(StoreTopic aTopic) const
{
  const auto age = world_.freshness.AgeOf(aTopic, world_.Now());
  return age ? MsText(ToMs(*age)) : "never";
}

void FleetSystem::Handle(const TopicReadFailed& aEvent)
{
  world_.counters.Add(EntryCounter::StoreReadsFailed);
  world_.Log(LogLevel::Warning, "store_read_failed", {},
             { { "topic", std::string(NameOf(aEvent.read.topic)) },
               { "read_by", std::string(NameOf(aEvent.read.kind)) },
               { "read_ms", MsText(ToMs(aEvent.read.took)) },
               { "confirmed_ms_ago", AgeText(aEvent.read.topic) },
               { "reason", aEvent.reason } });
}

void FleetSystem::ApplyTeams()
{
  std::set<std::string> names;
  for (const Team& team : world_.configuration->teams) {
    names.insert(team.name);
    TeamRow* row = world_.teams.Find(team.name);
    if (row == nullptr) {
      row = &world_.teams.Insert(team.name, TeamRow{ .quota = TeamQuota(world_.Now()) });
      row->quota.SetDaemonCount(world_.DaemonCount());
      row->quota.SetDigestInterval(world_.digestInterval);
    }
    const QuotaLimit limit{ .rate = team.ratePerSecond, .burst = team.burst };
    row->quota.SetLimit(world_.Now(), EnforcedLimit(limit, world_.options.quotaTolerance,
                                                    world_.digestInterval));
  }
  world_.teams.EraseIf(
    [&](const std::string& aName, const TeamRow&) { return !names.contains(aName); });
}

void FleetSystem::Handle(const FleetRead& aEvent)
{
  if (aEvent.era < world_.storeEra) {
    return; // the store went back meanwhile
  }
  world_.isFleetRead = true;
  NoteOutageEnd();
  const bool endsOutage = world_.freshness.IsStoreAway(world_.Now()) ||
                          (aEvent.followsFailure && MayEndOutage());
  if (endsOutage || LooksLikeLapse(aEvent)) {
    ExpectLapsedEntries();
  }
  const bool isOvertaken = aEvent.next < world_.fleetListing.Next(); // by a peer's delta
  if (!isOvertaken) {
    aEvent.isSnapshot ? ApplySnapshot(aEvent) : ApplyRead(aEvent);
  }
  EndRemovalReports();
  const bool isConfirmed = aEvent.confirms != 0 && aEvent.confirms == confirmation_;
  if (isConfirmed && !IsStoreRecovering()) {
    RemoveLapsed();
  }
}

void FleetSystem::ApplySnapshot(const FleetRead& aEvent)
{
  world_.fleetListing.Replace(aEvent.changes, aEvent.next, aEvent.exactFrom);
  for (const std::string& id : MissingIn(aEvent)) {
    Apply(BackendRemoved{ id });
  }
  ApplyNewest(aEvent.changes);
  world_.isDigestDue = true;
}

void FleetSystem::ApplyRead(const FleetRead& aEvent)
{
  std::optional<FleetDelta> delta = world_.fleetListing.Read(aEvent.changes, aEvent.next);
  ApplyNewest(aEvent.changes);
  if (!delta) {
    return;
  }
  const bool isGossiped = delta->changes.size() <= kMaxGossipedChanges &&
                          !IsStoreRecovering() && IsFirstReader(aEvent.next);
  if (isGossiped) {
    world_.fleetDelta = std::move(delta);
  } else if (HasUntoldLeaving(world_) && IsFirstReader(aEvent.next)) {
    world_.isDigestUrgent = true; // ordinary digests are slow when many backends leave
  }

  AdvanceFleetOffset(aEvent.next);
}

void FleetSystem::ApplyNewest(std::span<const FleetChange> aChanges)
{
  // An entry that lapsed and came back was not gone for this daemon.
  for (const FleetChange& change : NewestOfEach(aChanges)) {
    std::visit([this](const auto& aOne) { Apply(aOne); }, change);
  }
}

void FleetSystem::AdvanceFleetOffset(uint64_t aNext)
{
  if (aNext > world_.fleetOffset) {
    world_.fleetOffset = aNext;
    world_.isDigestDue = true;
  }
}

bool FleetSystem::IsStoreRecovering() const
{
  return world_.storeRecoveredAt &&
         world_.Now() < *world_.storeRecoveredAt + kStoreRecoveryTime;
}

bool FleetSystem::IsFirstReader(uint64_t aNext) const
{
  return std::ranges::none_of(world_.peers, [&](const auto& aItem) {
    const PeerDigest& digest = aItem.second.digest;
    return digest.storeEra == world_.storeEra && digest.fleetOffset >= aNext;
  });
}

void FleetSystem::ApplyDelta(const FleetDelta& aDelta)
{
  const bool awaitsEntries = IsStoreRecovering() || !lapsed_.empty();
  if (awaitsEntries || !world_.fleetListing.Accepts(aDelta)) {
    return; // the changes are read from the store instead
  }
  world_.fleetListing.Apply(aDelta);
  ApplyNewest(aDelta.changes);
  EndRemovalReports();
  world_.Emit(SkipFleetRecords{ aDelta.next, world_.storeEra });
  AdvanceFleetOffset(aDelta.next);
}

void FleetSystem::Apply(const BackendEntry& aEntry)
{
  world_.counters.Add(EntryCounter::FleetChanges);
  ReportUnknownFields(world_, "backend entry", aEntry.unknownFields);
  BackendRow* row = world_.backends.Find(aEntry.id);
  if (row != nullptr) {
    const BackendEntry& known = row->entry;
    const bool isOlder =
      aEntry.startedMs < known.startedMs ||
      (aEntry.startedMs == known.startedMs && aEntry.sequence < known.sequence);
    // A copy of the store still has the entries of backends that left meanwhile.
    const bool isFromCopy = row->removedAt && IsStoreRecovering() &&
                            aEntry.startedMs == known.startedMs &&
                            aEntry.sequence == known.sequence;
    if (isOlder || isFromCopy) {
      return; // a delayed copy of an earlier entry
    }
  }
  const bool isBack = lapsed_.erase(aEntry.id) > 0;
  const bool isNew = row == nullptr || row->removedAt ||
                     row->entry.startedMs != aEntry.startedMs ||
                     row->entry.address != aEntry.address;
  const bool isSameIncarnation = row != nullptr &&
                                 row->entry.startedMs == aEntry.startedMs &&
                                 row->entry.address == aEntry.address;
  const bool wasLeaving = row != nullptr && row->entry.isLeaving;
  if (row == nullptr) {
    row = &world_.backends.Insert(
      aEntry.id, BackendRow{ .key = DigestKey(aEntry.id), .firstSeen = world_.Now() });
  }
  if (isNew) {
    row->health = BackendHealth{};
    row->avoidUntil = {};
    row->backOffUntil = {};
    row->removedAt.reset();
    row->leavesAt.reset();
  }
  if (!isSameIncarnation) {
    row->announcedLeaving = false;
    row->hasMalformedLoad = false;
    row->reportedLoad.Restart(world_.Now());
  }
  if (!isSameIncarnation || isBack) {
    row->reportedRemoved.reset(); // the backend has written an entry since
  }
  row->entry = aEntry;
  row->entry.isLeaving = aEntry.isLeaving || row->announcedLeaving;
  if (aEntry.leavesIn) {
    row->leavesAt = world_.Now() + *aEntry.leavesIn;
  }
  const bool isLeavingNow = aEntry.isLeaving && !(wasLeaving && !isNew);
  if (isLeavingNow) {
    row->isLeavingUntold = true;
    world_.Emit(CloseIdleBackendConnections{ aEntry.address });
    world_.unusableBackends.push_back(aEntry.id);
    world_.isDigestDue = true;
  }
  if (isNew || isLeavingNow) {
    world_.backendLog.Add({ aEntry.isLeaving ? "backend_leaving" : "backend_seen", {} },
                          aEntry.isLeaving ? aEntry.id
                                           : aEntry.id + "@" + aEntry.address);
  }
}

void FleetSystem::Apply(const BackendRemoved& aRemoved)
{
  BackendRow* row = world_.backends.Find(aRemoved.id);
  if (row == nullptr || row->removedAt) {
    return;
  }
  if (!IsStoreRecovering()) {
    MarkRemoved(aRemoved.id);
    return;
  }
  // The entry may have lapsed because of the store's outage; then the backend writes it
  // again.
  if (lapsed_.insert(aRemoved.id).second) {
    world_.backendLog.Add({ "backend_held_back", {} }, aRemoved.id);
  }
  ScheduleConfirmation();
}

void FleetSystem::Run()
{
  NoteOutageEnd();
  WriteBackendLog();
}

void FleetSystem::WriteBackendLog()
{
  FleetKnowledge known{ .next = world_.fleetListing.Next() };
  if (fleetKnownBefore_) {
    known.age = world_.Now() - *fleetKnownBefore_;
  }
  for (WriteEvent& line : world_.backendLog.TakeLines(known)) {
    world_.Emit(std::move(line));
  }
  fleetKnownBefore_ = world_.freshness.AsOf(StoreTopic::Fleet);
}

void FleetSystem::NoteOutageEnd()
{
  const std::optional<TimePoint> end = world_.freshness.OutageEnd();
  if (end != outageEnd_) {
    outageEnd_ = end;
    ExpectLapsedEntries();
  }
}

bool FleetSystem::MayEndOutage() const
{
  // While entries are awaited, a short outage keeps backends from writing them too.
  const bool awaitsEntries = IsStoreRecovering() || !lapsed_.empty();
  return awaitsEntries || !world_.freshness.IsStoreKnown() ||
         world_.freshness.IsStoreAway(world_.Now());
}

void FleetSystem::ExpectLapsedEntries()
{
  world_.storeRecoveredAt = world_.Now();
  ++confirmation_; // a read that began before confirms nothing
  ScheduleConfirmation();
}

void FleetSystem::ScheduleConfirmation()
{
  world_.timers.Cancel(confirmationTimer_);
  confirmationTimer_ =
    world_.timers.SubscribeAt(*world_.storeRecoveredAt + kStoreRecoveryTime,
                              [this](TimePoint) { RequestConfirmation(); });
}

void FleetSystem::RequestConfirmation()
{
  // While the store is away again, entries cannot come back.
  if (!lapsed_.empty() && world_.isStoreReachable) {
    world_.Emit(ConfirmFleet{ ++confirmation_ });
  }
}

void FleetSystem::RemoveLapsed()
{
  if (lapsed_.empty()) {
    return;
  }
  for (const std::string& id : std::exchange(lapsed_, {})) {
    MarkRemoved(id);
  }
  AdvanceFleetOffset(world_.fleetListing.Next()); // so that peers read as far
}

std::vector<std::string> FleetSystem::MissingIn(const FleetRead& aSnapshot) const
{
  std::set<std::string> listed;
  for (const FleetChange& change : aSnapshot.changes) {
    if (const auto* entry = std::get_if<BackendEntry>(&change)) {
      listed.insert(entry->id);
    }
  }
  std::vector<std::string> missing;
  for (const auto& [id, row] : world_.backends) {
    if (!row.removedAt && !listed.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

bool FleetSystem::LooksLikeLapse(const FleetRead& aEvent) const
{
  if (world_.freshness.IsUnbroken(StoreTopic::Fleet, world_.Now(), kStoreRecoveryTime)) {
    return false; // entries lapse only while the store is away
  }
  std::set<std::string> missing;
  if (aEvent.isSnapshot) {
    const std::vector<std::string> all = MissingIn(aEvent);
    missing.insert(all.begin(), all.end());
  }
  for (const FleetChange& change : aEvent.changes) {
    if (const auto* removed = std::get_if<BackendRemoved>(&change)) {
      missing.insert(removed->id);
    } else {
      missing.erase(std::get<BackendEntry>(change).id);
    }
  }
  std::map<std::string, ServiceLoss> losses;
  for (const auto& [id, row] : world_.backends) {
    if (!row.removedAt && !row.entry.isLeaving) {
      ServiceLoss& loss = losses[row.entry.service];
      loss.known += 1;
      loss.missing += missing.contains(id) ? 1 : 0;
    }
  }
  return std::ranges::any_of(losses, [](const auto& aItem) {
    const ServiceLoss& loss = aItem.second;
    return loss.missing >= kMinLapsed && 2 * loss.missing >= loss.known;
  });
}

void FleetSystem::MarkRemoved(const std::string& aId)
{
  BackendRow* row = world_.backends.Find(aId);
  if (row == nullptr || row->removedAt) {
    return;
  }
  row->removedAt = world_.Now();
  row->removedBefore = ReadPosition();
  row->reportedRemoved.reset();
  row->isLeavingUntold = true;
  world_.unusableBackends.push_back(aId);
  world_.isDigestDue = true;
  world_.Emit(CloseIdleBackendConnections{ row->entry.address });
  world_.backendLog.Add({ "backend_removed", {} }, aId);
}

void FleetSystem::Handle(const StoreReachabilityChanged& aEvent)
{
  if (aEvent.isReachable == world_.isStoreReachable) {
    return;
  }
  world_.isStoreReachable = aEvent.isReachable;
  if (aEvent.isReachable && MayEndOutage()) {
    ExpectLapsedEntries();
  }
  if (!aEvent.isReachable) {
    ++confirmation_; // a read that began before confirms nothing
    world_.counters.Add(EntryCounter::StoreDisconnects);
  }
  world_.Log(aEvent.isReachable ? LogLevel::Info : LogLevel::Warning,
             aEvent.isReachable ? "store_regained" : "store_lost", {},
             { { "reason", aEvent.reason } });
}

void FleetSystem::Handle(const StoreEraRead& aEvent)
{
  if (aEvent.era <= world_.storeEra) {
    return;
  }
  const uint64_t before = std::exchange(world_.storeEra, aEvent.era);
  if (before == 0) {
    return; // the first one that this process knows
  }
  world_.fleetOffset = 0;
  world_.fleetListing.Forget();
  world_.fleetDelta.reset();
  world_.freshness.Forget(StoreTopic::Fleet);
  ExpectLapsedEntries(); // what it lost is written again
  world_.isDigestUrgent = true;
  world_.counters.Add(EntryCounter::StoreRestores);
  world_.Log(
    LogLevel::Warning, "store_went_back", {},
    { { "era", std::to_string(aEvent.era) }, { "before", std::to_string(before) } });
}

void FleetSystem::Handle(const RecordIgnored& aEvent)
{
  world_.Log(LogLevel::Warning, aEvent.event, {},
             { { "key", aEvent.key }, { "reason", aEvent.reason } });
}

void FleetSystem::Handle(const UnsolicitedBytes& aEvent)
{
  world_.counters.Add(EntryCounter::UnsolicitedBytes);
  world_.Log(LogLevel::Warning, "unasked_bytes", {}, { { "address", aEvent.address } });
}

void FleetSystem::Handle(const DigestReceived& aEvent)
{
  NoteOutageEnd();
  for (const LeavingBackend& reported : aEvent.digest.leaving) {
    BackendRow* row = world_.backends.Find(reported.id);
    // The id may have been reused by a later start of the backend, which is not leaving.
    if (row == nullptr || row->entry.startedMs != reported.startedMs) {
      continue;
    }
    if (reported.isRemoved) {
      ApplyRemovalReport(
        *row, { .era = aEvent.digest.storeEra, .next = reported.removedBefore },
        aEvent.digest.daemon);
    } else {
      row->announcedLeaving = true;
      MarkLeaving(world_, *row, aEvent.digest.daemon);
    }
  }
  if (aEvent.digest.fleetDelta && aEvent.digest.storeEra == world_.storeEra) {
    ApplyDelta(*aEvent.digest.fleetDelta);
  }
}

void FleetSystem::ApplyRemovalReport(BackendRow& aBackend,
                                     const RemovalPosition& aPosition,
                                     const std::string& aPeer)
{
  if (aBackend.removedAt || HasRead(aPosition)) {
    return;
  }
  if (std::exchange(aBackend.reportedRemoved, aPosition)) {
    return;
  }
  aBackend.reportedAt = world_.Now();
  aBackend.isLeavingUntold = true;
  world_.isDigestDue = true;
  world_.unusableBackends.push_back(aBackend.entry.id);
  world_.Emit(CloseIdleBackendConnections{ aBackend.entry.address });
  world_.backendLog.Add({ "backend_reported_removed", aPeer }, aBackend.entry.id);
}

RemovalPosition FleetSystem::ReadPosition() const
{
  return { .era = world_.storeEra, .next = world_.fleetListing.Next() };
}

bool FleetSystem::HasRead(const RemovalPosition& aPosition) const
{
  return aPosition <= ReadPosition();
}

bool FleetSystem::HasExpired(TimePoint aReportedAt) const
{
  return aReportedAt + kMaxReportTime <= world_.Now();
}

void FleetSystem::Handle(const TopicConfirmed& aEvent)
{
  if (aEvent.read.topic == StoreTopic::Fleet) {
    EndRemovalReports();
  }
}

void FleetSystem::EndRemovalReports()
{
  for (auto& [id, row] : world_.backends) {
    // While this daemon doubts the removal, the peer that confirmed it knows better.
    const bool isInDoubt = lapsed_.contains(id);
    const bool isOutdated = row.reportedRemoved &&
                            (HasRead(*row.reportedRemoved) || HasExpired(row.reportedAt));
    if (isOutdated && !isInDoubt) {
      row.reportedRemoved.reset();
      world_.backendLog.Add({ "backend_report_ended", {} }, id);
    }
  }
}

void FleetSystem::Purge()
{
  const TimePoint now = world_.Now();
  world_.backends.EraseIf([&](const std::string&, const BackendRow& aRow) {
    return aRow.removedAt && aRow.inFlight == 0 &&
           *aRow.removedAt + kRemovedRetention <= now;
  });
  world_.promptCacheIndex.Purge(now);
}

} // namespace gooseberrypath::entry
