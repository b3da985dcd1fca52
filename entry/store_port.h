// Connects the entry core to the platform's store: watches the configuration, polls the
// records of the backends, registers this daemon's peer address, and executes the reads
// and writes of duty state and usage counts.
//
//   StorePort store({ .network = network, ... });
//   store.Start();

#ifndef ENTRY_STORE_PORT_H_
#define ENTRY_STORE_PORT_H_

#include <functional>
#include <string>
#include <string_view>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "entry/config_reader.h"
#include "entry/fleet_reader.h"
#include "entry/messages.h"
#include "entry/store_reads.h"
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
  void Execute(const RefreshFleet& aAction);
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

  /// Writes this daemon's peer address to the store, then emits the addresses of all
  /// daemons. Retries until both succeed.
  kj::Promise<void> RegisterDaemon();

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

  /// Ends the long poll and the pause between two polls of the fleet, so that the store
  /// is read now.
  void ReadNow();

  StorePortOptions options_;
  StoreReads reads_;
  // Each client has one connection. The readers have their own, so that long polls do not
  // hold up other calls.
  ConfigReader config_;
  FleetReader fleet_;
  platform::StoreClient requestClient_;
  uint64_t eraOfPeers_ = 0;     // newest one that a peer named
  bool hasReaderCount_ = false; // the core has set the number of readers
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_PORT_H_
