#include "entry/duty_system.h"

#include <algorithm>

#include "entry/clock_difference.h"

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = FleetAutoscaler::kInterval;
constexpr Duration kRenewInterval = milliseconds(1000);

// The holder stops acting this long before its lease ends, so that a call it has just
// started still reaches the platform within the lease.
constexpr Duration kLeaseSafetyMargin = milliseconds(700);

// Other daemons wait this long beyond the lease, because clocks may run at different
// rates.
constexpr Duration kAcquireMargin = milliseconds(300);

// If there is no sign of the holder for this time, the state is read from the store.
constexpr Duration kHolderTimeout = milliseconds(1300);
constexpr Duration kReadInterval = milliseconds(600);

// Each candidate ahead of this daemon delays that read by this time. In a large
// deployment only the first few daemons then read the store, and one of them acquires the
// lease.
constexpr Duration kReadStagger = milliseconds(200);

// A holder that receives digests from fewer than half of the daemons for this time is
// isolated. It knows neither their counts nor their load, so it releases the lease to
// another daemon.
constexpr Duration kIsolationTimeout = milliseconds(1500);

// An isolated daemon leaves a free lease to the others for this time.
constexpr Duration kIsolatedAcquireDelay = milliseconds(4000);

// Candidates try for a free lease one after the other, so that writes rarely conflict.
constexpr Duration kAcquireStagger = milliseconds(300);

// A call counts in the window in which it began, but only when its first event arrives,
// which may be this long after the window's end. Counts that a daemon sends later cover
// the whole window.
constexpr WallTime kCountingDelay{ 1600 };

// Without the counts of a daemon, a report waits until this long after the window's end.
// A report is late after 10 s; the remaining time covers a slow store and a slow cloud
// API.
constexpr WallTime kMissingCountsTimeout{ 6000 };

// A daemon that sees no live holder writes its counts to the store. The holder reads them
// this long after a window's end if counts are still missing.
constexpr WallTime kStoredUsageDelay{ 3500 };
constexpr uint64_t kStoredWindows = 4;

// Number of windows before the current one that can still be reported. The platform has
// no use for older ones, and a state that names a very old window must not cause a report
// for each window since then.
constexpr uint64_t kMaxLateWindows = 24;

/// Returns the lowest token of an era. Tokens of earlier eras are lower, also those that
/// the store has lost.
constexpr uint64_t FirstTokenOf(uint64_t aEra)
{
  constexpr unsigned kTokenBits = 24;
  return aEra << kTokenBits;
}

} // namespace

void DutySystem::Start()
{
  if (world_.options.reportsUsage || world_.options.ordersBackends) {
    world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { OnTimer(); });
  }
}

bool DutySystem::IsHolder() const
{
  return world_.dutyToken != 0;
}

bool DutySystem::HasValidLease() const
{
  return IsHolder() && world_.Now() < leaseValidUntil_;
}

void DutySystem::OnTimer()
{
  if (world_.stoppingSince) {
    if (IsHolder()) {
      Release();
    }
    return;
  }
  UpdateIsolation();
  if (IsHolder()) {
    const bool isIsolationConfirmed =
      isolatedSince_ && world_.Now() - *isolatedSince_ >= kIsolationTimeout;
    if (isIsolationConfirmed && !acquiredWhileIsolated_) {
      Release();
    } else if (world_.Now() >= nextRenewalAt_) {
      Renew();
    }
    RequestStoredUsage();
    SendReports();
    if (HasValidLease()) {
      autoscaler_.Reconcile(state_.engineDemands);
    }
    return;
  }
  StoreOwnUsage();
  const Duration readDelay = kHolderTimeout + kReadStagger * CandidatesAhead();
  const bool isDue = world_.Now() - lastHolderSign_ >= readDelay || !hasReadState_;
  if (world_.configuration && isDue && world_.Now() - lastReadAt_ >= kReadInterval) {
    ReadState();
  }
}

void DutySystem::UpdateIsolation()
{
  size_t peerCount = 0;
  size_t alivePeers = 0;
  for (const auto& [host, peer] : world_.peers) {
    peerCount += 1;
    alivePeers += peer.isAlive ? 1 : 0;
  }
  // With only one other daemon, its failure and a network partition look the same.
  const bool isIsolated = peerCount >= 2 && 2 * alivePeers < peerCount;
  if (!isIsolated) {
    isolatedSince_.reset();
    acquiredWhileIsolated_ = false;
  } else if (!isolatedSince_) {
    isolatedSince_ = world_.Now();
  }
}

void DutySystem::ReadState()
{
  if (!isReadPending_) {
    isReadPending_ = true;
    lastReadAt_ = world_.Now();
    world_.Emit(ReadDutyState{});
  }
}

void DutySystem::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  if (IsHolder() && digest.dutyToken > world_.dutyToken) {
    RecordLoss("another daemon has a higher token");
  }
  if (digest.dutyToken == 0 || IsHolder()) {
    return;
  }
  const auto received = std::pair(digest.dutyToken, digest.dutyRenewal);
  const auto known = std::pair(state_.token, state_.renewal);
  if (received >= known) {
    state_.holder = digest.daemon;
    state_.token = digest.dutyToken;
    state_.renewal = digest.dutyRenewal;
    lastHolderSign_ = world_.Now();
  }
}

void DutySystem::Handle(const StoreEraRead& aEvent)
{
  if (aEvent.era <= era_) {
    return;
  }
  era_ = aEvent.era;
  eraSince_ = world_.Now();
  writeOffset_.reset();
  lastStoredWindow_ = 0; // the stored counts may be lost
  lastReadAt_ = {};
  if (IsHolder()) {
    ReadState();
  }
}

void DutySystem::ApplyOutdated(const DutyState& aState)
{
  if (IsHolder()) {
    if (HasValidLease()) {
      nextRenewalAt_ = world_.Now();
      return;
    }
    // Another daemon may have held the lease, in what the store lost.
    RecordLoss("the store went back and the lease has ended");
  }
  const uint64_t firstUnreported =
    std::max(state_.firstUnreported, aState.firstUnreported);
  const auto known = std::max(std::pair(state_.token, state_.renewal),
                              std::pair(aState.token, aState.renewal));
  state_ = aState;
  state_.firstUnreported = firstUnreported;
  state_.token = known.first;
  state_.renewal = known.second;
  hasReadState_ = true;
}

uint64_t DutySystem::FirstSafeWindow(const DutyState& aState) const
{
  if (aState.era == era_) {
    return aState.firstUnreported;
  }
  // Earlier holders acted before the store went back, so they may have reported each
  // window that was complete by then.
  const WallTime since = world_.WallAt(eraSince_) + kMaxClockDifference;
  return std::max(aState.firstUnreported, world_.usage.WindowAt(since - kCountingDelay));
}

void DutySystem::Handle(const DutyStateRead& aEvent)
{
  isReadPending_ = false;
  const bool isOutdated = aEvent.isRead && aEvent.era < era_;
  if (!aEvent.isRead || isOutdated) {
    writeOffset_.reset();
    world_.Log(
      LogLevel::Warning, "duty_state_unread", {},
      { { "reason", isOutdated ? "the store went back meanwhile" : aEvent.reason } });
    return;
  }
  const auto state = DecodeDutyState(aEvent.text);
  if (!state) {
    world_.Log(LogLevel::Error, "duty_state_malformed", {},
               { { "reason", state.error().message } });
    return;
  }
  writeOffset_ = aEvent.end;
  const bool wasHolder = IsHolder();
  if (state->era < era_ && state->token > 0) {
    ApplyOutdated(*state);
  } else {
    ApplyCurrent(*state);
  }
  if (!wasHolder && !world_.stoppingSince && !pendingWrite_ && MayAcquire(state_)) {
    Acquire();
  }
}

void DutySystem::ApplyCurrent(const DutyState& aState)
{
  const bool isNewState = !hasReadState_ || std::pair(aState.token, aState.renewal) !=
                                              std::pair(state_.token, state_.renewal);
  if (isNewState) {
    lastHolderSign_ = world_.Now();
  }
  state_ = aState;
  hasReadState_ = true;
  world_.usage.Merge(state_.counts);
  const bool isStillHolder = state_.holder == world_.options.host &&
                             state_.incarnation == world_.options.incarnation;
  if (IsHolder() && !isStillHolder) {
    RecordLoss("another daemon acquired the lease");
  }
}

bool DutySystem::MayAcquire(const DutyState& aState) const
{
  const Duration uptime = world_.Now() - world_.started;
  const Duration wait = world_.options.leaseDuration + kAcquireMargin;
  if (aState.era < era_) {
    // A holder that the store no longer knows may still act, whoever holds the lease
    // here.
    const TimePoint lastSign = std::max(lastHolderSign_, eraSince_);
    return uptime >= wait && world_.Now() - lastSign >= wait + AcquireDelay();
  }
  if (aState.token == 0) {
    return uptime >= AcquireDelay();
  }
  if (aState.holder == world_.options.host) {
    return true; // an earlier process of this host, which has ended
  }
  if (aState.holder.empty()) {
    // If a daemon that held the lease recently acquired it again, holders would alternate
    // too fast.
    const bool wasHolder =
      lastHeldAt_ != TimePoint{} && world_.Now() - lastHeldAt_ < wait;
    return !wasHolder && uptime >= wait &&
           world_.Now() - lastHolderSign_ >= AcquireDelay();
  }
  return world_.Now() - lastHolderSign_ >= wait + AcquireDelay();
}

int64_t DutySystem::CandidatesAhead() const
{
  return std::ranges::count_if(world_.peers, [&](const auto& aItem) {
    const auto& [host, peer] = aItem;
    const bool canAcquire =
      peer.isAlive && peer.digest.canReachStore && !peer.digest.isStopping;
    return canAcquire && host < world_.options.host;
  });
}

Duration DutySystem::AcquireDelay() const
{
  const Duration delay = isolatedSince_ ? kIsolatedAcquireDelay : Duration{};
  return delay + kAcquireStagger * std::min<int64_t>(CandidatesAhead(), 3);
}

void DutySystem::WriteState(DutyState aNext, uint64_t aOffset)
{
  aNext.renewal += 1;
  aNext.era = era_;
  aNext.counts = world_.usage.Rows(aNext.firstUnreported);
  pendingWrite_ = PendingWrite{ .state = std::move(aNext), .began = world_.Now() };
  world_.Emit(WriteDutyState{ EncodeDutyState(pendingWrite_->state), aOffset, era_ });
}

void DutySystem::Acquire()
{
  DutyState next = state_;
  next.holder = world_.options.host;
  next.incarnation = world_.options.incarnation;
  next.token = std::max(next.token + 1, FirstTokenOf(era_));
  next.firstUnreported = FirstSafeWindow(next);
  if (next.firstUnreported == 0) {
    next.firstUnreported = world_.usage.WindowAt(world_.WallNow());
  }
  WriteState(std::move(next), *writeOffset_);
}

void DutySystem::Renew()
{
  if (pendingWrite_) {
    return;
  }
  if (!writeOffset_) {
    if (world_.Now() - lastReadAt_ >= kReadInterval) {
      ReadState();
    }
    return;
  }
  nextRenewalAt_ = world_.Now() + kRenewInterval;
  DutyState next = state_;
  std::erase_if(next.reports, [&](const UsageReport& aReport) {
    return deliveredWindows_.contains(aReport.window);
  });
  FinalizeReports(next);
  WriteState(std::move(next), *writeOffset_);
}

void DutySystem::Release()
{
  if (pendingWrite_ || !writeOffset_) {
    return;
  }
  DutyState next = state_;
  next.holder.clear();
  WriteState(std::move(next), *writeOffset_);
}

void DutySystem::Handle(const DutyStateWritten& aEvent)
{
  if (!pendingWrite_) {
    return;
  }
  const PendingWrite write = *std::move(pendingWrite_);
  pendingWrite_.reset();
  if (aEvent.outcome != WriteOutcome::Written) {
    world_.Log(LogLevel::Warning, "duty_state_unwritten", {},
               { { "reason", aEvent.reason },
                 { "token", std::to_string(write.state.token) },
                 { "renewal", std::to_string(write.state.renewal) } });
    // The write may still take effect, or another write came first; only a read of the
    // store shows which.
    writeOffset_.reset();
    lastReadAt_ = {};
    if (!world_.stoppingSince) {
      ReadState();
    }
    return;
  }
  state_ = write.state;
  writeOffset_ = aEvent.end;
  lastHolderSign_ = world_.Now();
  if (state_.holder.empty()) {
    RecordLoss(world_.stoppingSince ? "the daemon is stopping"
                                    : "fewer than half of the peers are alive");
    return;
  }
  leaseValidUntil_ = write.began + world_.options.leaseDuration - kLeaseSafetyMargin;
  lastHeldAt_ = world_.Now();
  if (!IsHolder()) {
    nextRenewalAt_ = world_.Now() + kRenewInterval;
    deliveredWindows_.clear();
    pendingWindows_.clear();
    autoscaler_.Reset();
    // No other daemon acquired the lease, so an isolated one keeps it.
    acquiredWhileIsolated_ = isolatedSince_.has_value();
    world_.counters.Add(EntryCounter::DutiesTaken);
    world_.Log(LogLevel::Info, "duties_taken", {},
               { { "token", std::to_string(state_.token) },
                 { "renewal", std::to_string(state_.renewal) } });
  }
  world_.dutyToken = state_.token;
  world_.dutyRenewal = state_.renewal;
  world_.isDigestDue = true;
  world_.usage.DropBefore(state_.firstUnreported);
  SendReports();
}

void DutySystem::RecordLoss(const std::string& aReason)
{
  world_.Log(LogLevel::Info, "duties_lost", {},
             { { "token", std::to_string(world_.dutyToken) },
               { "holder", state_.holder },
               { "reason", aReason } });
  world_.counters.Add(EntryCounter::DutiesLost);
  world_.dutyToken = 0;
  world_.dutyRenewal = 0;
  world_.isDigestDue = true;
}

bool DutySystem::IsReportable(uint64_t aWindow) const
{
  const WallTime end = world_.usage.WindowEnd(aWindow);
  const WallTime now = world_.WallNow();
  if (now < end + kCountingDelay) {
    return false;
  }
  return HasAllCounts(aWindow) || now >= end + kMissingCountsTimeout;
}

bool DutySystem::HasAllCounts(uint64_t aWindow) const
{
  const WallTime complete = world_.usage.WindowEnd(aWindow) + kCountingDelay;
  return std::ranges::all_of(world_.peers, [&](const auto& aItem) {
    return aItem.second.lastUsageAt >= complete;
  });
}

void DutySystem::StoreOwnUsage()
{
  const uint64_t current = world_.usage.WindowAt(world_.WallNow() - kCountingDelay);
  if (!world_.options.reportsUsage || current == 0 || lastStoredWindow_ >= current - 1) {
    return;
  }
  const bool isHolderAlive = std::ranges::any_of(world_.peers, [](const auto& aItem) {
    return aItem.second.isAlive && aItem.second.digest.dutyToken != 0;
  });
  if (isHolderAlive) {
    return; // digests carry the counts to the holder
  }
  lastStoredWindow_ = current - 1;
  const auto rows = world_.usage.RowsOf(world_.ProcessName(),
                                        current - std::min(current, kStoredWindows));
  if (std::ranges::find(rows, lastStoredWindow_, &UsageRow::window) == rows.end()) {
    return;
  }
  world_.Log(LogLevel::Info, "usage_stored", {},
             { { "window", std::to_string(lastStoredWindow_) },
               { "reason", "no live peer holds the duties" } });
  world_.Emit(WriteUsage{ EncodeUsage(rows) });
}

void DutySystem::RequestStoredUsage()
{
  const uint64_t window = state_.firstUnreported;
  const bool isDue =
    world_.WallNow() >= world_.usage.WindowEnd(window) + kStoredUsageDelay;
  if (!world_.options.reportsUsage || !isDue || lastRequestedWindow_ >= window ||
      HasAllCounts(window)) {
    return;
  }
  lastRequestedWindow_ = window;
  world_.Emit(ReadUsage{});
}

void DutySystem::Handle(const UsageRead& aEvent)
{
  size_t rows = 0;
  for (const std::string& text : aEvent.texts) {
    const auto counts = DecodeUsage(text);
    if (!counts) {
      world_.Log(LogLevel::Error, "usage_malformed", {},
                 { { "reason", counts.error().message } });
      continue;
    }
    rows += counts->size();
    world_.usage.Merge(*counts);
  }
  world_.Log(LogLevel::Info, "usage_collected", {},
             { { "daemons", std::to_string(aEvent.texts.size()) },
               { "rows", std::to_string(rows) },
               { "window", std::to_string(lastRequestedWindow_) } });
}

void DutySystem::FinalizeReports(DutyState& aState)
{
  if (!world_.options.reportsUsage) {
    return;
  }
  // After a long outage, or with a malformed state, only the last windows are reported.
  const uint64_t current = world_.usage.WindowAt(world_.WallNow());
  aState.firstUnreported =
    std::max(aState.firstUnreported, current - std::min(current, kMaxLateWindows));
  while (IsReportable(aState.firstUnreported)) {
    const uint64_t window = aState.firstUnreported;
    aState.reports.push_back({ .window = window, .counts = world_.usage.Totals(window) });
    aState.firstUnreported = window + 1;
  }
}

void DutySystem::SendReports()
{
  if (!HasValidLease()) {
    return;
  }
  for (const UsageReport& report : state_.reports) {
    if (deliveredWindows_.contains(report.window) ||
        pendingWindows_.contains(report.window)) {
      continue;
    }
    pendingWindows_.insert(report.window);
    uint64_t total = 0;
    for (const auto& [team, count] : report.counts) {
      total += count;
    }
    world_.counters.Add(EntryCounter::ReportsSent);
    world_.Log(LogLevel::Info, "usage_report", {},
               { { "window", std::to_string(report.window) },
                 { "calls", std::to_string(total) },
                 { "token", std::to_string(world_.dutyToken) } });
    world_.Emit(SendUsage{ world_.dutyToken, report });
  }
}

void DutySystem::Handle(const UsageSent& aEvent)
{
  pendingWindows_.erase(aEvent.window);
  if (aEvent.isAccepted) {
    deliveredWindows_.insert(aEvent.window);
  }
}

void DutySystem::Handle(const OrderSent& aEvent)
{
  autoscaler_.HandleResult(aEvent, state_.engineDemands);
}

} // namespace gooseberrypath::entry
