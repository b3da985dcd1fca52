// What the readers of the store's topics share: the era of the store, the pace of retries
// and the events that tell how their reads ended.
//
//   StoreReads reads({ .timer = timer, .sink = sink });
//   const kj::TimePoint start = reads.Timer().now();
//   ...
//   reads.Confirm(reads.EndOf(start, StoreTopic::Fleet, StoreReadKind::Poll), age);

#ifndef ENTRY_STORE_READS_H_
#define ENTRY_STORE_READS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <kj/async.h>
#include <kj/timer.h>

#include "entry/messages.h"
#include "entry/store_polling.h"

namespace gooseberrypath::entry {

struct StoreReadsOptions
{
  kj::Timer& timer;
  std::function<void(Event)> sink;
  /// Called when a read succeeds after one that failed.
  std::function<void()> onRecovery = [] {};
};

class StoreReads
{
public:
  explicit StoreReads(StoreReadsOptions aOptions)
    : options_(std::move(aOptions))
  {
  }

  kj::Timer& Timer() { return options_.timer; }
  void Emit(Event aEvent) { options_.sink(std::move(aEvent)); }

  /// Emits an event that the core logs as a warning.
  void Warn(std::string aEvent, std::string aKey, std::string_view aReason);

  /// Returns the description of a read that began then and ends now.
  StoreRead EndOf(kj::TimePoint aStart, StoreTopic aTopic, StoreReadKind aKind) const;

  /// Emits that the topic was known this long ago, after the events of its records.
  void Confirm(const StoreRead& aRead, Duration aAge);

  /// Emits that a read failed.
  void Fail(const StoreRead& aRead, std::string_view aReason);

  /// Emits that an answer, or the offset of its read, is of an earlier era.
  void FailOutdated(const StoreRead& aRead);

  /// Records whether a read has reached the store, with an empty string on success, and
  /// emits an event when the store becomes reachable or unreachable.
  void NoteResult(const std::string& aError);
  bool HasFailed() const { return consecutiveFailures_ > 0; }

  /// Records an era that the store named. Returns whether the store went back.
  bool NoteEra(uint64_t aEra);
  uint64_t Era() const { return era_; }

  /// Sets the number of live daemons that read the store.
  void SetReaderCount(size_t aCount) { readerCount_ = aCount; }
  size_t ReaderCount() const { return readerCount_; }

  /// Waits for the duration with random jitter.
  kj::Promise<void> Wait(Duration aTime);

  /// Waits until the next poll of the fleet.
  kj::Promise<void> WaitForPoll();

  /// Waits until a failed call may be retried.
  kj::Promise<void> WaitForRetry();

  /// Reports an unexpected exception and waits as after a failed call, so that the read
  /// loop continues.
  kj::Promise<void> WaitAfterException(kj::Exception&& aError);

private:
  StoreReadsOptions options_;
  uint64_t era_ = 0; // newest known one of the store; 0: none
  size_t readerCount_ = kInitialReaderCount;
  std::optional<bool> isReachable_; // no value before the first result
  int consecutiveFailures_ = 0;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_READS_H_
