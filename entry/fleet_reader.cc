#include "entry/fleet_reader.h"

#include <algorithm>
#include <utility>

#include "platform/resource_format.h"

namespace gooseberrypath::entry {

FleetReader::FleetReader(StoreReads& aReads, const platform::StoreClientOptions& aClient)
  : reads_(aReads)
  , client_(aClient)
  , tasks_(errors_)
{
}

void FleetReader::Start()
{
  tasks_.add(Poll());
}

void FleetReader::PollSoon()
{
  if (earlyPoll_.get() != nullptr) {
    earlyPoll_->fulfill();
  }
}

void FleetReader::PollNow()
{
  if (immediatePoll_.get() != nullptr) {
    immediatePoll_->fulfill();
  }
}

void FleetReader::PollUpTo(uint64_t aOffset)
{
  const bool isKnown = offset_ && *offset_ >= aOffset;
  if (!isKnown) {
    PollSoon();
  }
}

void FleetReader::Confirm(uint64_t aNumber)
{
  wantedConfirmation_ = aNumber;
  PollSoon();
}

void FleetReader::SkipTo(uint64_t aOffset)
{
  if (offset_) {
    offset_ = std::max(*offset_, aOffset);
  }
}

void FleetReader::ReadAnew()
{
  offset_.reset();
  PollSoon();
}

kj::Promise<void> FleetReader::Poll()
{
  return (offset_ ? ReadChanges() : ReadSnapshot())
    .catch_([this](kj::Exception&& aError) {
      return reads_.WaitAfterException(kj::mv(aError));
    })
    .then([this] { return Poll(); });
}

kj::Promise<void> FleetReader::ReadSnapshot()
{
  return client_.ReadSnapshot(platform::kFleetTopic)
    .then([this, start = reads_.Timer().now(),
           confirms = wantedConfirmation_](Result<platform::TopicSnapshot> aSnapshot) {
      const StoreRead read =
        reads_.EndOf(start, StoreTopic::Fleet, StoreReadKind::Snapshot);
      reads_.NoteResult(aSnapshot ? "" : aSnapshot.error().message);
      if (!aSnapshot) {
        reads_.Fail(read, aSnapshot.error().message);
        return reads_.WaitForRetry();
      }
      if (aSnapshot->era < reads_.Era()) {
        reads_.FailOutdated(read);
        return reads_.WaitForRetry();
      }
      offset_ = aSnapshot->end;
      Emit(aSnapshot->records, { .isSnapshot = true,
                                 .next = aSnapshot->end,
                                 .era = aSnapshot->era,
                                 .exactFrom = aSnapshot->exactFrom,
                                 .confirms = EndConfirmation(confirms) });
      reads_.Confirm(read, read.took);
      return WaitForPoll();
    });
}

kj::Promise<void> FleetReader::ReadChanges()
{
  return client_.Read(platform::kFleetTopic, *offset_, Duration::zero())
    .then([this, start = reads_.Timer().now(), confirms = wantedConfirmation_](
            Result<platform::RecordBatch> aBatch) -> kj::Promise<void> {
      const StoreRead read = reads_.EndOf(start, StoreTopic::Fleet, StoreReadKind::Poll);
      const bool followsFailure = reads_.HasFailed();
      reads_.NoteResult(aBatch ? "" : aBatch.error().message);
      if (!aBatch) {
        reads_.Fail(read, aBatch.error().message);
        return reads_.WaitForRetry();
      }
      if (aBatch->isOffsetExpired || aBatch->era < reads_.Era()) {
        offset_.reset();
      }
      if (!offset_) {
        reads_.FailOutdated(read);
        return kj::READY_NOW;
      }
      offset_ = std::max(*offset_, aBatch->nextOffset);
      Emit(aBatch->records, { .next = aBatch->nextOffset,
                              .era = aBatch->era,
                              .confirms = EndConfirmation(confirms),
                              .followsFailure = followsFailure });
      reads_.Confirm(read, read.took);
      return WaitForPoll();
    });
}

kj::Promise<void> FleetReader::WaitForPoll()
{
  auto earlyPoll = kj::newPromiseAndFulfiller<void>();
  earlyPoll_ = kj::mv(earlyPoll.fulfiller);
  if (wantedConfirmation_ > lastConfirmation_) {
    return reads_.WaitForRetry(); // it was requested during the last read
  }
  auto immediatePoll = kj::newPromiseAndFulfiller<void>();
  immediatePoll_ = kj::mv(immediatePoll.fulfiller);
  return reads_.WaitForPoll()
    .exclusiveJoin(earlyPoll.promise.then([this] {
      return wantedConfirmation_ > lastConfirmation_
               ? reads_.WaitForRetry()
               : reads_.Wait(FleetBatchDelay(reads_.ReaderCount()));
    }))
    .exclusiveJoin(kj::mv(immediatePoll.promise));
}

void FleetReader::Emit(const std::vector<platform::KeyedRecord>& aRecords,
                       FleetRead aRead)
{
  for (const platform::KeyedRecord& record : aRecords) {
    if (!record.value) {
      aRead.changes.emplace_back(BackendRemoved{ record.key });
      continue;
    }
    auto entry = platform::DecodeBackendEntry(record.key, *record.value);
    if (entry) {
      aRead.changes.emplace_back(*std::move(entry));
    } else {
      reads_.Warn("backend_entry_malformed", record.key, entry.error().message);
    }
  }
  if (aRead.isSnapshot || !aRead.changes.empty() || aRead.confirms != 0 ||
      aRead.followsFailure) {
    reads_.Emit(std::move(aRead));
  }
}

uint64_t FleetReader::EndConfirmation(uint64_t aNumber)
{
  return std::exchange(lastConfirmation_, aNumber) == aNumber ? 0 : aNumber;
}

} // namespace gooseberrypath::entry
