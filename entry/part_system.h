// Shares the evidence about prompt parts with the other daemons, and logs which parts are
// blocked and freed.
//
//   PartSystem parts(world);
//   parts.Start();
//   parts.Run(); // in each tick

#ifndef ENTRY_PART_SYSTEM_H_
#define ENTRY_PART_SYSTEM_H_

#include <cstdint>
#include <map>

#include "entry/part_store_exchange.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class PartSystem
{
public:
  explicit PartSystem(World& aWorld)
    : world_(aWorld)
    , store_(aWorld)
  {
  }

  void Start();

  /// Decides anew which parts are blocked.
  void Run();

  void Handle(const DigestReceived& aEvent);
  void Handle(const PartEvidenceRead& aEvent) { store_.Handle(aEvent); }

private:
  /// Detects that this process was suspended. It then does not know which parts are
  /// safe.
  void OnCheck();

  /// Logs which requests were blocked and freed since the last call.
  void UpdateRequests();

  void LogBlocked(const PartBlock& aBlock) const;

  World& world_;
  PartStoreExchange store_;
  std::map<uint64_t, PartBlock> known_;                // blocks that were logged
  std::map<RequestPrint, RequestBlock> knownRequests_; // likewise
  TimePoint checkedAt_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_SYSTEM_H_
