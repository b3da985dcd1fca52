#include "gooseberrypath/claim_table.h"

#include <algorithm>
#include <optional>
#include <type_traits>

namespace gooseberrypath {

namespace {

// Abandons are needed only to reject a carry record that its writer sent before it read
// the abandon. An append is not delayed for longer than this.
constexpr int64_t kAbandonMemoryMs = 86'400'000;

ActionRow MakeRow(const ClaimRecord& aClaim, Offset aClaimOffset, int64_t aClaimedMs)
{
  return { .claim = aClaim.claim,
           .bodyHash = aClaim.bodyHash,
           .holder = aClaim.daemon,
           .holderIncarnation = aClaim.incarnation,
           .holderAddress = aClaim.peerAddress,
           .offset = aClaim.asOf,
           .claimOffset = aClaimOffset,
           .claimedMs = aClaimedMs,
           .windowMs = aClaim.windowMs,
           .answer = {} };
}

/// Stores an outcome. A known outcome replaces an unknown one; nothing replaces a known
/// one.
void SetOutcome(ActionRow& aRow, const OutcomeRecord& aOutcome)
{
  if (aRow.state == ActionRow::State::Done) {
    return;
  }
  if (!aOutcome.isKnown) {
    aRow.state = ActionRow::State::Unknown;
    return;
  }
  aRow.state = ActionRow::State::Done;
  aRow.answer = { aOutcome.status, aOutcome.headers, aOutcome.body };
}

ActionRow::State StateOf(const CarryRecord& aCarry)
{
  if (!aCarry.hasOutcome) {
    return ActionRow::State::Claimed;
  }
  return aCarry.outcome.isKnown ? ActionRow::State::Done : ActionRow::State::Unknown;
}

/// Orders the states by what is known.
int RankOf(ActionRow::State aState)
{
  switch (aState) {
    case ActionRow::State::Claimed:
      return 0;
    case ActionRow::State::Unknown:
      return 1;
    case ActionRow::State::Done:
      break;
  }
  return 2;
}

} // namespace

void ClaimTable::Reset(Offset aFirst)
{
  rows_.Clear();
  byOffset_.clear();
  byExpiry_.clear();
  ambiguous_.clear();
  abandons_.clear();
  abandonsByTime_.clear();
  first_ = aFirst;
}

void ClaimTable::Apply(Offset aOffset, int64_t aTimeMs, const Record& aRecord)
{
  // The log's clock may step back; the table's time does not.
  latestMs_ = std::max(latestMs_, aTimeMs);
  Expire();
  std::visit(
    [&](const auto& aOne) {
      using One = std::decay_t<decltype(aOne)>;
      if constexpr (std::is_same_v<One, ClaimRecord> ||
                    std::is_same_v<One, OutcomeRecord> ||
                    std::is_same_v<One, AbandonRecord> ||
                    std::is_same_v<One, CarryRecord>) {
        ApplyOne(aOffset, aOne);
      }
    },
    aRecord);
}

std::vector<ActionId> ClaimTable::FindBefore(Offset aOffset) const
{
  std::vector<ActionId> found;
  for (const auto& [offset, id] : byOffset_) {
    if (offset >= aOffset) {
      break;
    }
    found.push_back(id);
  }
  return found;
}

void ClaimTable::Drop(const ActionId& aId)
{
  const ActionRow* row = rows_.Find(aId);
  if (row) {
    byOffset_.erase({ row->offset, aId });
    byExpiry_.erase({ row->claimedMs + row->windowMs, aId });
    rows_.Erase(aId);
    ambiguous_.erase(aId);
  }
}

void ClaimTable::Put(const ActionId& aId, ActionRow aRow)
{
  Drop(aId);
  byOffset_.emplace(aRow.offset, aId);
  byExpiry_.emplace(aRow.claimedMs + aRow.windowMs, aId);
  rows_.Insert(aId, std::move(aRow));
}

void ClaimTable::Expire()
{
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= latestMs_) {
    const ActionId id = byExpiry_.begin()->second;
    Drop(id);
  }
  while (!abandonsByTime_.empty() &&
         abandonsByTime_.begin()->first + kAbandonMemoryMs <= latestMs_) {
    abandons_.erase(abandonsByTime_.begin()->second);
    abandonsByTime_.erase(abandonsByTime_.begin());
  }
}

void ClaimTable::ApplyOne(Offset aOffset, const ClaimRecord& aRecord)
{
  const ActionId id(aRecord.service, aRecord.key);
  const bool isExact = IsExact(aRecord.asOf);
  const auto ambiguous = ambiguous_.find(id);
  if (aRecord.windowMs <= 0 || (rows_.Find(id) && ambiguous == ambiguous_.end())) {
    return;
  }
  if (ambiguous != ambiguous_.end() && (!isExact || aRecord.asOf <= ambiguous->second)) {
    ambiguous->second = aOffset;
    return;
  }
  // The claim's writer knew that no claim in doubt was in force.
  ActionRow row = MakeRow(aRecord, aOffset, latestMs_);
  if (!isExact) {
    row.state = ActionRow::State::Unknown;
  }
  Put(id, std::move(row));
  if (!isExact) {
    ambiguous_.emplace(id, aOffset);
  }
}

void ClaimTable::ApplyOne(Offset /*aOffset*/, const OutcomeRecord& aRecord)
{
  const ActionId id(aRecord.service, aRecord.key);
  ActionRow* row = rows_.Find(id);
  if (row && row->claim == aRecord.claim) {
    SetOutcome(*row, aRecord);
    ambiguous_.erase(id);
  }
}

void ClaimTable::ApplyOne(Offset aOffset, const AbandonRecord& aRecord)
{
  if (abandons_.insert_or_assign(aRecord.claim, aOffset).second) {
    abandonsByTime_.emplace(latestMs_, aRecord.claim);
  }
  const ActionId id(aRecord.service, aRecord.key);
  const ActionRow* row = rows_.Find(id);
  if (row && row->claim == aRecord.claim && row->state == ActionRow::State::Claimed) {
    Drop(id);
  }
}

void ClaimTable::ApplyOne(Offset /*aOffset*/, const CarryRecord& aRecord)
{
  const ActionId id(aRecord.claim.service, aRecord.claim.key);
  if (aRecord.claimedMs + aRecord.claim.windowMs <= latestMs_) {
    return;
  }
  const auto abandon = abandons_.find(aRecord.claim.claim);
  if (!aRecord.hasOutcome && abandon != abandons_.end() &&
      abandon->second >= aRecord.asOf) {
    return; // the writer had not read the abandon
  }
  const ActionRow* row = rows_.Find(id);
  // An outcome is final: its claim was admitted, and it is never abandoned.
  const bool isExact = aRecord.hasOutcome || IsExact(aRecord.asOf);
  if (row && row->claim == aRecord.claim.claim && !(isExact && ambiguous_.contains(id))) {
    Merge(id, *row, aRecord);
    return;
  }
  const auto ambiguous = ambiguous_.find(id);
  if (row && !isExact && ambiguous == ambiguous_.end()) {
    return; // the row's claim was in force later than asOf
  }
  const Offset doubt = ambiguous == ambiguous_.end() ? 0 : ambiguous->second;
  ActionRow carried = MakeRow(aRecord.claim, aRecord.claimOffset, aRecord.claimedMs);
  carried.offset = aRecord.asOf;
  if (aRecord.hasOutcome) {
    SetOutcome(carried, aRecord.outcome);
  }
  // The claim was in force when all records before asOf were known. If this table began
  // after asOf, it may have missed that the claim was abandoned.
  if (!isExact) {
    carried.state = ActionRow::State::Unknown;
    carried.answer = {};
  }
  Put(id, std::move(carried));
  if (!isExact) {
    // A claim whose writer had read up to asOf knew whether this claim was in force.
    const Offset known = aRecord.asOf > 0 ? aRecord.asOf - 1 : 0;
    ambiguous_.emplace(id, std::max(known, doubt));
  }
}

/// Merges the carry record into the row of the same claim.
void ClaimTable::Merge(const ActionId& aId, ActionRow aRow, const CarryRecord& aRecord)
{
  // A carry written before its writer read the outcome cannot rebuild the row.
  const bool isComplete = RankOf(StateOf(aRecord)) >= RankOf(aRow.state);
  if (aRecord.hasOutcome) {
    SetOutcome(aRow, aRecord.outcome);
  }
  if (isComplete && aRecord.asOf > aRow.offset) {
    aRow.offset = aRecord.asOf;
  }
  // A table that began late may have taken another append of the claim for the admitted
  // one.
  if (aRecord.hasOutcome || IsExact(aRecord.asOf)) {
    aRow.claimOffset = aRecord.claimOffset;
    aRow.claimedMs = aRecord.claimedMs;
  }
  const auto found = ambiguous_.find(aId);
  const std::optional<Offset> doubt = found == ambiguous_.end() || aRecord.hasOutcome
                                        ? std::nullopt
                                        : std::optional(found->second);
  Put(aId, std::move(aRow));
  if (doubt) {
    ambiguous_.emplace(aId, *doubt);
  }
}

CarryRecord MakeCarry(const ActionId& aId, const ActionRow& aRow, Offset aNext)
{
  CarryRecord carry;
  carry.claim = { .service = aId.first,
                  .key = aId.second,
                  .bodyHash = aRow.bodyHash,
                  .claim = aRow.claim,
                  .daemon = aRow.holder,
                  .incarnation = aRow.holderIncarnation,
                  .peerAddress = aRow.holderAddress,
                  .windowMs = aRow.windowMs };
  carry.claimedMs = aRow.claimedMs;
  carry.claimOffset = aRow.claimOffset;
  carry.asOf = aNext;
  carry.hasOutcome = aRow.state != ActionRow::State::Claimed;
  if (carry.hasOutcome) {
    carry.outcome = { .service = aId.first,
                      .key = aId.second,
                      .claim = aRow.claim,
                      .isKnown = aRow.state == ActionRow::State::Done,
                      .status = aRow.answer.status,
                      .headers = aRow.answer.headers,
                      .body = std::string(aRow.answer.body.View()) };
  }
  return carry;
}

} // namespace gooseberrypath
