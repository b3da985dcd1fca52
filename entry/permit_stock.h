// The permits that this daemon has for one limited backend, and its request for more. A
// call that needs a permit waits for the reply for some milliseconds at most.
//
//   PermitStock stock;
//   if (!stock.Take(now) && stock.MayGet(now)) { ... ask and wait ... }

#ifndef ENTRY_PERMIT_STOCK_H_
#define ENTRY_PERMIT_STOCK_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "entry/permit_bucket.h"
#include "entry/smoothed_rate.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

class PermitStock
{
public:
  /// A request for permits without a reply yet.
  struct Ask
  {
    uint64_t id = 0;
    uint32_t wanted = 1;
    TimePoint firstSentAt{};
    TimePoint lastSentAt{};
  };

  /// Takes a permit out and returns true if there is one that has not expired.
  bool Take(TimePoint aNow);

  /// Tells whether a permit is in stock.
  bool HasPermit(TimePoint aNow) const
  {
    return !expiries_.empty() && expiries_.back() > aNow;
  }

  /// Tells whether a call may get a permit at once or after the reply to a request.
  bool MayGet(TimePoint aNow) const
  {
    return HasPermit(aNow) || ask_ || askAgainAt_ <= aNow;
  }

  /// Counts a call that waits for a permit.
  void AddWaiting(TimePoint aNow);

  /// Begins a request for the calls that wait, and for those expected soon.
  const Ask& BeginAsk(TimePoint aNow, uint64_t aId);

  /// Notes that the request is sent once more.
  void NoteResent(TimePoint aNow) { ask_->lastSentAt = aNow; }

  /// Returns the request without a reply, or null.
  const Ask* PendingAsk() const { return ask_ ? &*ask_ : nullptr; }

  /// Ends the request. A grant that is too old is not used. Returns false if the reply
  /// belongs to no pending request.
  bool EndAsk(TimePoint aNow, uint64_t aId, const PermitGrant& aGrant);

  /// Ends the request, if there is one, without a permit. None is asked for before the
  /// time.
  void Deny(TimePoint aUntil);

  /// Returns the time from which on permits are asked for.
  TimePoint AskAgainAt() const { return askAgainAt_; }

private:
  std::deque<TimePoint> expiries_; // of the permits in stock, the earliest first
  std::optional<Ask> ask_;
  TimePoint askAgainAt_{};
  uint32_t waiting_ = 0; // calls since the last request
  SmoothedRate waitingRate_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PERMIT_STOCK_H_
