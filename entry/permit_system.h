// Keeps the limits of backends for all daemons together: each request to a limited
// backend needs a permit, and one daemon at a time grants the permits of a backend at the
// rate that the backend takes. A permit that is lost on the way is not used, so lost,
// delayed and repeated messages never lead to more requests.
//
//   PermitSystem permits(world);
//   world.permitsWanted.insert(backendId); // a call waits for a permit
//   permits.Run();                         // asks, or grants if it is the granter

#ifndef ENTRY_PERMIT_SYSTEM_H_
#define ENTRY_PERMIT_SYSTEM_H_

#include <map>
#include <string>
#include <unordered_map>

#include "entry/granter_choice.h"
#include "entry/permit_bucket.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class PermitSystem
{
public:
  explicit PermitSystem(World& aWorld)
    : world_(aWorld)
    , granters_(aWorld.Now())
  {
  }

  void Start();

  /// Gets permits for the calls that wait for them.
  void Run();

  void Handle(const PermitRequestReceived& aEvent);
  void Handle(const PermitReplyReceived& aEvent);

  /// Applies the limits that a peer knows.
  void Handle(const DigestReceived& aEvent);

private:
  /// Updates which daemons may grant, and forgets buckets that are not needed.
  void OnCheck();

  /// Detects that this process was suspended. It then waits before it grants again.
  void DetectSuspension();

  /// Updates the choice of granters for the daemons that this one knows and hears.
  void UpdateGranters();

  /// Updates the index of the backends by their keys.
  void IndexBackends();

  /// Logs the granter of a limited backend if it changed.
  void LogGranter(const BackendRow& aBackend);

  /// Returns the backend with the key, or null.
  BackendRow* FindBackend(uint32_t aKey);

  /// Answers a request of this daemon or of a peer for permits of the backend.
  PermitGrant Grant(BackendRow& aBackend, const PermitDemand& aDemand);

  /// Grants permits to this daemon or asks the granter for them.
  void GetPermits(BackendRow& aBackend);

  /// Sends the pending request to the granter's address, first or once more.
  void SendAsk(const BackendRow& aBackend, const PermitStock::Ask& aAsk,
               const std::string& aGranter);

  /// Sends the request again if no reply came, or gives it up.
  void OnAskTimer(const std::string& aBackend, uint64_t aAsk,
                  const std::string& aGranter);

  World& world_;
  GranterChoice granters_;
  std::map<std::string, PermitBucket> buckets_;       // by id of the backend
  std::unordered_map<uint32_t, std::string> idOfKey_; // ids of backends
  std::map<std::string, std::string> loggedGranters_; // by id of the backend
  std::map<std::string, TimePoint> heardAt_;          // of daemons, by host
  TimePoint checkedAt_{};
  uint64_t lastAsk_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PERMIT_SYSTEM_H_
