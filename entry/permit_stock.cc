#include "entry/permit_stock.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// A permit expires this long after its request was sent, which is before it was granted.
// So all requests reach the backend soon after their permits were granted.
constexpr Duration kPermitLifetime = std::chrono::milliseconds(500);

// A request asks for the calls that are expected in this time, so that a daemon with many
// calls does not send a datagram for each.
constexpr double kAskAheadSeconds = 0.05;
constexpr uint32_t kMaxWanted = 1000;

// Minimum time between a request without a grant and the next one.
constexpr Duration kMinDenial = std::chrono::milliseconds(10);

} // namespace

bool PermitStock::Take(TimePoint aNow)
{
  while (!expiries_.empty() && expiries_.front() <= aNow) {
    expiries_.pop_front();
  }
  if (expiries_.empty()) {
    return false;
  }
  expiries_.pop_front();
  return true;
}

void PermitStock::AddWaiting(TimePoint aNow)
{
  waiting_ += 1;
  waitingRate_.Add(aNow, 1);
}

const PermitStock::Ask& PermitStock::BeginAsk(TimePoint aNow, uint64_t aId)
{
  const auto expected =
    static_cast<uint32_t>(waitingRate_.PerSecond(aNow) * kAskAheadSeconds);
  ask_ = Ask{ .id = aId,
              .wanted = std::clamp(std::max(waiting_, expected), 1U, kMaxWanted),
              .firstSentAt = aNow,
              .lastSentAt = aNow };
  waiting_ = 0;
  return *ask_;
}

bool PermitStock::EndAsk(TimePoint aNow, uint64_t aId, const PermitGrant& aGrant)
{
  if (!ask_ || ask_->id != aId) {
    return false;
  }
  const TimePoint expiry = ask_->firstSentAt + kPermitLifetime;
  const uint32_t usable = std::min(aGrant.permits, ask_->wanted);
  expiries_.insert(expiries_.end(), usable, expiry);
  ask_.reset();
  const Duration pause =
    usable > 0 ? aGrant.askAgainAfter : std::max(aGrant.askAgainAfter, kMinDenial);
  askAgainAt_ = aNow + pause;
  return true;
}

void PermitStock::Deny(TimePoint aUntil)
{
  ask_.reset();
  waiting_ = 0;
  askAgainAt_ = std::max(askAgainAt_, aUntil);
}

} // namespace gooseberrypath::entry
