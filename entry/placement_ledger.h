// The placer's view of the backends of one service: the placements that it granted and
// that were not released, the calls beyond them that load reports and digests show, and
// the backends' pace. It chooses the backend with the lowest expected cost among those
// with a free slot.
//
//   PlacementLedger ledger(60);
//   ledger.SetBackends(now, backends);
//   if (const auto backend = ledger.Place(now, demand)) { ... }
//   ledger.Release(now, release);

#ifndef ENTRY_PLACEMENT_LEDGER_H_
#define ENTRY_PLACEMENT_LEDGER_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry/placement_message.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Identifies a request for a placement, and the placement that it led to.
struct PlacementKey
{
  std::string process; // name of the asking process
  uint64_t id = 0;

  auto operator<=>(const PlacementKey&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What the placer knows of a backend, apart from its own placements and load reports.
struct PlaceableBackend
{
  uint32_t slots = 1;        // that are registered
  uint64_t startedMs = 0;    // its start in Unix milliseconds
  uint32_t dataCentre = 0;   // hash of the name
  bool isUsable = true;      // it may receive calls
  double failureRate = 0;    // share of recent calls, 0 to 1
  double slowness = 1;       // observed over expected time; 1 is normal
  int64_t digestedCalls = 0; // calls of all daemons by their latest digests
};

/// A call that has to be placed.
struct PlacementDemand
{
  PlacementKey key;
  uint32_t dataCentre = 0;        // hash of the name
  Duration timeLeft{};            // until the deadline of the call
  Duration latencyObjective{};    // longest useful time to the response
  std::vector<uint32_t> excluded; // backends at which the call failed
};

class PlacementLedger
{
public:
  /// `aWorkMs` is the time that a call takes until calls were observed.
  explicit PlacementLedger(double aWorkMs)
    : workMs_(aWorkMs)
  {
  }

  /// Sets the share of all daemons that are alive, from 0 to 1. In a partition, they may
  /// always use this share of each backend's slots, and at least one.
  void SetShare(double aShare) { share_ = aShare; }

  /// Sets the backends of the service, by the hash of their ids. The placements at a
  /// backend that is gone or was restarted are removed.
  void SetBackends(TimePoint aNow, const std::map<uint32_t, PlaceableBackend>& aBackends);

  /// Applies a backend's load report that was received at `aReceivedAt`, unless a newer
  /// one is known.
  void ApplyReport(TimePoint aNow, uint32_t aBackend, const LoadReport& aReport,
                   TimePoint aReceivedAt);

  /// Places the call at a backend with a free slot and returns the hash of its id. A call
  /// that was placed before keeps its backend.
  std::optional<uint32_t> Place(TimePoint aNow, const PlacementDemand& aDemand);

  /// Places the call as Place() does, also at a backend whose slot becomes free before
  /// the call reaches it.
  std::optional<uint32_t> PlaceSoon(TimePoint aNow, const PlacementDemand& aDemand);

  /// Places a call that waited as PlaceSoon() does, or at a full backend if it failed at
  /// the others.
  std::optional<uint32_t> PlaceWaiting(TimePoint aNow, const PlacementDemand& aDemand);

  /// Applies the report of the release and removes its placement, if there is one.
  void Release(TimePoint aNow, const PlaceRelease& aRelease);

  /// Removes the placements of a process that ended. Its calls may still be running,
  /// which load reports show.
  void RemoveProcess(const std::string& aProcess);

  /// Removes all placements whose calls must have ended.
  void RemoveExpired(TimePoint aNow);

  /// Returns the backend of a placement.
  std::optional<uint32_t> FindPlacement(const PlacementKey& aKey) const;

  /// Tells whether a call that failed nowhere could be placed.
  bool HasFreeSlot(TimePoint aNow) const;

  /// Tells whether PlaceWaiting() has a slot for a call that failed nowhere.
  bool HasSlotForWaiting(TimePoint aNow) const;

  /// Returns the calls at the backend: the placements, and the others that are known.
  uint32_t CallsAt(TimePoint aNow, uint32_t aBackend) const;

  /// Returns the rate at which slots become free while all are used.
  double SlotsPerSecond(TimePoint aNow) const;

  /// Returns the mean time that a call takes at a backend, in milliseconds.
  double WorkMs() const { return workMs_; }

  /// Returns the slots that may be used in all.
  uint32_t SlotCount(TimePoint aNow) const;

  /// Returns the number of placements that were granted and not removed.
  size_t Size() const { return backendOf_.size(); }

private:
  /// Which backends a call may be placed at.
  enum class SlotUse : uint8_t
  {
    Free, // with a free slot
    Soon, // or with one that becomes free before the call arrives
    Any,
  };

  struct Placement
  {
    PlacementKey key;
    TimePoint grantedAt{};
    TimePoint expiresAt{};
  };

  struct Backend
  {
    PlaceableBackend known;
    std::vector<Placement> placements; // the oldest first
    std::deque<TimePoint> releasedAt;  // of the last placements, as digests may show them
    std::vector<TimePoint> doubtedAt;  // when placements were removed due to a report
    std::optional<LoadReport> report;  // the newest one
    TimePoint reportedAt{};
    uint32_t unplaced = 0; // calls beyond the placements at that time
  };

  /// Returns the best backend for the call and its key, or null.
  std::pair<uint32_t, const Backend*> FindBest(TimePoint aNow,
                                               const PlacementDemand& aDemand,
                                               SlotUse aUse) const;

  /// Adds a placement at the backend if there is one.
  std::optional<uint32_t> Grant(TimePoint aNow, const PlacementDemand& aDemand,
                                SlotUse aUse);

  /// Tells whether the backend can take one more call.
  bool HasSlot(TimePoint aNow, const Backend& aBackend, SlotUse aUse) const;

  /// Keeps the report if it is the newest one. Returns whether it is.
  bool StoreReport(TimePoint aNow, Backend& aBackend, const LoadReport& aReport,
                   TimePoint aReceivedAt);

  /// Tells whether the newest report still shows how many calls the backend has.
  static bool IsReportFresh(TimePoint aNow, const Backend& aBackend);

  /// Returns the slots of the backend, as registered or reported.
  static uint32_t Slots(TimePoint aNow, const Backend& aBackend);

  /// Returns the slots of the backend that belong to the daemons that are alive.
  uint32_t Capacity(TimePoint aNow, const Backend& aBackend) const;

  /// Returns the calls at the backend.
  uint32_t Calls(TimePoint aNow, const Backend& aBackend) const;

  /// Returns the calls beyond the placements that the newest report shows and that have
  /// not ended since.
  uint32_t RemainingUnplaced(TimePoint aNow, const Backend& aBackend) const;

  /// Returns how long work takes now at the backend, relative to the usual time.
  static double Pace(TimePoint aNow, const Backend& aBackend);

  /// Returns the cost of one more call at the backend, in milliseconds.
  double Cost(TimePoint aNow, const Backend& aBackend,
              const PlacementDemand& aDemand) const;

  /// Removes the oldest placements that the newest report does not show.
  void RemoveUnreported(TimePoint aNow, Backend& aBackend);

  /// Removes the placements at the backend.
  void Clear(Backend& aBackend);

  double workMs_;
  double share_ = 1;
  std::optional<TimePoint> since_;       // when the backends were set first
  std::map<uint32_t, Backend> backends_; // by hash of the id
  std::map<PlacementKey, uint32_t> backendOf_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PLACEMENT_LEDGER_H_
