// Runs non-idempotent actions at most once, by claims in the log.
//
// A request in stage AwaitingClaim leaves it as Ready, with its own admitted claim or,
// for a service that deduplicates, without one, or as Decided with an error or the
// recorded answer. DispatchSystem reports the end of each claim through World::claimEnds.
// The members are defined in claim_system.cc (events and ticks), claim_requests.cc and
// claim_appends.cc.

#ifndef GOOSEBERRYPATH_CLAIM_SYSTEM_H_
#define GOOSEBERRYPATH_CLAIM_SYSTEM_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrypath/action_key.h"
#include "gooseberrypath/claim_table.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Runs non-idempotent actions at most once, by claims in the log.
class ClaimSystem
{
public:
  explicit ClaimSystem(World& aWorld)
    : world_(aWorld)
    , table_(aWorld.actions)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start();

  /// Runs over the tables once per tick.
  void Run();

  void Handle(const LogBatch& aBatch);
  void Handle(const LogReadFailed& aEvent);
  void Handle(const AppendDone& aEvent);
  void Handle(const AppendFailed& aEvent);
  void Handle(const CallerGone& aEvent);
  void Handle(const ClaimAsked& aEvent);
  void Handle(const ClaimAnswered& aEvent);

private:
  /// An asked holder is asked again after this time; without an answer for this time it
  /// counts as unreachable.
  static constexpr Duration kAskInterval = std::chrono::seconds(1);

  /// What this daemon remembers of a claim that it made.
  enum class Own : uint8_t
  {
    Pending, // may become ready
    Ready,   // passed on to dispatch, running or finished
    GaveUp,  // not dispatched and never will be
  };

  struct OwnClaim
  {
    ActionId action;
    Own state = Own::Pending;
  };

  /// A record that is appended until the log confirms it or it is read.
  struct Appending
  {
    std::string data;
    AppendId newest{}; // 0: not appended yet
    TimePoint due{};   // of the next append
    uint32_t tries = 0;
    bool confirmed = false;
  };

  /// The work for a request in stage AwaitingClaim.
  struct Pending
  {
    TimePoint started;
    std::string claim; // outstanding claim; empty: none
    std::shared_ptr<Appending> appending;
    TimePoint claimDue{};   // the claim is given up then
    std::string otherClaim; // claim of another holder that was asked about
    QuestionId question{};  // 0: not waiting for an answer
    TimePoint askDue{};     // next question, or end of the wait for an answer
    std::optional<ClaimWord> word;
    TimePoint abandonDue{}; // end of the wait for an abandon record
  };

  /// The end of a claim that is being recorded.
  struct Ending
  {
    ClaimEnd end;
    std::shared_ptr<Appending> appending;
  };

  void Apply(const LogEntry& aEntry);
  void FindCarries(Offset aStart, Offset aHead);
  void RunEnds();
  void RunCarries();
  void AbandonIfAdmitted(const std::string& aClaim);
  void Trim();
  void Schedule();

  void Drive(RequestRow& aRow, Pending& aPending);
  void DriveOwn(RequestRow& aRow, Pending& aPending);
  void DriveOther(RequestRow& aRow, Pending& aPending, const ActionRow& aAction);
  void DriveAsked(RequestRow& aRow, Pending& aPending, const ActionRow& aAction,
                  ClaimWord aWord);
  void MakeClaim(RequestRow& aRow, Pending& aPending);
  void RefuseOrBypass(RequestRow& aRow, Pending& aPending, std::string_view aReason);
  void GiveUp(const std::string& aClaim);
  void BeginEnd(ClaimEnd aEnd);
  void Append(const std::shared_ptr<Appending>& aAppending);
  ClaimWord WordOf(std::string_view aClaim) const;

  void Refuse(RequestRow& aRow, Pending& aPending, ErrorKind aKind, std::string aMessage);
  void Finish(RequestRow& aRow, Pending& aPending, std::string_view aNote);

  bool IsLogUsable() const;
  bool Deduplicates(std::string_view aService) const;
  Duration KeyWindow(std::string_view aService) const;
  bool IsKeyExpired(const RequestRow& aRow, int64_t aLogMs) const;

  World& world_;
  ClaimTable table_;
  std::map<std::string, OwnClaim, std::less<>> own_; // by claim id
  std::map<RequestId, Pending> pending_;
  std::map<AppendId, std::weak_ptr<Appending>> appends_; // sent, not answered
  std::map<std::string, Ending> endings_;                // by claim id
  std::map<ActionId, TimePoint> carryDue_; // actions to be carried past retention
  Offset carryBefore_ = 0;                 // rows before this offset are to be carried
  bool contacted_ = false;                 // a batch arrived since the last tick
  bool readFailed_ = false;                // reported; reset by the next batch
  std::optional<TimePoint> wakeAt_;
  TimerId wake_{};
};

/// What is known about an action, for the callers' outcome query.
struct ActionView
{
  std::string_view state;         // "none", "claimed", "done" or "unknown"
  const ActionRow* row = nullptr; // null in state "none"
};

/// Looks up an action in the claim table.
ActionView FindAction(const World& aWorld, const std::string& aService,
                      const std::string& aKey);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLAIM_SYSTEM_H_
