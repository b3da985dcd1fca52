// Applies configuration records and handles operators' requests.
//
// Events are kept until Run(), because only then is World::Now() the time at which they
// arrived: Core::Handle() does not advance the time.

#ifndef GOOSEBERRYPATH_CONFIG_SYSTEM_H_
#define GOOSEBERRYPATH_CONFIG_SYSTEM_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gooseberrypath/config_snapshots.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Applies configuration records, handles operators' requests and carries the daemon
/// through its states.
class ConfigSystem
{
public:
  explicit ConfigSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start() {}

  /// Handles the events since the last run, then everything that is due.
  void Run();

  void Handle(const LogBatch& aEvent);
  void Handle(const LogReadFailed& aEvent);
  void Handle(const AppendDone& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const AppendFailed& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const OperatorWrite& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const OperatorRead& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const OperatorStatus& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const OperatorDrain& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const SnapshotReceived& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const ReclaimNotice& aEvent);

private:
  /// An operator's write that was not seen in the log yet.
  struct PendingWrite
  {
    WriteId request;
    std::string data; // the record
    TimePoint due;    // of the reply
    TimePoint retryAt;
    Duration pause{};         // before the next repetition
    std::set<AppendId> open;  // appends without an answer
    bool mayBeStored = false; // an append was stored or its fate is not known
    bool isStored = false;    // the log confirmed an append
  };

  struct WaitingRead
  {
    OperatorRead read;
    TimePoint due;
  };

  using Pending = std::map<std::string, PendingWrite>; // by write id

  void Process(const LogBatch& aBatch);
  void Process(const AppendDone& aEvent);
  void Process(const AppendFailed& aEvent);
  void Process(const OperatorWrite& aWrite);
  void Process(const OperatorRead& aRead);
  void Process(const OperatorStatus& aStatus);
  void Process(const OperatorDrain& aDrain);
  void Process(const SnapshotReceived& aEvent) { snapshots_.Receive(aEvent); }

  void Apply(const LogEntry& aEntry);
  Result<Offset> CheckWrite(const OperatorWrite& aWrite) const;
  void Append(PendingWrite& aWrite);
  Pending::iterator FindAppend(AppendId aAppend);
  void RunWrites();
  void RunReads();
  void RunState();
  bool AreOutcomesRecorded();

  void ReplyError(WriteId aRequest, const Error& aError, Offset aCurrent = 0,
                  const std::string& aWrite = {});
  void ReplyAccepted(WriteId aRequest, const ResourceId& aId, Offset aVersion);
  void ReplyRead(const OperatorRead& aRead);

  /// Makes sure that a tick runs at this time. Due times are checked in Run(), after the
  /// events, so that an answer that arrived in time wins over a timeout.
  void WakeAt(TimePoint aTime);

  World& world_;
  ConfigSnapshots snapshots_{ world_ };
  Pending pending_;
  std::vector<WaitingRead> reads_;
  std::optional<TimePoint> idleSince_; // in a planned stop, no request left
  bool isExitSent_ = false;
  std::vector<std::variant<LogBatch, AppendDone, AppendFailed, OperatorWrite,
                           OperatorRead, OperatorStatus, OperatorDrain, SnapshotReceived>>
    inbox_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CONFIG_SYSTEM_H_
