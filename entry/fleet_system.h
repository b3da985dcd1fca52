// Applies the operators' configuration and the entries of backends.

#ifndef ENTRY_FLEET_SYSTEM_H_
#define ENTRY_FLEET_SYSTEM_H_

#include <span>
#include <vector>

#include "entry/world.h"

namespace gooseberrypath::entry {

class FleetSystem
{
public:
  explicit FleetSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();
  void Run() {}

  /// Applies a version unless a newer one is in force.
  void Handle(const ConfigurationRead& aEvent);

  void Handle(const FleetRead& aEvent);
  void Handle(const StoreReachabilityChanged& aEvent);

  void Handle(const RecordIgnored& aEvent);
  void Handle(const UnsolicitedBytes& aEvent);

  /// Takes over what a peer heard of leaving backends, and what it has just read.
  void Handle(const DigestReceived& aEvent);

private:
  /// Applies one change and returns whether a backend came or left by it.
  bool Apply(const BackendEntry& aEntry);
  bool Apply(const BackendRemoved& aRemoved);

  /// Applies changes in order and returns those by which a backend came or left.
  std::vector<FleetChange> ApplyAll(std::span<const FleetChange> aChanges);

  /// Notes that the fleet changed up to the offset.
  void NoteChanged(uint64_t aNext);

  /// Applies what a peer has read, unless records between it and what is known are
  /// missing.
  void TakeNews(const FleetDelta& aNews);

  /// Tells whether entries that lapsed while the store was away may still come back.
  bool IsReturnTime() const;

  /// Tells whether no peer is known to have read up to this offset.
  bool IsFirstReader(uint64_t aNext) const;
  void RemoveMissing(const FleetRead& aWhole);

  /// Ends new calls to the backend.
  void MarkRemoved(const std::string& aId);

  /// Forgets removed backends that have no calls left.
  void Purge();
  void ApplyTeams();

  World& world_;
};

/// Tells whether the backend may get new calls now.
bool IsUsable(const BackendRow& aBackend, TimePoint aNow);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_SYSTEM_H_
