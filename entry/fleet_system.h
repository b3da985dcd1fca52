// Applies the operators' configuration and the entries of backends.

#ifndef ENTRY_FLEET_SYSTEM_H_
#define ENTRY_FLEET_SYSTEM_H_

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
  void Handle(const StoreReachable& aEvent);

  void Handle(const RecordIgnored& aEvent);

  /// Takes over what a peer heard of leaving backends.
  void Handle(const DigestReceived& aEvent);

private:
  void Apply(const BackendEntry& aEntry);
  void Apply(const BackendRemoved& aRemoved);
  void RemoveMissing(const FleetRead& aWhole);

  /// Ends new calls to the backend.
  void MarkRemoved(const std::string& aId);

  /// Forgets removed backends that have no calls left.
  void Purge();
  void ApplyTeams();

  World& world_;
  bool fleetChanged_ = false; // by the entries that are being read: one came or left
};

/// Tells whether the backend may get new calls now.
bool IsUsable(const BackendRow& aBackend, TimePoint aNow);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_SYSTEM_H_
