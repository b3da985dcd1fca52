#include "entry/config_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "gooseberrypath/http_io.h"
#include "platform/resource_format.h"

namespace gooseberrypath::entry {

namespace {

// How long a long poll waits for a change.
constexpr Duration kLongPollTime = std::chrono::seconds(10);

// Delay between a changed configuration and the next long poll, so that changes in quick
// succession are read together.
constexpr Duration kBatchDelay = std::chrono::milliseconds(200);

} // namespace

ConfigReader::ConfigReader(StoreReads& aReads,
                           const platform::StoreClientOptions& aClient)
  : reads_(aReads)
  , longPollClient_(aClient)
  , checkClient_(aClient)
  , tasks_(errors_)
{
}

void ConfigReader::Start()
{
  tasks_.add(Watch());
}

kj::Promise<void> ConfigReader::Watch()
{
  return (offset_ ? LongPoll() : ReadSnapshot())
    .catch_([this](kj::Exception&& aError) {
      return reads_.WaitAfterException(kj::mv(aError));
    })
    .then([this] { return Watch(); });
}

kj::Promise<void> ConfigReader::ReadSnapshot()
{
  return longPollClient_.ReadSnapshot(platform::kConfigTopic)
    .then([this, start = reads_.Timer().now()](
            Result<platform::TopicSnapshot> aSnapshot) -> kj::Promise<void> {
      const StoreRead read =
        reads_.EndOf(start, StoreTopic::Configuration, StoreReadKind::Snapshot);
      reads_.NoteResult(aSnapshot ? "" : aSnapshot.error().message);
      if (!aSnapshot) {
        reads_.Fail(read, aSnapshot.error().message);
        return reads_.WaitForRetry();
      }
      if (!Accept(*aSnapshot, read)) {
        return reads_.WaitForRetry();
      }
      return kj::READY_NOW;
    });
}

kj::Promise<void> ConfigReader::LongPoll()
{
  auto end = kj::newPromiseAndFulfiller<void>();
  endOfLongPoll_ = kj::mv(end.fulfiller);
  isLongPollPending_ = true;
  return longPollClient_.Read(platform::kConfigTopic, *offset_, kLongPollTime)
    .then([this, start = reads_.Timer().now()](Result<platform::RecordBatch> aBatch) {
      isLongPollPending_ = false;
      return EndLongPoll(
        reads_.EndOf(start, StoreTopic::Configuration, StoreReadKind::LongPoll),
        std::move(aBatch));
    })
    .exclusiveJoin(end.promise.then([this] { longPollClient_.DropConnection(); }));
}

kj::Promise<void> ConfigReader::EndLongPoll(const StoreRead& aRead,
                                            Result<platform::RecordBatch> aBatch)
{
  reads_.NoteResult(aBatch ? "" : aBatch.error().message);
  if (!aBatch) {
    reads_.Fail(aRead, aBatch.error().message);
    return reads_.WaitForRetry();
  }
  const bool isChanged = !aBatch->records.empty();
  if (Accept(*aBatch, aRead) && isChanged) {
    return reads_.Wait(kBatchDelay);
  }
  return kj::READY_NOW;
}

void ConfigReader::RestartLongPoll()
{
  if (isLongPollPending_) {
    endOfLongPoll_->fulfill();
  }
}

void ConfigReader::ReadAnew()
{
  offset_.reset();
  RestartLongPoll();
}

void ConfigReader::Check(Duration aTimeout)
{
  // Later, because the pending check, which ends here, may have led to this call.
  tasks_.add(kj::evalLater([this, aTimeout] { BeginCheck(aTimeout); }));
}

void ConfigReader::BeginCheck(Duration aTimeout)
{
  if (std::exchange(isChecking_, true)) {
    checkClient_.DropConnection();
  }
  const kj::TimePoint start = reads_.Timer().now();
  check_ =
    reads_.Timer()
      .timeoutAfter(ToKj(aTimeout), offset_ ? CheckChanges(start) : CheckSnapshot(start))
      .eagerlyEvaluate([this, start](kj::Exception&& aError) {
        checkClient_.DropConnection();
        EndCheck(start, aError.getDescription().cStr());
      });
}

kj::Promise<void> ConfigReader::CheckSnapshot(kj::TimePoint aStart)
{
  return checkClient_.ReadSnapshot(platform::kConfigTopic)
    .then([this, aStart](Result<platform::TopicSnapshot> aSnapshot) {
      if (!aSnapshot) {
        EndCheck(aStart, aSnapshot.error().message);
        return;
      }
      isChecking_ = false;
      Accept(*aSnapshot, CheckSince(aStart));
    });
}

kj::Promise<void> ConfigReader::CheckChanges(kj::TimePoint aStart)
{
  return checkClient_.Read(platform::kConfigTopic, *offset_, Duration::zero())
    .then([this, aStart](Result<platform::RecordBatch> aBatch) {
      if (!aBatch) {
        EndCheck(aStart, aBatch.error().message);
        return;
      }
      isChecking_ = false;
      const bool isNews = !aBatch->records.empty();
      if (Accept(*aBatch, CheckSince(aStart)) && isNews) {
        RestartLongPoll(); // it should have returned them
      }
    });
}

void ConfigReader::EndCheck(kj::TimePoint aStart, std::string_view aError)
{
  isChecking_ = false;
  reads_.Fail(CheckSince(aStart), aError);
}

StoreRead ConfigReader::CheckSince(kj::TimePoint aStart) const
{
  return reads_.EndOf(aStart, StoreTopic::Configuration, StoreReadKind::Check);
}

bool ConfigReader::Accept(const platform::TopicSnapshot& aSnapshot,
                          const StoreRead& aRead)
{
  if (aSnapshot.era < reads_.Era()) {
    reads_.FailOutdated(aRead);
    return false;
  }
  offset_ = std::max(offset_.value_or(0), aSnapshot.end);
  Emit(aSnapshot.records, aRead);
  reads_.Confirm(aRead, aRead.took);
  return true;
}

bool ConfigReader::Accept(const platform::RecordBatch& aBatch, const StoreRead& aRead)
{
  if (aBatch.isOffsetExpired || aBatch.era < reads_.Era()) {
    ReadAnew();
  }
  if (!offset_) {
    reads_.FailOutdated(aRead);
    return false;
  }
  offset_ = std::max(*offset_, aBatch.nextOffset);
  Emit(aBatch.records, aRead);
  // A long poll without records was answered when its time had passed.
  const bool hasWaited = aRead.kind == StoreReadKind::LongPoll && aBatch.records.empty();
  const Duration waited = hasWaited ? kLongPollTime : Duration::zero();
  reads_.Confirm(aRead, std::max(aRead.took - waited, Duration::zero()));
  return true;
}

void ConfigReader::Emit(const std::vector<platform::KeyedRecord>& aRecords,
                        const StoreRead& aRead)
{
  // Only the last valid configuration is applied; earlier ones are already superseded.
  for (size_t i = aRecords.size(); i-- > 0;) {
    const platform::KeyedRecord& record = aRecords[i];
    if (record.key != platform::kConfigKey || !record.value) {
      continue;
    }
    auto configuration = platform::DecodeConfiguration(*record.value);
    if (!configuration) {
      reads_.Warn("configuration_malformed", record.key, configuration.error().message);
      continue;
    }
    reads_.Emit(ConfigurationRead{
      std::make_shared<const Configuration>(*std::move(configuration)), aRead });
    return;
  }
}

} // namespace gooseberrypath::entry
