// Simulates several entry cores with one store and one cloud API in virtual time, under
// random faults: calls that are lost, late or executed without a response, daemons that
// are paused, killed or partitioned, and lost digests.
//
//   DutySimulation simulation(seed, true);
//   simulation.Run(std::chrono::seconds(60));
//   simulation.Violations();

#ifndef ENTRY_TESTING_DUTY_SIMULATION_H_
#define ENTRY_TESTING_DUTY_SIMULATION_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

/// A call that reached the cloud API.
struct CloudCall
{
  TimePoint at{};
  std::string host;
  uint64_t token = 0;
  std::optional<UsageReport> report;
};

class DutySimulation
{
public:
  static constexpr Duration kStep = std::chrono::milliseconds(20);
  static constexpr Duration kLease = std::chrono::seconds(3);

  /// If `aChecksOffset` is false, the store accepts each write, whatever was written in
  /// between. If `aGoesBack` is true, the store comes back from copies some seconds old.
  DutySimulation(uint64_t aSeed, bool aChecksOffset, int aHosts = 4,
                 bool aGoesBack = false)
    : random_(aSeed)
    , checksOffset_(aChecksOffset)
    , goesBack_(aGoesBack)
  {
    for (int i = 0; i < aHosts; ++i) {
      hosts_.push_back({ .name = "d" + std::to_string(i) });
      StartHost(hosts_.back());
    }
  }

  /// Runs with faults for this time, then without for ten seconds.
  void Run(Duration aTime)
  {
    for (const TimePoint end = now_ + aTime; now_ < end;) {
      MaybeInjectFault();
      Step();
    }
    for (Host& host : hosts_) {
      host.pausedUntil = {};
      host.partitionedUntil = {};
    }
    storeDownUntil_ = {};
    for (const TimePoint end = now_ + std::chrono::seconds(10); now_ < end;) {
      Step();
    }
  }

  const std::vector<CloudCall>& Calls() const { return calls_; }
  uint64_t StartedCalls() const { return startedCalls_; }

  /// Returns how often a guarantee of the lease was violated: a lower token, one token of
  /// two hosts, holders A, B, A within the lease, or two different reports for one
  /// window.
  int Violations() const
  {
    int count = 0;
    uint64_t highest = 0;
    std::map<uint64_t, std::string> hostOfToken;
    std::map<uint64_t, UsageReport> reports;
    for (size_t i = 0; i < calls_.size(); ++i) {
      const CloudCall& call = calls_[i];
      count += call.token < highest ? 1 : 0;
      highest = std::max(highest, call.token);
      count += hostOfToken.emplace(call.token, call.host).first->second != call.host;
      if (call.report) {
        const auto known = reports.emplace(call.report->window, *call.report).first;
        count += known->second != *call.report ? 1 : 0;
      }
      count += HoldersAlternate(i) ? 1 : 0;
    }
    return count;
  }

  /// Returns the number of calls in each window that was reported.
  std::map<uint64_t, uint64_t> ReportedTotals() const
  {
    std::map<uint64_t, uint64_t> totals;
    for (const CloudCall& call : calls_) {
      if (call.report) {
        uint64_t total = 0;
        for (const auto& [team, count] : call.report->counts) {
          total += count;
        }
        totals[call.report->window] = total;
      }
    }
    return totals;
  }

private:
  struct Host
  {
    std::string name;
    uint64_t incarnation = 0;
    std::unique_ptr<EntryCore> core;
    TimePoint pausedUntil{};
    TimePoint partitionedUntil{};
  };

  /// A delayed effect with its response.
  struct Pending
  {
    TimePoint at{};
    size_t host = 0;
    uint64_t incarnation = 0;
    std::function<void()> effect;  // at the store or the cloud API
    std::function<Event()> answer; // made after the effect; null: the response is lost
    uint64_t era = 0;              // that the response of the store names
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0, 1)(random_) < aShare;
  }

  Duration RandomDelay(int aFirstMs, int aLastMs)
  {
    return std::chrono::milliseconds(
      std::uniform_int_distribution<>(aFirstMs, aLastMs)(random_));
  }

  void StartHost(Host& aHost)
  {
    aHost.incarnation += 1;
    EntryOptions options{ .host = aHost.name,
                          .incarnation = aHost.incarnation,
                          .peerAddress = aHost.name,
                          .wallOffset = WallTime(1'000'000'000),
                          .seed = random_(),
                          .leaseDuration = kLease,
                          .reportsUsage = true };
    aHost.core = std::make_unique<EntryCore>(options, now_);
    aHost.core->Handle(
      ConfigurationRead{ std::make_shared<const Configuration>(TestConfiguration()) });
    aHost.core->Handle(
      FleetRead{ .changes = { EntryFixture::MakeBackendEntry("b1", "booking") },
                 .isSnapshot = true });
  }

  void MaybeInjectFault()
  {
    if (!Chance(0.01)) {
      return;
    }
    if (goesBack_ && Chance(0.3)) {
      GoBack();
      return;
    }
    Host& host = hosts_[random_() % hosts_.size()];
    switch (random_() % 5) {
      case 0:
        host.pausedUntil = now_ + RandomDelay(500, 8000);
        break;
      case 1:
        StartHost(host); // killed and restarted
        break;
      case 2:
        host.partitionedUntil = now_ + RandomDelay(500, 8000);
        break;
      case 3:
        storeDownUntil_ = now_ + RandomDelay(200, 6000);
        break;
      default:
        lossyUntil_ = now_ + RandomDelay(1000, 5000);
        break;
    }
  }

  /// Replaces the store's state by a copy, at times right before the holder or all hosts
  /// are killed.
  void GoBack()
  {
    const TimePoint copied = now_ - RandomDelay(0, 15000);
    while (!history_.empty() && history_.back().at > copied) {
      history_.pop_back();
    }
    const StoredVersion version = history_.empty() ? StoredVersion{} : history_.back();
    storedState_ = version.text;
    storeEnd_ = version.end;
    storeEra_ += 1;
    storeDownUntil_ = std::max(storeDownUntil_, now_ + RandomDelay(0, 5000));
    const uint64_t victims = random_() % 3;
    for (Host& host : hosts_) {
      const bool isHolder = host.core->GetWorld().dutyToken != 0;
      if (victims == 2 || (victims == 1 && isHolder)) {
        killAt_[host.name] = now_ + RandomDelay(0, 1000);
      }
    }
  }

  void KillDue()
  {
    for (Host& host : hosts_) {
      const auto due = killAt_.find(host.name);
      if (due != killAt_.end() && due->second <= now_) {
        killAt_.erase(due);
        StartHost(host);
      }
    }
  }

  void Step()
  {
    now_ += kStep;
    KillDue();
    for (size_t i = 0; i < pending_.size();) {
      if (pending_[i].at > now_) {
        ++i;
        continue;
      }
      const Pending one = std::move(pending_[i]);
      pending_.erase(pending_.begin() + static_cast<ptrdiff_t>(i));
      if (one.effect) {
        one.effect();
      }
      Host& host = hosts_[one.host];
      if (one.answer && host.incarnation == one.incarnation) {
        if (host.pausedUntil > now_) {
          pending_.push_back(
            { host.pausedUntil, one.host, one.incarnation, {}, one.answer, one.era });
        } else {
          if (one.era > host.core->GetWorld().storeEra) {
            Post(host, StoreEraRead{ one.era });
          }
          Post(host, one.answer());
        }
      }
    }
    for (Host& host : hosts_) {
      if (host.pausedUntil <= now_) {
        if (Chance(0.1)) {
          ServeCall(host);
        }
        host.core->Tick(now_);
        TakeActions(host);
      }
    }
  }

  void Post(Host& aHost, const Event& aEvent)
  {
    aHost.core->SetTime(now_);
    aHost.core->Handle(aEvent);
    aHost.core->Tick(now_);
    TakeActions(aHost);
  }

  /// Serves one call at the host from its arrival to its response.
  void ServeCall(Host& aHost)
  {
    const ExchangeId id{ ++lastExchange_ };
    Post(aHost, CallArrived{ id, Call{ .requestId = "r",
                                       .method = "GET",
                                       .target = "/pickups/1",
                                       .host = "h",
                                       .started = now_,
                                       .key = "k" } });
    if (lastAttempt_ == AttemptId{}) {
      return;
    }
    const AttemptId attempt = std::exchange(lastAttempt_, AttemptId{});
    Post(aHost, AttemptSent{ attempt });
    Post(aHost,
         AttemptAnswered{ attempt, { .status = 200, .hasResponseStamp = true }, "" });
    ++startedCalls_;
  }

  void TakeActions(Host& aHost)
  {
    for (const Action& action : aHost.core->TakeActions()) {
      std::visit([&](const auto& aOne) { Execute(aHost, aOne); }, action);
    }
  }

  template<typename A>
  void Execute(Host&, const A&)
  {
  }

  void Execute(Host&, const StartAttempt& aAction) { lastAttempt_ = aAction.attempt; }

  void Execute(Host& aHost, const SendDigest& aAction)
  {
    for (Host& other : hosts_) {
      const bool isLost =
        Chance(0.05) || aHost.partitionedUntil > now_ || other.partitionedUntil > now_;
      const bool isAddressed =
        aAction.to.end() != std::find(aAction.to.begin(), aAction.to.end(), other.name);
      if (&other != &aHost && !isLost && (isAddressed || aAction.digest.sequence <= 2)) {
        Schedule(other, RandomDelay(1, 60), {},
                 [digest = aAction.digest, from = aHost.name] {
                   return Event(DigestReceived{ from, digest });
                 });
      }
    }
  }

  void Execute(Host& aHost, const ReadDutyState&)
  {
    if (IsUnreachable(aHost)) {
      Schedule(aHost, RandomDelay(200, 1200), {}, [] { return Event(DutyStateRead{}); });
      return;
    }
    const auto read = std::make_shared<DutyStateRead>();
    Schedule(
      aHost, RandomDelay(2, 60),
      [this, read] {
        *read = {
          .isRead = true, .text = storedState_, .end = storeEnd_, .era = storeEra_
        };
      },
      [read] { return Event(*read); }, storeEra_);
  }

  void Execute(Host& aHost, const WriteDutyState& aAction)
  {
    if (IsUnreachable(aHost)) {
      Schedule(aHost, RandomDelay(200, 1200), {},
               [] { return Event(DutyStateWritten{}); });
      return;
    }
    const bool isLost = lossyUntil_ > now_ && Chance(0.3);
    const bool isLate = isLost && Chance(0.5);
    const auto outcome = std::make_shared<DutyStateWritten>();
    const auto write = [this, aAction, outcome] {
      const bool isWritten = !checksOffset_ || aAction.at == storeEnd_;
      const bool wentBack = aAction.era != storeEra_;
      if (isWritten) {
        storedState_ = aAction.text;
        ++storeEnd_;
        history_.push_back({ now_, storedState_, storeEnd_ });
      }
      *outcome = { .outcome = wentBack    ? WriteOutcome::Unknown
                              : isWritten ? WriteOutcome::Written
                                          : WriteOutcome::Conflict,
                   .end = storeEnd_ };
    };
    if (!isLost) {
      Schedule(
        aHost, RandomDelay(2, 100), write, [outcome] { return Event(*outcome); },
        storeEra_);
      return;
    }
    Schedule(aHost, isLate ? RandomDelay(1000, 6000) : RandomDelay(2, 100), write, {});
    Schedule(aHost, std::chrono::milliseconds(1200), {},
             [] { return Event(DutyStateWritten{}); });
  }

  void Execute(Host& aHost, const SendUsage& aAction)
  {
    if (aHost.partitionedUntil > now_) {
      Schedule(aHost, RandomDelay(200, 1200), {}, [aAction] {
        return Event(UsageSent{ aAction.report.window, false });
      });
      return;
    }
    const bool isAnswered = !Chance(0.1);
    Schedule(
      aHost, RandomDelay(2, 60),
      [this, aAction, host = aHost.name] {
        calls_.push_back({ now_, host, aAction.token, aAction.report });
      },
      [aAction, isAnswered] {
        return Event(UsageSent{ aAction.report.window, isAnswered });
      });
  }

  void Execute(Host& aHost, const NoteStoreEra&)
  {
    if (!IsUnreachable(aHost) && aHost.core->GetWorld().storeEra < storeEra_) {
      Schedule(aHost, RandomDelay(2, 60), {},
               [era = storeEra_] { return Event(StoreEraRead{ era }); });
    }
  }

  bool IsUnreachable(const Host& aHost) const
  {
    return aHost.partitionedUntil > now_ || storeDownUntil_ > now_;
  }

  void Schedule(const Host& aHost, Duration aDelay, std::function<void()> aEffect,
                std::function<Event()> aAnswer, uint64_t aEra = 0)
  {
    pending_.push_back({ now_ + aDelay, static_cast<size_t>(&aHost - hosts_.data()),
                         aHost.incarnation, std::move(aEffect), std::move(aAnswer),
                         aEra });
  }

  /// Tells whether the host of this call had acted within the lease before another host
  /// did.
  bool HoldersAlternate(size_t aIndex) const
  {
    const CloudCall& call = calls_[aIndex];
    bool hasOther = false;
    for (size_t i = aIndex; i-- > 0 && calls_[i].at + kLease > call.at;) {
      if (calls_[i].host != call.host) {
        hasOther = true;
      } else if (hasOther) {
        return true;
      }
    }
    return false;
  }

  std::mt19937_64 random_;
  const bool checksOffset_;
  const bool goesBack_;
  TimePoint now_{ std::chrono::seconds(100) };
  std::vector<Host> hosts_;
  std::vector<Pending> pending_;
  struct StoredVersion
  {
    TimePoint at{};
    std::string text;
    uint64_t end = 0;
  };
  std::vector<StoredVersion> history_;
  std::map<std::string, TimePoint> killAt_; // by host
  uint64_t storeEra_ = 1;
  std::string storedState_;
  uint64_t storeEnd_ = 0;
  TimePoint storeDownUntil_{};
  TimePoint lossyUntil_{};
  std::vector<CloudCall> calls_;
  AttemptId lastAttempt_;
  uint64_t lastExchange_ = 0;
  uint64_t startedCalls_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_DUTY_SIMULATION_H_
