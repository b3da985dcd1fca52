// Connects the entry core to the platform's store: watches the configuration, polls the
// records of the backends, registers this daemon's peer address, and executes the reads
// and writes of duty state and usage counts.
//
//   StorePort store({ .network = network, ... });
//   store.Start();

#ifndef ENTRY_STORE_PORT_H_
#define ENTRY_STORE_PORT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "entry/messages.h"
#include "entry/store_polling.h"
#include "gooseberrypath/task_errors.h"
#include "platform/store_client.h"

namespace gooseberrypath::entry {

struct StorePortOptions
{
  kj::Network& network;
  kj::Timer& timer;
  std::function<void(Event)> sink;
  std::string address;     // of the store, "IP:port"
  std::string host;        // name of this daemon's host
  std::string peerAddress; // registered for other daemons, "IP:port"
  // How long a long poll of the configuration waits for a change.
  Duration configPollTimeout = std::chrono::seconds(10);
  // Delay between a changed configuration and the next read, so that changes in quick
  // succession are read together.
  Duration configBatchDelay = std::chrono::milliseconds(200);
};

class StorePort
{
public:
  explicit StorePort(StorePortOptions aOptions);

  StorePort(const StorePort&) = delete;
  StorePort& operator=(const StorePort&) = delete;

  /// Starts the background reads, which run until the object is destroyed.
  void Start();

  void Execute(const ReadFleet& aAction);
  void Execute(const ConfirmFleet& aAction);
  void Execute(const ReadConfiguration& aAction);
  void Execute(const SkipFleetRecords& aAction);
  void Execute(const NoteStoreEra& aAction);
  void Execute(const SetReaderCount& aAction);
  void Execute(const ReadDutyState& aAction);
  void Execute(const WriteDutyState& aAction);
  void Execute(const WriteUsage& aAction);
  void Execute(const ReadUsage& aAction);
  void Execute(const WritePartEvidence& aAction);
  void Execute(const ReadPartEvidence& aAction);

  const TaskErrors& Errors() const { return errors_; }

private:
  platform::StoreClientOptions ClientOptions();

  /// Reads the configuration, then long-polls for changes in an endless loop.
  kj::Promise<void> WatchConfig();

  /// Reads all records of backends, then polls for changes in an endless loop.
  kj::Promise<void> PollFleet();

  /// Writes this daemon's peer address to the store, then emits the addresses of all
  /// daemons. Retries until both succeed.
  kj::Promise<void> RegisterDaemon();

  /// Returns the description of a read that ends now.
  StoreRead ReadSince(kj::TimePoint aStart, StoreTopic aTopic, StoreReadKind aKind) const;

  /// Emits that the topic was known this long ago, after the events of its records.
  void Confirm(const StoreRead& aRead, Duration aAge);
  void Fail(const StoreRead& aRead, std::string_view aReason);

  /// Emits the last valid configuration among the records.
  void EmitConfiguration(const std::vector<platform::KeyedRecord>& aRecords,
                         const StoreRead& aRead);

  /// Adds the decoded records to the event and emits it, unless it is an incremental
  /// read without changes that confirms nothing.
  void EmitFleetRead(const std::vector<platform::KeyedRecord>& aRecords, FleetRead aRead);

  /// Writes this daemon's value of a topic with one value for each daemon. A failure is
  /// logged as `aFailure`.
  void WriteOwnValue(std::string_view aTopic, const std::string& aText,
                     std::string aFailure);

  /// Reads the values of all daemons of such a topic and emits them as `E::texts`. A
  /// failure is logged as `aFailure`.
  template<typename E>
  void ReadValues(std::string_view aTopic, std::string aFailure);

  /// Records an era that the store named. When the store went back, everything is read
  /// and registered anew.
  void NoteEra(uint64_t aEra);

  /// Records that a read confirms the fleet up to this number. Returns the number, or 0
  /// if an earlier read did.
  uint64_t EndConfirmation(uint64_t aNumber);

  /// Records the result of a call, an empty string on success, and emits an event when
  /// the store becomes reachable or unreachable.
  void UpdateReachability(const std::string& aError);

  /// Ends the long poll and the pause between two polls of the fleet, so that the store
  /// is read now.
  void ReadNow();

  /// Waits for the duration with random jitter.
  kj::Promise<void> Wait(Duration aTime);

  /// Waits until a failed call may be retried.
  kj::Promise<void> WaitForRetry();

  /// Reports an unexpected exception and waits as after a failed call, so that the read
  /// loop continues.
  kj::Promise<void> WaitAfterException(kj::Exception&& aError);

  /// Waits until the next poll of the fleet is due: for the poll interval, or for a
  /// shorter delay after an early poll or a confirmation was requested.
  kj::Promise<void> WaitForFleetPoll();

  /// Emits an event that the core logs as a warning.
  void Warn(std::string aEvent, std::string aKey, const std::string& aReason);

  StorePortOptions options_;
  // Each client has one connection. Long polls have their own, so that other calls do not
  // queue behind them.
  platform::StoreClient configClient_;
  platform::StoreClient fleetClient_;
  platform::StoreClient requestClient_;
  // Offsets of the next incremental reads; without a value, a snapshot is read first.
  std::optional<uint64_t> configOffset_;
  std::optional<uint64_t> fleetOffset_;
  uint64_t wantedConfirmation_ = 0; // number of the newest ConfirmFleet
  uint64_t lastConfirmation_ = 0; // number that the last read of the fleet has confirmed
  uint64_t newestConfigVersion_ = 0;
  bool isReadingConfig_ = false; // a read for ReadConfiguration is pending
  uint64_t era_ = 0;             // newest known one of the store; 0: none
  uint64_t eraOfPeers_ = 0;      // newest one that a peer named
  size_t readerCount_ = kInitialReaderCount;
  bool hasReaderCount_ = false; // readerCount_ was set by the core
  kj::Own<kj::PromiseFulfiller<void>> earlyFleetPoll_;
  kj::Own<kj::PromiseFulfiller<void>> endOfConfigPoll_; // ends a long poll
  std::optional<bool> isReachable_; // no value before the first result
  int consecutiveFailures_ = 0;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_PORT_H_
