// Applies the operators' configuration and tracks the fleet: backend entries that are
// read from the store and fleet changes that peers gossip.
//
// What a backend says of itself (its entry, or a response that a peer tells of) holds
// until its next start. What a daemon concludes from a missing entry ends with its
// evidence: an entry that lapsed in an outage of the store is missing only if a read says
// so that began when it should have been back, and a peer's report holds only until this
// daemon has read the store as far as the peer had and does not doubt the removal.
//
//   FleetSystem fleet(world);
//   fleet.Handle(FleetRead{ .changes = changes, .next = offset });

#ifndef ENTRY_FLEET_SYSTEM_H_
#define ENTRY_FLEET_SYSTEM_H_

#include <set>
#include <span>
#include <string>
#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Keeps the configuration and the table of backends up to date.
class FleetSystem
{
public:
  explicit FleetSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();
  void Run();

  /// Applies the configuration if its version is newer than the one in force.
  void Handle(const ConfigurationRead& aEvent);

  void Handle(const TopicReadFailed& aEvent);

  void Handle(const FleetRead& aEvent);
  void Handle(const TopicConfirmed& aEvent);
  void Handle(const StoreReachabilityChanged& aEvent);

  void Handle(const StoreEraRead& aEvent);
  void Handle(const RecordIgnored& aEvent);
  void Handle(const UnsolicitedBytes& aEvent);

  /// Applies the leaving backends and the fleet delta of a peer's digest.
  void Handle(const DigestReceived& aEvent);

private:
  /// Applies one change to the table of backends.
  void Apply(const BackendEntry& aEntry);
  void Apply(const BackendRemoved& aRemoved);

  /// Applies the newest change of each backend, in order.
  void ApplyNewest(std::span<const FleetChange> aChanges);

  /// Replaces the known fleet.
  void ApplySnapshot(const FleetRead& aEvent);

  /// Applies an incremental read and arranges that the peers hear of its changes.
  void ApplyRead(const FleetRead& aEvent);

  /// Records that the fleet changed up to this offset of the store.
  void AdvanceFleetOffset(uint64_t aNext);

  /// Applies the changes that a peer has read, unless records between them and the known
  /// offset are missing.
  void ApplyDelta(const FleetDelta& aDelta);

  /// Tells whether the store has returned so recently that entries that lapsed during its
  /// outage may still be written again.
  bool IsStoreRecovering() const;

  /// Tells whether no peer is known to have read up to this offset.
  bool IsFirstReader(uint64_t aNext) const;

  /// Returns the backends that a snapshot of the fleet does not list.
  std::vector<std::string> MissingIn(const FleetRead& aSnapshot) const;

  /// Tells whether the read removes so many backends of a service at once that their
  /// entries have probably lapsed in an outage of the store.
  bool LooksLikeLapse(const FleetRead& aEvent) const;

  /// Notices the end of an outage that all daemons shared.
  void NoteOutageEnd();

  /// Tells whether a call that succeeds now, after others that failed, may have ended an
  /// outage that the backends shared.
  bool MayEndOutage() const;

  /// Begins the time in which entries that lapsed during an outage are written again.
  void ExpectLapsedEntries();

  /// Arranges that the store is read once more when lapsed entries should be back.
  void ScheduleConfirmation();
  void RequestConfirmation();

  /// Removes the backends whose lapsed entries did not come back.
  void RemoveLapsed();

  /// Applies a peer's report that the backend was removed, unless this daemon has read
  /// the store as far as the peer.
  void ApplyRemovalReport(BackendRow& aBackend, const RemovalPosition& aPosition,
                          const std::string& aPeer);

  /// Returns how far this daemon has read the store.
  RemovalPosition ReadPosition() const;

  /// Tells whether this daemon has read the store as far.
  bool HasRead(const RemovalPosition& aPosition) const;

  /// Tells whether a peer's report is so old that the reads should have come as far.
  bool HasExpired(TimePoint aReportedAt) const;

  /// Ends the reports of peers that this daemon's own reading of the store replaces.
  void EndRemovalReports();

  /// Marks the backend as removed, so that it gets no new calls.
  void MarkRemoved(const std::string& aId);

  /// Writes the log lines of this tick's changes of backends.
  void WriteBackendLog();

  /// Erases removed backends that have no calls left, and expired prompts.
  void Purge();

  /// Returns for log lines how long ago the topic was known.
  std::string AgeText(StoreTopic aTopic) const;

  /// Creates, updates and removes the teams' quotas as the configuration says.
  void ApplyTeams();

  World& world_;
  std::set<std::string> lapsed_; // ids of backends whose removal is to be confirmed
  uint64_t confirmation_ = 0;    // number of the read that confirms it
  TimerId confirmationTimer_;
  std::optional<TimePoint> outageEnd_;        // of the last outage that was noticed
  std::optional<TimePoint> fleetKnownBefore_; // before the changes of this tick
};

/// Tells whether the backend may get new calls now.
bool IsUsable(const BackendRow& aBackend, TimePoint aNow);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_SYSTEM_H_
