// Applies the operators' configuration and tracks the fleet: backend entries that are
// read from the store and fleet changes that peers gossip.
//
//   FleetSystem fleet(world);
//   fleet.Handle(FleetRead{ .changes = changes, .next = offset });

#ifndef ENTRY_FLEET_SYSTEM_H_
#define ENTRY_FLEET_SYSTEM_H_

#include <span>
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
  void Run() {}

  /// Applies the configuration if its version is newer than the one in force.
  void Handle(const ConfigurationRead& aEvent);

  void Handle(const FleetRead& aEvent);
  void Handle(const StoreReachabilityChanged& aEvent);

  void Handle(const StoreEraRead& aEvent);
  void Handle(const RecordIgnored& aEvent);
  void Handle(const UnsolicitedBytes& aEvent);

  /// Applies the leaving backends and the fleet delta of a peer's digest.
  void Handle(const DigestReceived& aEvent);

private:
  /// Applies one change and returns whether a backend joined or left by it.
  bool Apply(const BackendEntry& aEntry);
  bool Apply(const BackendRemoved& aRemoved);

  /// Applies changes in order and returns those by which a backend joined or left.
  std::vector<FleetChange> ApplyAll(std::span<const FleetChange> aChanges);

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

  /// Removes the backends that a snapshot of the fleet does not list.
  void RemoveMissing(const FleetRead& aSnapshot);

  /// Marks the backend as removed, so that it gets no new calls.
  void MarkRemoved(const std::string& aId);

  /// Erases removed backends that have no calls left, and expired prompts.
  void Purge();

  /// Creates, updates and removes the teams' quotas as the configuration says.
  void ApplyTeams();

  World& world_;
};

/// Tells whether the backend may get new calls now.
bool IsUsable(const BackendRow& aBackend, TimePoint aNow);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_SYSTEM_H_
