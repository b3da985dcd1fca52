// Reads the configuration from the platform's store. A long poll returns changes at once;
// a check reads the topic on a connection of its own when the core orders it, because a
// long poll that waits cannot be told from one that is never answered.
//
//   ConfigReader reader(reads, clientOptions);
//   reader.Start();
//   reader.Check(500ms);

#ifndef ENTRY_CONFIG_READER_H_
#define ENTRY_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <kj/async.h>
#include <kj/timer.h>

#include "entry/store_reads.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/task_errors.h"
#include "platform/store_client.h"

namespace gooseberrypath::entry {

class ConfigReader
{
public:
  ConfigReader(StoreReads& aReads, const platform::StoreClientOptions& aClient);

  ConfigReader(const ConfigReader&) = delete;
  ConfigReader& operator=(const ConfigReader&) = delete;

  /// Starts the long polls, which run until the object is destroyed.
  void Start();

  /// Reads the changes since the last read now, or the whole topic if there was none. One
  /// TopicConfirmed or TopicReadFailed of the kind Check follows within the timeout. A
  /// check that is still pending is given up without an event.
  void Check(Duration aTimeout);

  /// Gives up a pending long poll and begins a new one.
  void RestartLongPoll();

  /// Forgets the offset, so that the whole topic is read, and gives up the long poll.
  void ReadAnew();

  const TaskErrors& Errors() const { return errors_; }

private:
  /// Reads the topic, then makes long polls in an endless loop.
  kj::Promise<void> Watch();
  kj::Promise<void> ReadSnapshot();
  kj::Promise<void> LongPoll();
  kj::Promise<void> EndLongPoll(const StoreRead& aRead,
                                Result<platform::RecordBatch> aBatch);

  void BeginCheck(Duration aTimeout);
  kj::Promise<void> CheckSnapshot(kj::TimePoint aStart);
  kj::Promise<void> CheckChanges(kj::TimePoint aStart);
  void EndCheck(kj::TimePoint aStart, std::string_view aError);

  /// Returns the description of a check that ends now.
  StoreRead CheckSince(kj::TimePoint aStart) const;

  /// Takes an answer into use and emits that it confirms the topic, or that it is of an
  /// earlier era. Returns whether it was taken into use.
  bool Accept(const platform::TopicSnapshot& aSnapshot, const StoreRead& aRead);
  bool Accept(const platform::RecordBatch& aBatch, const StoreRead& aRead);

  /// Emits the last valid configuration among the records.
  void Emit(const std::vector<platform::KeyedRecord>& aRecords, const StoreRead& aRead);

  StoreReads& reads_;
  platform::StoreClient longPollClient_;
  platform::StoreClient checkClient_;
  // Offset of the next read; without a value, a snapshot is read first.
  std::optional<uint64_t> offset_;
  kj::Own<kj::PromiseFulfiller<void>> endOfLongPoll_;
  bool isLongPollPending_ = false;
  kj::Promise<void> check_ = nullptr;
  bool isChecking_ = false; // check_ has not ended
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CONFIG_READER_H_
