// The way of one request through ClaimSystem: its own claim, or the question to the
// holder of another claim on the same key.

#include <algorithm>
#include <utility>

#include "gooseberrypath/action_key.h"
#include "gooseberrypath/claim_system.h"

namespace gooseberrypath {

namespace {

using namespace std::chrono_literals;

// Claims are remembered for this long after the key's window, because the clock that made
// a key with a time may be ahead of the log's clock.
constexpr Duration kClockMargin = 60s;
constexpr Duration kDefaultKeyWindow = std::chrono::hours(24);

int64_t ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

void ClaimSystem::Drive(RequestRow& aRow, Pending& aPending)
{
  if (aRow.callerGone) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the caller left before the action was dispatched");
    return;
  }
  if (!aPending.claim.empty()) {
    DriveOwn(aRow, aPending);
    if (!aPending.claim.empty() || aRow.stage != RequestStage::AwaitingClaim) {
      return;
    }
  }
  const ActionRow* action = world_.actions.Find({ aRow.service, aRow.key });
  if (action) {
    DriveOther(aRow, aPending, *action);
    return;
  }
  aPending.otherClaim.clear();
  aPending.abandonDue = TimePoint{};
  if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the deadline passed before the action was claimed");
  } else if (IsKeyExpired(aRow, table_.LatestMs())) {
    Refuse(aRow, aPending, ErrorKind::KeyExpired,
           "the key is older than the key window of its service");
  } else if (!IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "the log is not reachable");
  } else {
    MakeClaim(aRow, aPending);
  }
}

/// Waits until the request's own claim is admitted or lost.
void ClaimSystem::DriveOwn(RequestRow& aRow, Pending& aPending)
{
  if (own_.at(aPending.claim).state == Own::GaveUp) { // lost
    aPending.claim.clear();
    return;
  }
  if (world_.Now() >= aPending.claimDue) {
    GiveUp(aPending.claim);
    aPending.claim.clear();
    if (world_.Now() >= aRow.deadline) {
      Refuse(aRow, aPending, ErrorKind::QueueTimeout,
             "the deadline passed before the claim was admitted");
    } else if (IsLogUsable()) {
      Refuse(aRow, aPending, ErrorKind::LogUnavailable,
             "the log did not show the claim in time");
    } else {
      RefuseOrBypass(aRow, aPending, "the log became unreachable during the claim");
    }
    return;
  }
  const ActionRow* action = world_.actions.Find({ aRow.service, aRow.key });
  // Before the daemon has caught up, a record that it has not read yet may show that
  // another claim was admitted earlier.
  const bool isAdmitted = action && action->claim == aPending.claim && IsLogUsable();
  if (!isAdmitted) {
    if (world_.Now() >= aPending.appending->due && !aPending.appending->confirmed) {
      Append(aPending.appending);
    }
    return;
  }
  if (action->state != ActionRow::State::Claimed) {
    GiveUp(aPending.claim);
    aPending.claim.clear();
    return;
  }
  if (IsKeyExpired(aRow, action->claimedMs)) {
    Refuse(aRow, aPending, ErrorKind::KeyExpired,
           "the key is older than the key window of its service");
    return;
  }
  world_.counters.Add(Counter::ClaimsAdmitted);
  own_.at(aPending.claim).state = Own::Ready;
  aRow.claim = std::exchange(aPending.claim, {});
  aRow.claimOffset = action->claimOffset;
  aRow.stage = RequestStage::Ready;
  Finish(aRow, aPending, "admitted");
}

/// Decides on a request whose key has a row that is not its own claim.
void ClaimSystem::DriveOther(RequestRow& aRow, Pending& aPending,
                             const ActionRow& aAction)
{
  if (aAction.bodyHash !=
      HashAction(aRow.caller.method, aRow.caller.target, aRow.caller.body)) {
    Refuse(aRow, aPending, ErrorKind::KeyReused, "the key was used with another request");
    return;
  }
  switch (aAction.state) {
    case ActionRow::State::Done:
      world_.counters.Add(Counter::OutcomesReplayed);
      aRow.decision = aAction.answer;
      aRow.stage = RequestStage::Decided;
      Finish(aRow, aPending, "recorded answer");
      return;
    case ActionRow::State::Unknown:
      Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
             "an earlier attempt with this key may have run");
      return;
    case ActionRow::State::Claimed:
      break;
  }
  if (Deduplicates(aRow.service) && !IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "the log is not reachable");
    return;
  }
  if (aPending.otherClaim != aAction.claim) {
    aPending.otherClaim = aAction.claim;
    aPending.question = QuestionId{};
    aPending.askDue = TimePoint{};
    aPending.word.reset();
    aPending.abandonDue = TimePoint{};
  }
  const CoreOptions& options = world_.options;
  if (aAction.holder == options.daemon &&
      aAction.holderIncarnation == options.incarnation) {
    DriveAsked(aRow, aPending, aAction, WordOf(aAction.claim));
    return;
  }
  if (aAction.holder == options.daemon &&
      aAction.holderIncarnation < options.incarnation) {
    Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
           "the daemon was restarted while the action may have run");
    return;
  }
  if (aPending.question != QuestionId{} && world_.Now() >= aPending.askDue) {
    aPending.question = QuestionId{};
    aPending.word = ClaimWord::Unreachable;
  } else if (aPending.question == QuestionId{} && aPending.word != ClaimWord::GaveUp &&
             aPending.word != ClaimWord::Unreachable &&
             aPending.word != ClaimWord::NotHeld && world_.Now() >= aPending.askDue &&
             world_.Now() < aRow.deadline) {
    aPending.question = world_.NewId<QuestionId>();
    aPending.askDue = world_.Now() + kAskInterval;
    world_.Emit(AskClaim{ .question = aPending.question,
                          .address = aAction.holderAddress,
                          .claim = aAction.claim });
  }
  if (aPending.word) {
    DriveAsked(aRow, aPending, aAction, *aPending.word);
  } else if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
           "the daemon that holds the claim did not answer before the deadline");
  }
}

/// Decides by what the holder of the key's claim says.
void ClaimSystem::DriveAsked(RequestRow& aRow, Pending& aPending,
                             const ActionRow& aAction, ClaimWord aWord)
{
  switch (aWord) {
    case ClaimWord::Running:
      if (world_.Now() >= aRow.deadline) {
        Refuse(aRow, aPending, ErrorKind::ActionInProgress,
               "the action with this key is running");
      }
      return;
    case ClaimWord::NotHeld:
    case ClaimWord::Unreachable:
      Refuse(aRow, aPending, ErrorKind::OutcomeUnknown,
             aWord == ClaimWord::NotHeld
               ? "the daemon that claimed the action was restarted"
               : "the daemon that claimed the action is not reachable");
      return;
    case ClaimWord::GaveUp:
      break;
  }
  // The claim never ran. After its abandon record, this request claims the key itself.
  if (aPending.abandonDue == TimePoint{}) {
    aPending.abandonDue =
      std::min(world_.Now() + world_.options.claimTimeout, aRow.deadline);
  }
  if (world_.Now() >= aRow.deadline) {
    Refuse(aRow, aPending, ErrorKind::QueueTimeout,
           "the deadline passed before the action was claimed");
  } else if (world_.Now() >= aPending.abandonDue || !IsLogUsable()) {
    RefuseOrBypass(aRow, aPending, "an earlier claim cannot be abandoned");
  } else if (!endings_.contains(aAction.claim)) {
    BeginEnd({ .action = { aRow.service, aRow.key },
               .claim = aAction.claim,
               .how = ClaimEnd::How::Abandoned,
               .answer = {} });
  }
}

void ClaimSystem::MakeClaim(RequestRow& aRow, Pending& aPending)
{
  constexpr size_t kClaimDigits = 32;
  aPending.claim = world_.RandomHex(kClaimDigits);
  own_.emplace(aPending.claim, OwnClaim{ .action = { aRow.service, aRow.key } });
  aPending.claimDue = std::min(world_.Now() + world_.options.claimTimeout, aRow.deadline);
  aPending.appending = std::make_shared<Appending>();
  aPending.appending->data = EncodeRecord(ClaimRecord{
    .service = aRow.service,
    .key = aRow.key,
    .bodyHash = HashAction(aRow.caller.method, aRow.caller.target, aRow.caller.body),
    .claim = aPending.claim,
    .daemon = world_.options.daemon,
    .incarnation = world_.options.incarnation,
    .peerAddress = world_.options.peerAddress,
    .windowMs = ToMs(KeyWindow(aRow.service) + kClockMargin),
    .asOf = world_.streams[std::string(kActionStream)].next });
  world_.counters.Add(Counter::ClaimsAppended);
  Append(aPending.appending);
}

/// Refuses the request because of the log, or passes it on without a claim if the
/// service's backends deduplicate by key.
void ClaimSystem::RefuseOrBypass(RequestRow& aRow, Pending& aPending,
                                 std::string_view aReason)
{
  if (!IsLogUsable() && Deduplicates(aRow.service)) {
    aRow.stage = RequestStage::Ready;
    Finish(aRow, aPending, "no claim, the service deduplicates");
  } else {
    Refuse(aRow, aPending, ErrorKind::LogUnavailable, std::string(aReason));
  }
}

void ClaimSystem::Refuse(RequestRow& aRow, Pending& aPending, ErrorKind aKind,
                         std::string aMessage)
{
  GiveUp(aPending.claim);
  aPending.claim.clear();
  if (aKind == ErrorKind::OutcomeUnknown) {
    world_.counters.Add(Counter::OutcomesUnknown);
  }
  aRow.decision = Error{ .kind = aKind, .message = std::move(aMessage) };
  aRow.stage = RequestStage::Decided;
  Finish(aRow, aPending, InfoOf(aKind).name);
}

void ClaimSystem::Finish(RequestRow& aRow, Pending& aPending, std::string_view aNote)
{
  constexpr size_t kSpanDigits = 16;
  world_.Emit(WriteSpan{ .trace = aRow.trace,
                         .span = world_.RandomHex(kSpanDigits),
                         .parent = aRow.span,
                         .name = "claim",
                         .request = aRow.publicId,
                         .attempt = {},
                         .note = std::string(aNote),
                         .start = aPending.started,
                         .end = world_.Now() });
}

/// Marks a claim that was not dispatched as given up. From here on it is never
/// dispatched.
void ClaimSystem::GiveUp(const std::string& aClaim)
{
  const auto own = own_.find(aClaim);
  if (own != own_.end() && own->second.state == Own::Pending) {
    own->second.state = Own::GaveUp;
    world_.counters.Add(Counter::ClaimsGivenUp);
    AbandonIfAdmitted(aClaim);
  }
}

/// Returns what this daemon tells about a claim.
ClaimWord ClaimSystem::WordOf(std::string_view aClaim) const
{
  const auto own = own_.find(aClaim);
  if (own == own_.end()) {
    return ClaimWord::NotHeld;
  }
  return own->second.state == Own::GaveUp ? ClaimWord::GaveUp : ClaimWord::Running;
}

bool ClaimSystem::Deduplicates(std::string_view aService) const
{
  const auto found = world_.resources.find({ "service", std::string(aService) });
  const auto* spec = found == world_.resources.end()
                       ? nullptr
                       : std::get_if<ServiceSpec>(&found->second.spec);
  return spec && spec->deduplicates;
}

Duration ClaimSystem::KeyWindow(std::string_view aService) const
{
  const auto found = world_.resources.find({ "service", std::string(aService) });
  const auto* spec = found == world_.resources.end()
                       ? nullptr
                       : std::get_if<ServiceSpec>(&found->second.spec);
  return spec && spec->keyWindow > Duration::zero() ? spec->keyWindow : kDefaultKeyWindow;
}

bool ClaimSystem::IsKeyExpired(const RequestRow& aRow, int64_t aLogMs) const
{
  const std::optional<int64_t> createdMs = TimeOfUuidV7(aRow.key);
  return createdMs && *createdMs + ToMs(KeyWindow(aRow.service)) <= aLogMs;
}

} // namespace gooseberrypath
