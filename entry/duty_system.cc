#include "entry/duty_system.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCheckInterval = FleetAutoscaler::kInterval;
constexpr Duration kRenewInterval = milliseconds(1000);

// The holder stops acting this long before its lease ends: a call that it begins then
// still reaches the platform in time.
constexpr Duration kActMargin = milliseconds(700);

// Others wait this long beyond the lease, for clocks that do not run evenly.
constexpr Duration kTakeMargin = milliseconds(300);

// Without a sign of the holder for this time, the store is asked.
constexpr Duration kSilence = milliseconds(1300);
constexpr Duration kReadInterval = milliseconds(600);

// Each daemon that takes free duties before this one delays that question by this time:
// in a large deployment the first few ask, and one of them takes the duties.
constexpr Duration kReadStagger = milliseconds(200);

// A holder that hears less than half of the daemons for this time is cut off from them:
// it knows neither their counts nor their load, and lets another daemon take the duties.
constexpr Duration kIsolatedTime = milliseconds(1500);

// A daemon that is cut off itself leaves a free duty to the others for this time.
constexpr Duration kIsolatedDelay = milliseconds(4000);

// When the duty is free, daemons try one after the other, so that writes rarely collide.
constexpr Duration kTakeStagger = milliseconds(300);

// Calls of a window are counted with their first event, which may come this long after
// its end. Counts that a daemon tells later hold all of the window.
constexpr WallTime kSettleTime{ 1600 };

// Without the counts of a daemon, a report waits until this long after the window's end.
// It is late after 10 s; the rest is for a slow store and a slow cloud API.
constexpr WallTime kLatestReport{ 6000 };

// A daemon that hears no holder leaves its counts in the store; the holder asks for them
// this long after a window's end, if counts are still missing.
constexpr WallTime kStoredUsageTime{ 3500 };
constexpr uint64_t kStoredWindows = 4;

// Windows for which a report is decided, before the current one. Older ones are of no use
// to the platform, and a state that names a very old one must not lead to a report for
// each window since then.
constexpr uint64_t kMaxLateWindows = 24;

} // namespace

void DutySystem::Start()
{
  if (world_.options.reportsUsage || world_.options.ordersBackends) {
    world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { Check(); });
  }
}

bool DutySystem::IsHolder() const
{
  return world_.dutyToken != 0;
}

bool DutySystem::MayAct() const
{
  return IsHolder() && world_.Now() < leaseUntil_;
}

void DutySystem::Check()
{
  if (world_.stoppingSince) {
    if (IsHolder()) {
      Release();
    }
    return;
  }
  NoteIsolation();
  if (IsHolder()) {
    const bool isCutOff =
      isolatedSince_ && world_.Now() - *isolatedSince_ >= kIsolatedTime;
    if (isCutOff && !keepsIsolated_) {
      Release();
    } else if (world_.Now() >= renewAt_) {
      Renew();
    }
    AskForStoredUsage();
    SendReports();
    if (MayAct()) {
      orders_.Send(known_.engineDemands);
    }
    return;
  }
  StoreOwnUsage();
  const Duration silence = kSilence + kReadStagger * CandidatesBefore();
  const bool isDue = world_.Now() - lastSign_ >= silence || !hasRead_;
  if (world_.configuration && isDue && world_.Now() - lastRead_ >= kReadInterval) {
    Read();
  }
}

void DutySystem::NoteIsolation()
{
  size_t known = 0;
  size_t heard = 0;
  for (const auto& [host, peer] : world_.peers) {
    known += 1;
    heard += peer.isAlive ? 1 : 0;
  }
  // With a single other daemon, its end and a cut look the same.
  const bool isIsolated = known >= 2 && 2 * heard < known;
  if (!isIsolated) {
    isolatedSince_.reset();
    keepsIsolated_ = false;
  } else if (!isolatedSince_) {
    isolatedSince_ = world_.Now();
  }
}

void DutySystem::Read()
{
  if (!isReading_) {
    isReading_ = true;
    lastRead_ = world_.Now();
    world_.Emit(ReadDutyState{});
  }
}

void DutySystem::Handle(const DigestReceived& aEvent)
{
  const PeerDigest& digest = aEvent.digest;
  if (digest.dutyToken == 0 || IsHolder()) {
    return;
  }
  const auto heard = std::pair(digest.dutyToken, digest.dutyRenewal);
  const auto known = std::pair(known_.token, known_.renewal);
  if (heard >= known) {
    known_.holder = digest.daemon;
    known_.token = digest.dutyToken;
    known_.renewal = digest.dutyRenewal;
    lastSign_ = world_.Now();
  }
}

void DutySystem::Handle(const DutyStateRead& aEvent)
{
  isReading_ = false;
  if (!aEvent.isRead) {
    end_.reset();
    world_.Log(LogLevel::Warning, "duty_state_unread", {},
               { { "reason", aEvent.reason } });
    return;
  }
  const auto state = DecodeDutyState(aEvent.text);
  if (!state) {
    world_.Log(LogLevel::Error, "duty_state_malformed", {},
               { { "reason", state.error().message } });
    return;
  }
  end_ = aEvent.end;
  const bool isNews = !hasRead_ || std::pair(state->token, state->renewal) !=
                                     std::pair(known_.token, known_.renewal);
  if (isNews) {
    lastSign_ = world_.Now();
  }
  known_ = *state;
  hasRead_ = true;
  world_.usage.Merge(known_.counts);
  if (IsHolder()) {
    const bool isStillOwn = known_.holder == world_.options.host &&
                            known_.incarnation == world_.options.incarnation;
    if (!isStillOwn) {
      Lose("another daemon took the duties");
    }
    return;
  }
  if (!world_.stoppingSince && !writing_ && MayTake(known_)) {
    Take();
  }
}

bool DutySystem::MayTake(const DutyState& aState) const
{
  const Duration uptime = world_.Now() - world_.started;
  const Duration wait = world_.options.leaseDuration + kTakeMargin;
  if (aState.token == 0) {
    return uptime >= TakeDelay();
  }
  if (aState.holder == world_.options.host) {
    return true; // an earlier process of this host, which has ended
  }
  if (aState.holder.empty()) {
    // A daemon that held the duty just before would let holders alternate too fast.
    const bool wasHolder = lastHeld_ != TimePoint{} && world_.Now() - lastHeld_ < wait;
    return !wasHolder && uptime >= wait && world_.Now() - lastSign_ >= TakeDelay();
  }
  return world_.Now() - lastSign_ >= wait + TakeDelay();
}

int64_t DutySystem::CandidatesBefore() const
{
  return std::ranges::count_if(world_.peers, [&](const auto& aItem) {
    const auto& [host, peer] = aItem;
    const bool canTake =
      peer.isAlive && peer.digest.canReachStore && !peer.digest.isStopping;
    return canTake && host < world_.options.host;
  });
}

Duration DutySystem::TakeDelay() const
{
  const Duration delay = isolatedSince_ ? kIsolatedDelay : Duration{};
  return delay + kTakeStagger * std::min<int64_t>(CandidatesBefore(), 3);
}

void DutySystem::WriteNext(DutyState aNext, uint64_t aEnd)
{
  aNext.renewal += 1;
  aNext.counts = world_.usage.Rows(aNext.firstUnreported);
  writing_ = Write{ .state = std::move(aNext), .began = world_.Now() };
  world_.Emit(WriteDutyState{ EncodeDutyState(writing_->state), aEnd });
}

void DutySystem::Take()
{
  DutyState next = known_;
  next.holder = world_.options.host;
  next.incarnation = world_.options.incarnation;
  next.token += 1;
  if (next.firstUnreported == 0) {
    next.firstUnreported = world_.usage.WindowAt(world_.WallNow());
  }
  WriteNext(std::move(next), *end_);
}

void DutySystem::Renew()
{
  if (writing_) {
    return;
  }
  if (!end_) {
    if (world_.Now() - lastRead_ >= kReadInterval) {
      Read();
    }
    return;
  }
  renewAt_ = world_.Now() + kRenewInterval;
  DutyState next = known_;
  std::erase_if(next.reports, [&](const UsageReport& aReport) {
    return delivered_.contains(aReport.window);
  });
  DecideReports(next);
  WriteNext(std::move(next), *end_);
}

void DutySystem::Release()
{
  if (writing_ || !end_) {
    return;
  }
  DutyState next = known_;
  next.holder.clear();
  WriteNext(std::move(next), *end_);
}

void DutySystem::Handle(const DutyStateWritten& aEvent)
{
  if (!writing_) {
    return;
  }
  const Write write = *std::move(writing_);
  writing_.reset();
  if (aEvent.outcome != WriteOutcome::Written) {
    world_.Log(LogLevel::Warning, "duty_state_unwritten", {},
               { { "reason", aEvent.reason },
                 { "token", std::to_string(write.state.token) },
                 { "renewal", std::to_string(write.state.renewal) } });
    // The write may still take effect, or another one came first: only the store knows.
    end_.reset();
    lastRead_ = {};
    if (!world_.stoppingSince) {
      Read();
    }
    return;
  }
  known_ = write.state;
  end_ = aEvent.end;
  lastSign_ = world_.Now();
  if (known_.holder.empty()) {
    Lose(world_.stoppingSince ? "the daemon stops" : "most other daemons are not heard");
    return;
  }
  leaseUntil_ = write.began + world_.options.leaseDuration - kActMargin;
  lastHeld_ = world_.Now();
  if (!IsHolder()) {
    renewAt_ = world_.Now() + kRenewInterval;
    delivered_.clear();
    sending_.clear();
    orders_.Forget();
    keepsIsolated_ = isolatedSince_.has_value(); // nobody else took them
    world_.counters.Add(EntryCounter::DutiesTaken);
    world_.Log(LogLevel::Info, "duties_taken", {},
               { { "token", std::to_string(known_.token) },
                 { "renewal", std::to_string(known_.renewal) } });
  }
  world_.dutyToken = known_.token;
  world_.dutyRenewal = known_.renewal;
  world_.isDigestDue = true;
  world_.usage.DropBefore(known_.firstUnreported);
  SendReports();
}

void DutySystem::Lose(const std::string& aReason)
{
  world_.Log(LogLevel::Info, "duties_lost", {},
             { { "token", std::to_string(world_.dutyToken) },
               { "holder", known_.holder },
               { "reason", aReason } });
  world_.counters.Add(EntryCounter::DutiesLost);
  world_.dutyToken = 0;
  world_.dutyRenewal = 0;
  world_.isDigestDue = true;
}

bool DutySystem::IsSettled(uint64_t aWindow) const
{
  const WallTime end = world_.usage.WindowEnd(aWindow);
  const WallTime now = world_.WallNow();
  if (now < end + kSettleTime) {
    return false;
  }
  return IsTold(aWindow) || now >= end + kLatestReport;
}

bool DutySystem::IsTold(uint64_t aWindow) const
{
  const WallTime complete = world_.usage.WindowEnd(aWindow) + kSettleTime;
  return std::ranges::all_of(world_.peers, [&](const auto& aItem) {
    return aItem.second.lastUsageAt >= complete;
  });
}

void DutySystem::StoreOwnUsage()
{
  const uint64_t current = world_.usage.WindowAt(world_.WallNow() - kSettleTime);
  if (!world_.options.reportsUsage || current == 0 || storedWindow_ >= current - 1) {
    return;
  }
  const bool isHolderHeard = std::ranges::any_of(world_.peers, [](const auto& aItem) {
    return aItem.second.isAlive && aItem.second.digest.dutyToken != 0;
  });
  if (isHolderHeard) {
    return; // digests bring the counts to the holder
  }
  storedWindow_ = current - 1;
  const auto rows = world_.usage.RowsOf(world_.ProcessName(),
                                        current - std::min(current, kStoredWindows));
  if (std::ranges::find(rows, storedWindow_, &UsageRow::window) == rows.end()) {
    return;
  }
  world_.Log(LogLevel::Info, "usage_stored", {},
             { { "window", std::to_string(storedWindow_) },
               { "reason", "no holder of the duties is heard" } });
  world_.Emit(WriteUsage{ EncodeUsage(rows) });
}

void DutySystem::AskForStoredUsage()
{
  const uint64_t window = known_.firstUnreported;
  const bool isDue =
    world_.WallNow() >= world_.usage.WindowEnd(window) + kStoredUsageTime;
  if (!world_.options.reportsUsage || !isDue || askedWindow_ >= window ||
      IsTold(window)) {
    return;
  }
  askedWindow_ = window;
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
               { "window", std::to_string(askedWindow_) } });
}

void DutySystem::DecideReports(DutyState& aState)
{
  if (!world_.options.reportsUsage) {
    return;
  }
  // After a long outage, or with a malformed state, only the last windows are decided.
  const uint64_t current = world_.usage.WindowAt(world_.WallNow());
  aState.firstUnreported =
    std::max(aState.firstUnreported, current - std::min(current, kMaxLateWindows));
  while (IsSettled(aState.firstUnreported)) {
    const uint64_t window = aState.firstUnreported;
    aState.reports.push_back({ .window = window, .counts = world_.usage.Totals(window) });
    aState.firstUnreported = window + 1;
  }
}

void DutySystem::SendReports()
{
  if (!MayAct()) {
    return;
  }
  for (const UsageReport& report : known_.reports) {
    if (delivered_.contains(report.window) || sending_.contains(report.window)) {
      continue;
    }
    sending_.insert(report.window);
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
  sending_.erase(aEvent.window);
  if (aEvent.isAccepted) {
    delivered_.insert(aEvent.window);
  }
}

void DutySystem::Handle(const OrderSent& aEvent)
{
  orders_.NoteSent(aEvent, known_.engineDemands);
}

} // namespace gooseberrypath::entry
