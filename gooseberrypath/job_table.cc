#include "gooseberrypath/job_table.h"

#include <algorithm>
#include <array>
#include <optional>

namespace gooseberrypath {

namespace {

/// Records of unknown jobs are forgotten after this log time without a carry record.
constexpr int64_t kWaitingMs = 86'400'000;

constexpr std::array<std::string_view, 6> kStates = { "proposed", "queued", "running",
                                                      "done",     "failed", "cancelled" };

std::optional<JobRow::State> StateOf(std::string_view aName)
{
  const auto found = std::ranges::find(kStates, aName);
  if (found == kStates.end()) {
    return std::nullopt;
  }
  return static_cast<JobRow::State>(found - kStates.begin());
}

/// Returns the log time at which the row is dropped; nothing: not before its end.
std::optional<int64_t> ExpiryOf(const JobRow& aRow)
{
  if (aRow.HasEnded()) {
    return aRow.endedMs + aRow.proposal.windowMs;
  }
  if (aRow.state == JobRow::State::Proposed) {
    return aRow.createdMs + aRow.proposal.windowMs;
  }
  return std::nullopt;
}

} // namespace

std::string_view NameOf(JobRow::State aState)
{
  return kStates.at(static_cast<size_t>(aState));
}

std::string JobOf(const Record& aRecord)
{
  return std::visit(
    [](const auto& aOne) -> std::string {
      if constexpr (requires { aOne.job; }) {
        return aOne.job;
      } else if constexpr (requires { aOne.proposal; }) {
        return aOne.proposal.job;
      } else {
        return {};
      }
    },
    aRecord);
}

CarryJobRecord MakeCarry(const JobRow& aRow, Offset aNext)
{
  return { .proposal = aRow.proposal,
           .asOf = aNext,
           .revision = aRow.revision,
           .state = std::string(NameOf(aRow.state)),
           .holder = aRow.holder,
           .holderIncarnation = aRow.holderIncarnation,
           .lease = aRow.lease,
           .tokens = aRow.tokens,
           .finishReason = aRow.finishReason,
           .error = aRow.error,
           .createdMs = aRow.createdMs,
           .endedMs = aRow.endedMs };
}

void JobTable::Reset(Offset aFirst)
{
  rows_.Clear();
  byOffset_.clear();
  byExpiry_.clear();
  waiting_.clear();
  waitingByTime_.clear();
  first_ = aFirst;
  latestMs_ = 0;
}

bool JobTable::Apply(Offset aOffset, int64_t aTimeMs, const Record& aRecord)
{
  latestMs_ = std::max(latestMs_, aTimeMs);
  Expire();
  return ApplyEntry({ .offset = aOffset, .timeMs = latestMs_, .record = aRecord });
}

bool JobTable::ApplyEntry(const Entry& aEntry)
{
  const std::string job = JobOf(aEntry.record);
  if (job.empty()) {
    return false;
  }
  const bool isAccepted = std::visit(
    [&](const auto& aOne) {
      if constexpr (requires { this->ApplyOne(aEntry, aOne); }) {
        return this->ApplyOne(aEntry, aOne);
      }
      return false;
    },
    aEntry.record);
  if (JobRow* row = rows_.Find(job)) {
    if (isAccepted && !std::holds_alternative<CarryJobRecord>(aEntry.record)) {
      row->revision = aEntry.offset;
    }
  } else if (first_ > 1 && !std::holds_alternative<CarryJobRecord>(aEntry.record)) {
    waiting_[job].push_back(aEntry);
    waitingByTime_.emplace(aEntry.timeMs + kWaitingMs, job);
  }
  return isAccepted;
}

std::vector<std::string> JobTable::FindBefore(Offset aOffset) const
{
  std::vector<std::string> found;
  for (auto it = byOffset_.begin(); it != byOffset_.end() && it->first < aOffset; ++it) {
    found.push_back(it->second);
  }
  return found;
}

/// Returns the row if it runs under this lease.
JobRow* JobTable::FindLeased(const std::string& aJob, Offset aLease)
{
  JobRow* row = rows_.Find(aJob);
  const bool isCurrent =
    row && row->state == JobRow::State::Running && row->lease == aLease;
  return isCurrent ? row : nullptr;
}

/// Appends tokens that follow the known ones. A repeated record has an earlier position.
bool JobTable::AddTokens(JobRow& aRow, uint64_t aFrom,
                         const std::vector<std::string>& aTokens)
{
  if (aFrom != aRow.tokens.size()) {
    return false;
  }
  aRow.tokens.insert(aRow.tokens.end(), aTokens.begin(), aTokens.end());
  return true;
}

void JobTable::End(const std::string& aJob, JobRow& aRow, JobRow::State aState,
                   int64_t aTimeMs)
{
  if (const auto expiry = ExpiryOf(aRow)) {
    byExpiry_.erase({ *expiry, aJob });
  }
  aRow.state = aState;
  aRow.endedMs = aTimeMs;
  byExpiry_.emplace(*ExpiryOf(aRow), aJob);
}

void JobTable::Insert(const std::string& aJob, JobRow aRow)
{
  byOffset_.emplace(aRow.offset, aJob);
  if (const auto expiry = ExpiryOf(aRow)) {
    byExpiry_.emplace(*expiry, aJob);
  }
  rows_.Insert(aJob, std::move(aRow));
}

void JobTable::Drop(const std::string& aJob)
{
  const JobRow* row = rows_.Find(aJob);
  byOffset_.erase({ row->offset, aJob });
  if (const auto expiry = ExpiryOf(*row)) {
    byExpiry_.erase({ *expiry, aJob });
  }
  rows_.Erase(aJob);
}

void JobTable::Expire()
{
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= latestMs_) {
    Drop(std::string(byExpiry_.begin()->second));
  }
  while (!waitingByTime_.empty() && waitingByTime_.begin()->first <= latestMs_) {
    waiting_.erase(waitingByTime_.begin()->second);
    waitingByTime_.erase(waitingByTime_.begin());
  }
}

bool JobTable::ApplyOne(const Entry& aEntry, const JobRecord& aRecord)
{
  // In a table that began after the writer's choice of the id, an earlier copy of the
  // record and what followed it may be missing.
  const bool isExact = first_ <= 1 || aRecord.asOf >= first_;
  if (rows_.Find(aRecord.job) || !isExact) {
    return false;
  }
  Insert(aRecord.job, { .proposal = aRecord,
                        .holder = aRecord.daemon,
                        .holderIncarnation = aRecord.incarnation,
                        .createdMs = aEntry.timeMs,
                        .offset = std::min(aRecord.asOf, aEntry.offset) });
  return true;
}

bool JobTable::ApplyOne(const Entry& aEntry, const LeaseRecord& aRecord)
{
  JobRow* row = rows_.Find(aRecord.job);
  if (!row || row->HasEnded() || row->lease != aRecord.supersedes) {
    return false;
  }
  if (row->state == JobRow::State::Proposed) {
    if (row->holder != aRecord.daemon || row->holderIncarnation != aRecord.incarnation) {
      return false;
    }
    byExpiry_.erase({ *ExpiryOf(*row), aRecord.job });
  }
  row->state = JobRow::State::Running;
  row->holder = aRecord.daemon;
  row->holderIncarnation = aRecord.incarnation;
  row->lease = aEntry.offset;
  return true;
}

bool JobTable::ApplyOne(const Entry& /*aEntry*/, const CheckpointRecord& aRecord)
{
  JobRow* row = FindLeased(aRecord.job, aRecord.lease);
  return row && AddTokens(*row, aRecord.from, aRecord.tokens);
}

bool JobTable::ApplyOne(const Entry& aEntry, const DoneRecord& aRecord)
{
  JobRow* row = FindLeased(aRecord.job, aRecord.lease);
  if (!row || !AddTokens(*row, aRecord.from, aRecord.tokens)) {
    return false;
  }
  row->finishReason = aRecord.finishReason;
  row->error = aRecord.error;
  End(aRecord.job, *row,
      aRecord.error.empty() ? JobRow::State::Done : JobRow::State::Failed, aEntry.timeMs);
  return true;
}

bool JobTable::ApplyOne(const Entry& aEntry, const CancelRecord& aRecord)
{
  JobRow* row = rows_.Find(aRecord.job);
  if (!row || row->HasEnded()) {
    return false;
  }
  End(aRecord.job, *row, JobRow::State::Cancelled, aEntry.timeMs);
  return true;
}

bool JobTable::ApplyOne(const Entry& /*aEntry*/, const ReleaseRecord& aRecord)
{
  JobRow* row = FindLeased(aRecord.job, aRecord.lease);
  if (!row || !AddTokens(*row, aRecord.from, aRecord.tokens)) {
    return false;
  }
  // The lease stays the one to be superseded, so that a late repeat of an earlier lease
  // record is not accepted.
  row->state = JobRow::State::Queued;
  return true;
}

bool JobTable::ApplyOne(const Entry& aEntry, const CarryJobRecord& aRecord)
{
  const std::string& job = aRecord.proposal.job;
  if (JobRow* row = rows_.Find(job)) {
    if (aRecord.asOf > row->offset) {
      byOffset_.erase({ row->offset, job });
      row->offset = aRecord.asOf;
      byOffset_.emplace(row->offset, job);
    }
    return false;
  }
  const auto state = StateOf(aRecord.state);
  // Records between the writer's state and this table's beginning would be missing.
  if (!state || first_ > aRecord.asOf) {
    return false;
  }
  JobRow row{ .state = *state,
              .proposal = aRecord.proposal,
              .holder = aRecord.holder,
              .holderIncarnation = aRecord.holderIncarnation,
              .lease = aRecord.lease,
              .tokens = aRecord.tokens,
              .finishReason = aRecord.finishReason,
              .error = aRecord.error,
              .createdMs = aRecord.createdMs,
              .endedMs = aRecord.endedMs,
              .revision = aRecord.revision,
              .offset = aRecord.asOf };
  const auto expiry = ExpiryOf(row);
  if (expiry && *expiry <= aEntry.timeMs) {
    return false;
  }
  Insert(job, std::move(row));
  const auto waiting = waiting_.extract(job);
  if (!waiting.empty()) {
    for (const Entry& entry : waiting.mapped()) {
      if (entry.offset > aRecord.revision) {
        ApplyEntry(entry);
      }
    }
  }
  return true;
}

} // namespace gooseberrypath
