// Carries out the duties that one daemon at a time has: usage reports and orders for
// backends. The holder is agreed through one value in the platform's store that is
// replaced only if nobody wrote in between.
//
// The holder renews its lease by writing. It acts only while less than the lease time has
// passed on its own clock since it began its last successful write. Another daemon takes
// over when it has seen no sign of a renewal for the lease time and a margin, and its
// write succeeds. So two holders never act at the same time, whatever is late or lost.

#ifndef ENTRY_DUTY_SYSTEM_H_
#define ENTRY_DUTY_SYSTEM_H_

#include <optional>
#include <set>
#include <string>

#include "entry/fleet_autoscaler.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class DutySystem
{
public:
  explicit DutySystem(World& aWorld)
    : world_(aWorld)
    , orders_(aWorld)
  {
  }

  void Start();
  void Run() {}

  void Handle(const DigestReceived& aEvent);
  void Handle(const DutyStateRead& aEvent);
  void Handle(const DutyStateWritten& aEvent);
  void Handle(const UsageSent& aEvent);
  void Handle(const UsageRead& aEvent);
  void Handle(const OrderSent& aEvent);

private:
  /// A write whose answer is awaited.
  struct Write
  {
    DutyState state;
    TimePoint began{};
  };

  void Check();

  /// Notes whether this daemon hears less than half of the others.
  void NoteIsolation();
  bool IsHolder() const;
  bool MayAct() const;
  bool MayTake(const DutyState& aState) const;

  /// Returns how long this daemon leaves a free duty to those before it.
  Duration TakeDelay() const;

  /// Returns the number of daemons that take free duties before this one.
  int64_t CandidatesBefore() const;
  void Read();
  void WriteNext(DutyState aNext, uint64_t aEnd);
  void Take();
  void Renew();
  void Release();
  void Lose(const std::string& aReason);

  /// Tells whether the counts of a window are complete, or cannot be waited for.
  bool IsSettled(uint64_t aWindow) const;

  /// Leaves the counts of the last windows in the store while no holder is heard.
  void StoreOwnUsage();

  /// Asks the store for counts that a settled window still lacks.
  void AskForStoredUsage();

  /// Tells whether all known daemons have told their counts of a window.
  bool IsTold(uint64_t aWindow) const;

  /// Adds the reports of windows that are over and settled.
  void DecideReports(DutyState& aState);
  void SendReports();

  World& world_;
  DutyState known_;             // newest state that was read, written or heard of
  std::optional<uint64_t> end_; // offset for the next write
  bool hasRead_ = false;        // known_ was read at least once
  TimePoint lastSign_{};        // of known_.renewal
  TimePoint lastRead_{};
  TimePoint lastHeld_{};
  bool isReading_ = false;
  std::optional<Write> writing_;
  TimePoint leaseUntil_{};
  TimePoint renewAt_{};
  uint64_t storedWindow_ = 0;    // up to here, own counts are in the store
  uint64_t askedWindow_ = 0;     // up to here, the store was asked for counts
  std::set<uint64_t> delivered_; // windows
  std::set<uint64_t> sending_;
  FleetAutoscaler orders_;
  std::optional<TimePoint> isolatedSince_;
  bool keepsIsolated_ = false; // took the duties while cut off, because nobody else did
};

} // namespace gooseberrypath::entry

#endif // ENTRY_DUTY_SYSTEM_H_
