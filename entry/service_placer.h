// Places the calls of one service for all daemons: answers requests from the ledger, and
// holds those that find no free slot in a queue until a slot is free or they can no
// longer start in time.
//
//   ServicePlacer placer({ .seed = 1 });
//   placer.SetBackends(now, backends, 1);
//   PlaceReply reply = placer.Answer(now, from, request);
//   placer.Release(now, release);
//   for (const AddressedReply& reply : placer.TakeReplies(now)) { ... } // to held ones

#ifndef ENTRY_SERVICE_PLACER_H_
#define ENTRY_SERVICE_PLACER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/placement_ledger.h"
#include "entry/placement_message.h"
#include "entry/placement_queue.h"

namespace gooseberrypath::entry {

struct ServicePlacerOptions
{
  double workMs = 60; // time that a call takes, until calls were observed
  uint32_t slots = 1; // of all backends; bounds the queue
  uint64_t seed = 1;  // of the jitter of retry times
};

/// A reply and the address of the daemon that it is sent to; empty: this daemon.
struct AddressedReply
{
  std::string to;
  PlaceReply reply;
};

class ServicePlacer
{
public:
  explicit ServicePlacer(ServicePlacerOptions aOptions);

  /// Sets the backends of the service by the hash of their ids, and the share of their
  /// slots that may be used.
  void SetBackends(TimePoint aNow, const std::map<uint32_t, PlaceableBackend>& aBackends,
                   double aShare);

  void ApplyReport(TimePoint aNow, uint32_t aBackend, const LoadReport& aReport,
                   TimePoint aReceivedAt)
  {
    ledger_.ApplyReport(aNow, aBackend, aReport, aReceivedAt);
  }

  /// Answers a request that came from this address.
  PlaceReply Answer(TimePoint aNow, const std::string& aFrom,
                    const PlaceRequest& aRequest);

  /// Ends the placement, or removes the request from the queue.
  void Release(TimePoint aNow, const PlaceRelease& aRelease);

  /// Removes the placements and requests of a process that ended.
  void RemoveProcess(const std::string& aProcess);

  /// Places held requests at free slots, refuses those that can no longer start in time,
  /// and returns the replies.
  std::vector<AddressedReply> TakeReplies(TimePoint aNow);

  /// Removes all held requests and returns the replies that this daemon does not place.
  std::vector<AddressedReply> Dismiss();

  /// Tells whether requests are held.
  bool HoldsRequests() const { return !held_.empty(); }

  const PlacementLedger& Ledger() const { return ledger_; }

private:
  struct HeldRequest
  {
    std::string from;
    PlaceRequest request;
    TimePoint arrived{};
  };

  static PlacementDemand DemandOf(const PlaceRequest& aRequest, Duration aWaited);

  /// Removes the held request of this number.
  void Remove(uint64_t aNumber);

  PlacementLedger ledger_;
  PlacementQueue queue_;
  uint64_t lastNumber_ = 0;
  std::map<uint64_t, HeldRequest> held_;      // by id in the queue
  std::map<PlacementKey, uint64_t> numberOf_; // of held requests
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SERVICE_PLACER_H_
