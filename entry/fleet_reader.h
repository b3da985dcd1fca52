// Polls the records of the backends in the platform's store.
//
//   FleetReader reader(reads, clientOptions);
//   reader.Start();
//   reader.Confirm(number);

#ifndef ENTRY_FLEET_READER_H_
#define ENTRY_FLEET_READER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include <kj/async.h>

#include "entry/store_reads.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/task_errors.h"
#include "platform/store_client.h"

namespace gooseberrypath::entry {

class FleetReader
{
public:
  FleetReader(StoreReads& aReads, const platform::StoreClientOptions& aClient);

  FleetReader(const FleetReader&) = delete;
  FleetReader& operator=(const FleetReader&) = delete;

  /// Starts the polls, which run until the object is destroyed.
  void Start();

  /// Ends the pause between two polls.
  void PollSoon();

  /// Polls at once, unless a read is in progress or waits to be retried.
  void PollNow();

  /// Polls soon unless the records before this offset were read.
  void PollUpTo(uint64_t aOffset);

  /// Polls soon. A FleetRead that confirms this number follows also without changes.
  void Confirm(uint64_t aNumber);

  /// Skips the records before this offset.
  void SkipTo(uint64_t aOffset);

  /// Forgets the offset, so that all records are read, and polls soon.
  void ReadAnew();

  const TaskErrors& Errors() const { return errors_; }

private:
  /// Reads all records, then polls for changes in an endless loop.
  kj::Promise<void> Poll();
  kj::Promise<void> ReadSnapshot();
  kj::Promise<void> ReadChanges();

  /// Adds the decoded records to the event and emits it, unless it is an incremental read
  /// without changes that confirms nothing.
  void Emit(const std::vector<platform::KeyedRecord>& aRecords, FleetRead aRead);

  /// Records that a read confirms the fleet up to this number. Returns the number, or 0
  /// if an earlier read did.
  uint64_t EndConfirmation(uint64_t aNumber);

  /// Waits until the next poll is due: for the poll interval, or for a shorter delay
  /// after an early poll or a confirmation was requested.
  kj::Promise<void> WaitForPoll();

  StoreReads& reads_;
  platform::StoreClient client_;
  // Offset of the next read; without a value, a snapshot is read first.
  std::optional<uint64_t> offset_;
  uint64_t wantedConfirmation_ = 0; // number of the newest Confirm()
  uint64_t lastConfirmation_ = 0;   // number that the last read has confirmed
  kj::Own<kj::PromiseFulfiller<void>> earlyPoll_;     // after a batch delay
  kj::Own<kj::PromiseFulfiller<void>> immediatePoll_; // ends the whole pause
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_READER_H_
