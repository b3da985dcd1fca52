// Runs the duties that at most one daemon has at a time: usage reports and orders for
// backends. The daemons agree on the holder through a lease, one value in the platform's
// store that each write replaces with a compare-and-set on the store's offset.
//
// The holder renews its lease by writing. It acts only within the lease duration, which
// it counts on its own clock from the start of its last successful write. Another daemon
// acquires the lease when it has seen no renewal for the lease duration plus a margin and
// its own write succeeds. So two daemons never act at the same time, whichever messages
// are late or lost.
//
// The store may come back from a copy that lacks the newest states. The state therefore
// names the era of the store in which it was written. One of an earlier era may be
// outdated: a holder with a valid lease writes its own state again, and another daemon
// waits for a whole lease from the moment at which it learned of the new era.
//
//   DutySystem duties(world);
//   duties.Start(); // runs on a timer; events come through Handle

#ifndef ENTRY_DUTY_SYSTEM_H_
#define ENTRY_DUTY_SYSTEM_H_

#include <optional>
#include <set>
#include <string>

#include "entry/fleet_autoscaler.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// Holds the lease or stands by to acquire it, and runs the duties while it holds the
/// lease.
class DutySystem
{
public:
  explicit DutySystem(World& aWorld)
    : world_(aWorld)
    , autoscaler_(aWorld)
  {
  }

  void Start();
  void Run() {}

  void Handle(const DigestReceived& aEvent);
  void Handle(const StoreEraRead& aEvent);
  void Handle(const DutyStateRead& aEvent);
  void Handle(const DutyStateWritten& aEvent);
  void Handle(const UsageSent& aEvent);
  void Handle(const UsageRead& aEvent);
  void Handle(const OrderSent& aEvent);

private:
  /// A write to the store whose result is pending.
  struct PendingWrite
  {
    DutyState state;
    TimePoint began{};
  };

  /// Renews or releases a held lease and runs the duties; else looks for a lease to
  /// acquire.
  void OnTimer();

  /// Updates whether this daemon receives digests from fewer than half of its peers.
  void UpdateIsolation();
  bool IsHolder() const;

  /// Tells whether the lease is held and its safety margin has not begun.
  bool HasValidLease() const;

  /// Tells whether the lease in this state is free or expired and it is this daemon's
  /// turn.
  bool MayAcquire(const DutyState& aState) const;

  /// Applies a state that was written in this era of the store.
  void ApplyCurrent(const DutyState& aState);

  /// Applies a state that was written before the store went back to a copy. Later states
  /// may have been lost, so a holder whose lease is valid writes its own again, and the
  /// others keep the newest that they know.
  void ApplyOutdated(const DutyState& aState);

  /// Returns the first window that no earlier holder may have reported, if its reports
  /// were lost when the store went back.
  uint64_t FirstSafeWindow(const DutyState& aState) const;

  /// Returns how long this daemon leaves a free lease to the candidates ahead of it.
  Duration AcquireDelay() const;

  /// Returns the number of live daemons that may acquire a free lease before this one.
  int64_t CandidatesAhead() const;
  void ReadState();

  /// Writes the next state on the condition that the store is still at the offset.
  void WriteState(DutyState aNext, uint64_t aOffset);
  void Acquire();
  void Renew();

  /// Writes a state without a holder.
  void Release();

  /// Stops holding the duties and logs the reason.
  void RecordLoss(const std::string& aReason);

  /// Tells whether a window can be reported: all counts are there, or the wait for
  /// missing ones has timed out.
  bool IsReportable(uint64_t aWindow) const;

  /// Writes this daemon's counts of the last windows to the store while no live peer
  /// holds the lease.
  void StoreOwnUsage();

  /// Reads counts from the store if the oldest unreported window still lacks some.
  void RequestStoredUsage();

  /// Tells whether all known peers have sent their counts of a window.
  bool HasAllCounts(uint64_t aWindow) const;

  /// Adds the reports of windows that have ended and are reportable.
  void FinalizeReports(DutyState& aState);

  /// Sends the finalized reports that are neither delivered nor pending.
  void SendReports();

  World& world_;
  uint64_t era_ = 0;                    // of the store, as far as this system knows
  TimePoint eraSince_{};                // when it was learned
  DutyState state_;                     // newest state that was read, written or received
  std::optional<uint64_t> writeOffset_; // of the next write; none: not known
  bool hasReadState_ = false;           // state_ was read from the store at least once
  TimePoint lastHolderSign_{}; // the holder's digest, a changed state or an own write
  TimePoint lastReadAt_{};
  TimePoint lastHeldAt_{};
  bool isReadPending_ = false;
  std::optional<PendingWrite> pendingWrite_;
  TimePoint leaseValidUntil_{};
  TimePoint nextRenewalAt_{};
  uint64_t lastStoredWindow_ = 0;       // own counts up to it are in the store
  uint64_t lastRequestedWindow_ = 0;    // stored counts up to it were requested
  std::set<uint64_t> deliveredWindows_; // the platform accepted their reports
  std::set<uint64_t> pendingWindows_;
  FleetAutoscaler autoscaler_;
  std::optional<TimePoint> isolatedSince_;
  bool acquiredWhileIsolated_ = false; // no other daemon acquired the lease
};

} // namespace gooseberrypath::entry

#endif // ENTRY_DUTY_SYSTEM_H_
