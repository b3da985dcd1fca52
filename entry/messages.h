// The closed variants of events that the entry core receives and actions that it returns.

#ifndef ENTRY_MESSAGES_H_
#define ENTRY_MESSAGES_H_

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "entry/duty_state.h"
#include "entry/model.h"
#include "entry/peer_digest.h"
#include "gooseberrypath/actions.h"

namespace gooseberrypath::entry {

// Events of the platform's store.

/// A configuration was read. Older versions than the one in force are ignored.
struct ConfigurationRead
{
  ConfigurationPtr configuration;
};

/// Entries of the fleet were read, in order. A whole list replaces what was known.
struct FleetRead
{
  std::vector<FleetChange> changes;
  bool isSnapshot = false;
  uint64_t next = 0; // the offset behind what was read
};

/// The store answers again, or it does not answer.
struct StoreReachabilityChanged
{
  bool isReachable = false;
  std::string reason;
};

/// A record of the store could not be read; what was known stays.
struct RecordIgnored
{
  std::string event; // name of the log line
  std::string key;
  std::string reason;
};

// Events of callers.

struct CallArrived
{
  ExchangeId exchange;
  Call call;
};

struct CallerDisconnected
{
  ExchangeId exchange;
};

/// No connection of a caller is open, after CloseIdleCallerConnections or StopAccepting.
struct AllCallersDisconnected
{};

// Events of attempts at backends. After AttemptNotSent, AttemptAnswered, StreamEnded or
// AttemptBroken, an attempt has no further events.

/// No byte of the call reached the backend.
struct AttemptNotSent
{
  AttemptId attempt;
  std::string reason;
};

/// The connection stands and the call is being written. It is emitted in the turn in
/// which the first byte is handed over, so an attempt without it may still go elsewhere.
struct AttemptSent
{
  AttemptId attempt;
};

/// The whole answer is there.
struct AttemptAnswered
{
  AttemptId attempt;
  ResponseHead head;
  std::string body;
};

/// The head of a stream is there.
struct StreamStarted
{
  AttemptId attempt;
  ResponseHead head;
};

/// One or more whole events of a stream.
struct StreamEvents
{
  AttemptId attempt;
  std::string bytes;
  std::string lastId; // empty: the events have no id
};

/// The stream ended as its engine meant it.
struct StreamEnded
{
  AttemptId attempt;
};

/// The connection broke or the answer is malformed; the call may have run.
struct AttemptBroken
{
  AttemptId attempt;
  std::string reason;
  bool isOversized = false; // more bytes came than any answer has
};

/// An idle connection to a backend was closed because bytes came that belong to no call.
struct UnsolicitedBytes
{
  std::string address;
};

// Other events.

struct DigestReceived
{
  std::string from; // "IP:port"
  PeerDigest digest;
};

/// Addresses of daemons that announced themselves in the store.
struct PeersListed
{
  std::vector<std::string> addresses;
};

/// The state of the duties was read; `end` is the offset for the next write.
struct DutyStateRead
{
  bool isRead = false; // false: the store did not answer
  std::string reason;  // if not read
  std::string text;    // empty: there is none yet
  uint64_t end = 0;
};

enum class WriteOutcome : uint8_t
{
  Written,
  Conflict, // another write came first
  Unknown,  // no answer; it may be written later
};

struct DutyStateWritten
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  std::string reason; // unless Written
  uint64_t end = 0;   // offset for the next write, when Written
};

struct UsageSent
{
  uint64_t window = 0;
  bool isAccepted = false;
};

/// The counts that daemons left in the store, one text each.
struct UsageRead
{
  std::vector<std::string> texts;
};

struct OrderSent
{
  FleetOrder order;
  int status = 0; // 0: no answer
};

/// The process was asked to stop.
struct StopRequested
{};

using Event =
  std::variant<ConfigurationRead, FleetRead, StoreReachabilityChanged, RecordIgnored,
               CallArrived, CallerDisconnected, AllCallersDisconnected, AttemptNotSent,
               AttemptSent, AttemptAnswered, StreamStarted, StreamEvents, StreamEnded,
               AttemptBroken, UnsolicitedBytes, DigestReceived, PeersListed,
               DutyStateRead, DutyStateWritten, UsageSent, UsageRead, OrderSent,
               StopRequested>;

// Actions towards callers.

/// Sends a whole answer.
struct WriteResponse
{
  ExchangeId exchange;
  int status = 0;
  Headers headers;
  std::string body;
  bool closesConnection = false; // the connection is closed after it
};

struct WriteStreamHead
{
  ExchangeId exchange;
  int status = 0;
  Headers headers;
};

struct WriteStreamBytes
{
  ExchangeId exchange;
  std::string bytes;
};

struct FinishStream
{
  ExchangeId exchange;
};

/// Closes the connection so that the answer does not look complete.
struct AbortResponse
{
  ExchangeId exchange;
};

/// New limits are in force.
struct SetCallerLimits
{
  CallerLimits limits;
};

/// Whether the balancer may send new connections.
struct SetReady
{
  bool isReady = false;
};

/// Idle connections of callers are closed from now on, after their answers.
struct CloseIdleCallerConnections
{};

/// No connection is accepted from now on but those that are already waiting.
struct StopAccepting
{};

// Actions towards backends.

struct StartAttempt
{
  AttemptId attempt;
  std::string backend; // the answer must come from the backend with this id
  std::string address;
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string requestId;
  std::string team;                    // empty: none
  std::string lastEventId;             // empty: from the start
  Duration timeLeft{};                 // the backend stops then
  TimePoint sendBy = TimePoint::max(); // nothing may be sent after it
  uint32_t urgency = 5;                // 0 to 9, 0 is first
  bool isModelRequest = false;
  bool isStream = false;
  bool mayRetry = false; // a kept connection that breaks does no harm
};

struct CancelAttempt
{
  AttemptId attempt;
};

/// Closes idle connections to an address that is no longer used.
struct CloseIdleBackendConnections
{
  std::string address;
};

// Other actions.

struct SendDigest
{
  std::vector<std::string> to;
  PeerDigest digest;
};

/// A peer has read the fleet up to a change at this offset.
struct ReadFleet
{
  uint64_t offset = 0;
};

/// A peer has a newer configuration in force.
struct ReadConfiguration
{
  uint64_t version = 0;
};

/// A peer told what the store holds before this offset; it need not be read.
struct SkipFleetRecords
{
  uint64_t next = 0;
};

/// The number of daemons that read the store and tell this one, itself included, changed.
struct SetReaderCount
{
  size_t count = 1;
};

struct ReadDutyState
{};

/// Writes the state if no other write came since the offset.
struct WriteDutyState
{
  std::string text;
  uint64_t at = 0;
};

/// Leaves this daemon's counts in the store, in place of its earlier ones.
struct WriteUsage
{
  std::string text;
};

struct ReadUsage
{};

struct SendUsage
{
  uint64_t token = 0; // fencing token
  UsageReport report;
};

struct SendOrder
{
  uint64_t token = 0; // fencing token
  FleetOrder order;
};

/// One structured line of the log: a name of what happened and fields.
struct WriteEvent
{
  LogLevel level = LogLevel::Info;
  std::string event;
  std::string request; // empty: it concerns no single call
  std::vector<std::pair<std::string, std::string>> fields{};
};

using Action =
  std::variant<WriteResponse, WriteStreamHead, WriteStreamBytes, FinishStream,
               AbortResponse, SetCallerLimits, SetReady, CloseIdleCallerConnections,
               StopAccepting, StartAttempt, CancelAttempt, CloseIdleBackendConnections,
               SendDigest, ReadFleet, ReadConfiguration, SkipFleetRecords, SetReaderCount,
               ReadDutyState, WriteDutyState, WriteUsage, ReadUsage, SendUsage, SendOrder,
               WriteEvent, ExitProcess>;

} // namespace gooseberrypath::entry

#endif // ENTRY_MESSAGES_H_
