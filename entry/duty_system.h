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

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>

#include "entry/fleet_plan.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

class DutySystem
{
public:
  explicit DutySystem(World& aWorld)
    : world_(aWorld)
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
  using OrderKey = std::tuple<std::string, std::string, bool>;

  /// The newest order of one kind of backend in a data centre.
  struct OrderRow
  {
    uint32_t count = 0;
    bool isAccepted = false;
    bool isDenied = false;  // none were to be had
    bool isRunning = false; // its answer is awaited
    TimePoint sent{};
    TimePoint retryAt{}; // not sent again before
  };

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

  /// Tells whether backends that were ordered should serve by now and do not.
  bool IsOverdue(const OrderRow& aRow, const Service& aService, uint32_t aServing) const;

  /// Tells whether reclaimable backends that were ordered there are not to be had.
  bool LacksReclaimable(const Service& aService, const DataCentreFleet& aFleet) const;

  /// Tells whether the backends that were there at the start have been read.
  bool IsFleetKnown();
  void SendOrders();
  std::vector<DataCentreFleet> FleetsOf(const Service& aService) const;
  ServiceLoad LoadOf(const Service& aService) const;

  /// Takes the load into the smoothed need of the service and returns it.
  ServiceNeed UpdateNeed(const Service& aService,
                         std::span<const DataCentreFleet> aFleets);

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
  std::map<OrderKey, OrderRow> orders_;
  bool hasLoad_ = false; // there were calls since the start
  bool isFleetKnown_ = false;
  size_t seenBackends_ = 0; // when the fleet changed last, before it was known
  TimePoint fleetChangedAt_{};
  std::optional<TimePoint> isolatedSince_;
  bool keepsIsolated_ = false; // took the duties while cut off, because nobody else did
};

} // namespace gooseberrypath::entry

#endif // ENTRY_DUTY_SYSTEM_H_
