#include "entry/store_reads.h"

#include <utility>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

namespace {

// The store is reported as unreachable after this many consecutive failures. A single
// failure may be a lost response.
constexpr int kFailuresUntilUnreachable = 2;

} // namespace

void StoreReads::Warn(std::string aEvent, std::string aKey, std::string_view aReason)
{
  Emit(RecordIgnored{ std::move(aEvent), std::move(aKey), std::string(aReason) });
}

StoreRead StoreReads::EndOf(kj::TimePoint aStart, StoreTopic aTopic,
                            StoreReadKind aKind) const
{
  return { .topic = aTopic,
           .kind = aKind,
           .took = Duration((options_.timer.now() - aStart) / kj::MICROSECONDS) };
}

void StoreReads::Confirm(const StoreRead& aRead, Duration aAge)
{
  Emit(TopicConfirmed{ aRead, aAge });
}

void StoreReads::Fail(const StoreRead& aRead, std::string_view aReason)
{
  Emit(TopicReadFailed{ aRead, std::string(aReason) });
}

void StoreReads::FailOutdated(const StoreRead& aRead)
{
  Fail(aRead, "the offset or the answer is of an earlier state of the store");
}

void StoreReads::NoteResult(const std::string& aError)
{
  const bool isReachable = aError.empty();
  const bool isRecovery = isReachable && consecutiveFailures_ > 0;
  consecutiveFailures_ = isReachable ? 0 : consecutiveFailures_ + 1;
  if (isRecovery) {
    options_.onRecovery();
  }
  if (!isReachable && consecutiveFailures_ < kFailuresUntilUnreachable) {
    return;
  }
  if (isReachable_ == isReachable) {
    return;
  }
  isReachable_ = isReachable;
  Emit(StoreReachabilityChanged{ isReachable, aError });
}

bool StoreReads::NoteEra(uint64_t aEra)
{
  if (aEra <= era_) {
    return false;
  }
  const bool wentBack = std::exchange(era_, aEra) > 0;
  Emit(StoreEraRead{ aEra });
  return wentBack;
}

kj::Promise<void> StoreReads::Wait(Duration aTime)
{
  return options_.timer.afterDelay(Jittered(aTime));
}

kj::Promise<void> StoreReads::WaitForPoll()
{
  return options_.timer.afterDelay(ToKj(FleetPollWait(readerCount_, RandomShare())));
}

kj::Promise<void> StoreReads::WaitForRetry()
{
  return Wait(StoreRetryDelay(readerCount_));
}

kj::Promise<void> StoreReads::WaitAfterException(kj::Exception&& aError)
{
  Warn("store_reading_failed", {}, aError.getDescription().cStr());
  return WaitForRetry();
}

} // namespace gooseberrypath::entry
