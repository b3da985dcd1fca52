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
  Duration configWait = std::chrono::milliseconds(2000);
  // Pause after a changed configuration, so that many changes are read together.
  Duration configPause = std::chrono::milliseconds(200);
  // Entries of backends change several times a second; they are gathered for this time.
  Duration fleetPause = std::chrono::milliseconds(800);
  // Before a failed call is repeated.
  Duration retryPause = std::chrono::milliseconds(200);
};

class StorePort
{
public:
  explicit StorePort(StorePortOptions aOptions);

  StorePort(const StorePort&) = delete;
  StorePort& operator=(const StorePort&) = delete;

  /// Begins to follow, for ever.
  void Start();

  void Execute(const ReadDutyState& aAction);
  void Execute(const WriteDutyState& aAction);

  const TaskErrors& Errors() const { return errors_; }

private:
  kj::Promise<void> FollowConfig();
  kj::Promise<void> FollowFleet();
  kj::Promise<void> Announce();
  void TakeConfig(const std::vector<platform::KeyedRecord>& aRecords);
  void TakeFleet(const std::vector<platform::KeyedRecord>& aRecords, bool aIsWhole);

  /// Notes whether a call was answered and emits the change.
  void NoteAnswer(const std::string& aError);
  kj::Promise<void> Pause(Duration aTime);
  void Warn(std::string aEvent, std::string aKey, const std::string& aReason);

  StorePortOptions options_;
  // Long reads wait on a client of their own, so that other calls do not queue behind.
  platform::StoreClient config_;
  platform::StoreClient fleet_;
  platform::StoreClient calls_;
  std::optional<uint64_t> configNext_; // nothing: the newest records are read first
  std::optional<uint64_t> fleetNext_;
  std::optional<bool> isReachable_;
  int failures_ = 0;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_STORE_PORT_H_
