// The platform's store on virtual time, with outages. Daemons reach it with the real
// store port, through a kj network whose connections are pipes.
//
//   SimulatedStore store(timer);
//   store.Add({ .form = OutageForm::Silent, .from = 5s, .to = 9s });
//   StorePort port({ .network = store.NetworkOf(0), .timer = timer, ... });
//   store.Write("keyed.op", "config", text);

#ifndef ENTRY_TESTING_SIMULATED_STORE_H_
#define ENTRY_TESTING_SIMULATED_STORE_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "gooseberrypath/task_errors.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// What calls meet in an outage. Calls from before it that wait for a record are answered
/// after it, unless their connection is mute.
enum class OutageForm : uint8_t
{
  Silent,          // calls are read and never answered
  Mute,            // so are all later ones on connections that were open in the outage
  Refused,         // connections are refused, calls on open ones reset them
  Reset,           // connections are accepted and reset by each call
  HalfHead,        // half of a response's head comes, and nothing more
  HalfBody,        // half of a response's body comes, and nothing more
  Unavailable,     // status 503
  TooManyRequests, // status 429
  Late,            // answers come a second late
  EndlessSnapshot, // the history is gone, and the last page of a snapshot never comes
};

inline constexpr std::array kOutageForms = {
  OutageForm::Silent,      OutageForm::Mute,
  OutageForm::Refused,     OutageForm::Reset,
  OutageForm::HalfHead,    OutageForm::HalfBody,
  OutageForm::Unavailable, OutageForm::TooManyRequests,
  OutageForm::Late,        OutageForm::EndlessSnapshot,
};

std::string_view NameOf(OutageForm aForm);

/// An outage. The times count from the start of the timer.
struct Outage
{
  OutageForm form = OutageForm::Silent;
  Duration from{};
  Duration to{};
  std::optional<size_t> daemon; // the only one that meets it; empty: all do
};

class SimulatedStore
{
public:
  explicit SimulatedStore(kj::TimerImpl& aTimer);
  ~SimulatedStore();

  SimulatedStore(const SimulatedStore&) = delete;
  SimulatedStore& operator=(const SimulatedStore&) = delete;

  void Add(const Outage& aOutage) { outages_.push_back(aOutage); }

  /// Returns the network of a daemon, in which each address is the store.
  kj::Network& NetworkOf(size_t aDaemon);

  /// Appends a record and answers the reads that wait for it.
  void Write(const std::string& aTopic, const std::string& aKey,
             const std::string& aValue);

  /// Returns the number of calls that came from this time on, by name of the topic.
  std::map<std::string, size_t> CallsSince(Duration aTime) const;

private:
  class Network;
  struct Connection;

  struct Record
  {
    std::string key;
    std::string value;
  };

  /// The records of a topic and the reads that wait for the next one.
  struct Topic
  {
    std::vector<Record> records;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting;
  };

  /// A call that was read whole.
  struct StoreCall
  {
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
  };

  struct CountedCall
  {
    Duration at{};
    std::string topic;
  };

  Duration Now() const;
  const Outage* OutageOf(size_t aDaemon) const;

  /// Tells whether the connection was open in an outage after which it stays mute.
  bool IsMute(const Connection& aConnection) const;

  /// Connects a daemon. Throws if connections are refused.
  kj::Own<kj::AsyncIoStream> Connect(size_t aDaemon);

  /// Answers the calls of a connection one after the other.
  kj::Promise<void> Serve(Connection& aConnection);
  kj::Promise<void> Answer(Connection& aConnection, const StoreCall& aCall);
  kj::Promise<void> AnswerInOutage(Connection& aConnection, const StoreCall& aCall,
                                   OutageForm aForm);

  /// Waits for a record that a long poll asks for, and for the end of an outage.
  kj::Promise<void> WaitForRecord(const Connection& aConnection, const StoreCall& aCall);
  std::string BodyOf(const StoreCall& aCall);
  std::string SnapshotOf(const Topic& aTopic) const;
  kj::Promise<void> Write(Connection& aConnection, std::string aBytes);

  kj::TimerImpl& timer_;
  const kj::TimePoint start_;
  std::vector<Outage> outages_;
  std::map<std::string, Topic> topics_;
  std::map<size_t, std::unique_ptr<Network>> networks_;
  std::vector<CountedCall> calls_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_SIMULATED_STORE_H_
