// Follows the configuration and the fleet in the platform's store, announces this daemon
// there and carries out the reads and writes of the duties.
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
  std::string peerAddress; // that other daemons shall use
  // A read of the configuration waits this long for a change.
  Duration configWait = std::chrono::seconds(10);
  // Pause after a changed configuration, so that many changes are read together.
  Duration configPause = std::chrono::milliseconds(200);
};

class StorePort
{
public:
  explicit StorePort(StorePortOptions aOptions);

  StorePort(const StorePort&) = delete;
  StorePort& operator=(const StorePort&) = delete;

  /// Begins to follow, for ever.
  void Start();

  void Execute(const ReadFleet& aAction);
  void Execute(const ReadConfiguration& aAction);
  void Execute(const SkipFleetRecords& aAction);
  void Execute(const SetReaderCount& aAction);
  void Execute(const ReadDutyState& aAction);
  void Execute(const WriteDutyState& aAction);
  void Execute(const WriteUsage& aAction);
  void Execute(const ReadUsage& aAction);

  const TaskErrors& Errors() const { return errors_; }

private:
  kj::Promise<void> FollowConfig();
  kj::Promise<void> FollowFleet();
  kj::Promise<void> Announce();
  void TakeConfig(const std::vector<platform::KeyedRecord>& aRecords);

  /// Passes on what was read between two offsets, or the whole fleet.
  void TakeFleet(const std::vector<platform::KeyedRecord>& aRecords, FleetRead aRead);

  /// Notes whether a call was answered and emits the change.
  void NoteAnswer(const std::string& aError);
  kj::Promise<void> Pause(Duration aTime);

  /// Waits until a failed call may be repeated.
  kj::Promise<void> PauseFailed();

  /// Logs an error that is no failed call, and waits like after one: the reading of the
  /// store must not end for the rest of the process.
  kj::Promise<void> PauseUnexpected(kj::Exception&& aError);

  /// Waits until the fleet is to be read again.
  kj::Promise<void> PauseFleet();
  void Warn(std::string aEvent, std::string aKey, const std::string& aReason);

  StorePortOptions options_;
  // Long reads wait on a client of their own, so that other calls do not queue behind.
  platform::StoreClient config_;
  platform::StoreClient fleet_;
  platform::StoreClient calls_;
  std::optional<uint64_t> configNext_; // nothing: the newest records are read first
  std::optional<uint64_t> fleetNext_;
  uint64_t configVersion_ = 0; // the newest one read
  bool isReadingNewest_ = false;
  size_t readers_ = kInitialReaderCount;
  bool isReadersKnown_ = false; // some were heard
  kj::Own<kj::PromiseFulfiller<void>> fleetAsked_;
  std::optional<bool> isReachable_;
  int failures_ = 0;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_PORT_H_
