// The events that the entry core receives and the actions that it returns.

#ifndef ENTRY_MESSAGES_H_
#define ENTRY_MESSAGES_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "entry/duty_state.h"
#include "entry/model.h"
#include "entry/peer_digest.h"
#include "entry/permit_message.h"
#include "entry/placement_message.h"
#include "entry/topic_freshness.h"
#include "gooseberrypath/actions.h"

namespace gooseberrypath::entry {

// Events of the platform's store.

/// How a topic of the store was read.
enum class StoreReadKind : uint8_t
{
  LongPoll, // waits in the store for the next record
  Poll,     // asks for the records since the last read
  Check,    // asks for what a long poll may have missed
  Snapshot, // the newest record of each key
};

/// Returns the name of the kind for log lines.
constexpr std::string_view NameOf(StoreReadKind aKind)
{
  switch (aKind) {
    case StoreReadKind::LongPoll:
      return "long_poll";
    case StoreReadKind::Poll:
      return "poll";
    case StoreReadKind::Check:
      return "check";
    case StoreReadKind::Snapshot:
      return "snapshot";
  }
  return {};
}

/// A read of a topic of the store.
struct StoreRead
{
  StoreTopic topic = StoreTopic::Configuration;
  StoreReadKind kind = StoreReadKind::Poll;
  Duration took{}; // from its start to its end
};

/// A configuration was read. Versions older than the one in force are ignored.
struct ConfigurationRead
{
  ConfigurationPtr configuration;
  StoreRead read{};
};

/// A topic was read, and the events of its records were emitted. All that the store had
/// acknowledged this long ago is known.
struct TopicConfirmed
{
  StoreRead read;
  Duration age{};
};

/// A read of a topic failed or was given up.
struct TopicReadFailed
{
  StoreRead read;
  std::string reason;
};

/// Changes of the fleet were read, in order. A snapshot replaces the known fleet.
struct FleetRead
{
  std::vector<FleetChange> changes;
  bool isSnapshot = false;
  uint64_t next = 0; // offset after the last record
  uint64_t era = 0;  // of the store that was read
  /// Of a snapshot: offset from which on it is exact. Its later pages may have newer
  /// entries than the first one.
  uint64_t exactFrom = 0;
  /// Number of the ConfirmFleet before which the read began; 0: none.
  uint64_t confirms = 0;
  bool followsFailure = false; // the call before failed, perhaps in a short outage
};

/// The store became reachable or unreachable.
struct StoreReachabilityChanged
{
  bool isReachable = false;
  std::string reason;
};

/// The era of the store is known. It rises each time that the store comes back from a
/// copy, without what was written since that copy. Offsets compare only within an era.
struct StoreEraRead
{
  uint64_t era = 0;
};

/// A record of the store could not be decoded. The previous value stays in use.
struct RecordIgnored
{
  std::string event; // event name of the log line
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

/// After CloseIdleCallerConnections or StopAccepting, no caller is connected any more.
struct AllCallersDisconnected
{};

// Events of attempts at backends. AttemptNotSent, AttemptWithdrawn, AttemptAnswered,
// StreamEnded and AttemptBroken are the last event of an attempt.

/// The attempt failed before any byte of the call reached the backend.
struct AttemptNotSent
{
  AttemptId attempt;
  std::string reason;
};

/// The attempt was withdrawn before any byte of the call reached the backend.
struct AttemptWithdrawn
{
  AttemptId attempt;
};

/// The connection is established and the call is being written. The core may handle other
/// events and timers before this one, so an attempt without it may have been sent
/// nevertheless; only AttemptNotSent and AttemptWithdrawn show that it was not.
struct AttemptSent
{
  AttemptId attempt;
};

/// The complete response was received.
struct AttemptAnswered
{
  AttemptId attempt;
  ResponseHead head;
  SharedBytes body;
};

/// The head of a streaming response was received.
struct StreamStarted
{
  AttemptId attempt;
  ResponseHead head;
};

/// One or more complete events of a stream were received.
struct StreamEvents
{
  AttemptId attempt;
  std::string bytes;
  std::string lastId; // id of the last event; empty: it has none
};

/// The engine completed the stream.
struct StreamEnded
{
  AttemptId attempt;
  ReceivedBody received{};
};

enum class BreakCause : uint8_t
{
  Malformed, // the response is not valid
  Oversized, // the response exceeds the size limit
  Closed,    // the backend closed the connection
  Reset,     // the backend or a host on the way reset it
  Silent,    // the backend acknowledged nothing for the timeout of the connection
};

/// Returns the name of the cause for log lines.
constexpr std::string_view NameOf(BreakCause aCause)
{
  switch (aCause) {
    case BreakCause::Malformed:
      return "malformed";
    case BreakCause::Oversized:
      return "oversized";
    case BreakCause::Closed:
      return "closed";
    case BreakCause::Reset:
      return "reset";
    case BreakCause::Silent:
      return "silent";
  }
  return {};
}

/// Tells whether the connection ended, which shows that the backend may have ended too.
constexpr bool IsConnectionEnd(BreakCause aCause)
{
  return aCause == BreakCause::Closed || aCause == BreakCause::Reset;
}

/// The connection broke or the response is malformed. The call may have been executed.
struct AttemptBroken
{
  AttemptId attempt;
  std::string reason;
  BreakCause cause = BreakCause::Malformed;
  ReceivedBody received{};
};

/// An idle connection to a backend was closed because it received bytes without a call.
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

/// A peer asks for permits.
struct PermitRequestReceived
{
  std::string from; // "IP:port"
  PermitRequest request;
};

/// A peer answers a request for permits.
struct PermitReplyReceived
{
  PermitReply reply;
};

/// A peer asks for the placement of a call.
struct PlaceRequestReceived
{
  std::string from; // "IP:port"
  PlaceRequest request;
};

/// A peer answers a request for a placement.
struct PlaceReplyReceived
{
  std::string from; // "IP:port"
  PlaceReply reply;
};

/// A placement or a request for one ended.
struct PlaceReleaseReceived
{
  PlaceRelease release;
};

/// The gossip addresses of the daemons that are registered in the store.
struct PeerAddressesRead
{
  std::vector<std::string> addresses;
};

/// The shared state of the duties was read from the store, or reading it failed.
struct DutyStateRead
{
  bool isRead = false; // false: the store did not respond
  std::string reason;  // if not read
  std::string text;    // empty: no state was written yet
  uint64_t end = 0;    // expected offset of the next write
  uint64_t era = 0;    // of the store that was read
};

enum class WriteOutcome : uint8_t
{
  Written,
  Conflict, // another write was applied first
  Unknown,  // no response; the write may still be applied
};

struct DutyStateWritten
{
  WriteOutcome outcome = WriteOutcome::Unknown;
  std::string reason; // unless Written
  uint64_t end = 0;   // expected offset of the next write, if Written
};

struct UsageSent
{
  uint64_t window = 0;
  bool isAccepted = false;
};

/// The evidence about prompt parts of all daemons was read from the store, one text each.
struct PartEvidenceRead
{
  std::vector<std::string> texts;
};

/// The usage counts of all daemons were read from the store, one text each.
struct UsageRead
{
  std::vector<std::string> texts;
};

struct OrderSent
{
  FleetOrder order;
  int status = 0; // HTTP status; 0: no response
};

/// A planned stop of the process was requested.
struct StopRequested
{};

using Event = std::variant<
  ConfigurationRead, TopicConfirmed, TopicReadFailed, FleetRead, StoreReachabilityChanged,
  StoreEraRead, RecordIgnored, CallArrived, CallerDisconnected, AllCallersDisconnected,
  AttemptNotSent, AttemptWithdrawn, AttemptSent, AttemptAnswered, StreamStarted,
  StreamEvents, StreamEnded, AttemptBroken, UnsolicitedBytes, DigestReceived,
  PermitRequestReceived, PermitReplyReceived, PlaceRequestReceived, PlaceReplyReceived,
  PlaceReleaseReceived, PeerAddressesRead, PartEvidenceRead, DutyStateRead,
  DutyStateWritten, UsageSent, UsageRead, OrderSent, StopRequested>;

// Actions towards callers.

/// Sends a complete response. The framing is Length or CloseDelimited.
struct WriteResponse
{
  ExchangeId exchange;
  int status = 0;
  Headers headers;
  SharedBytes body;
  bool closesConnection = false; // after the response
  BodyFraming framing = BodyFraming::Length;
};

/// Sends the head of a streaming response. The framing is Chunked or CloseDelimited.
struct WriteStreamHead
{
  ExchangeId exchange;
  int status = 0;
  Headers headers;
  BodyFraming framing = BodyFraming::Chunked;
};

/// Sends a part of the body of a streaming response.
struct WriteStreamBytes
{
  ExchangeId exchange;
  std::string bytes;
};

/// Completes a streaming response.
struct FinishStream
{
  ExchangeId exchange;
};

/// Ends the connection so that the caller detects an incomplete response: closes it, or
/// resets it if its end would mark the end of the body.
struct AbortResponse
{
  ExchangeId exchange;
};

/// Applies new limits to connections of callers.
struct SetCallerLimits
{
  CallerLimits limits;
};

/// Sets the readiness that the load balancer checks.
struct SetReady
{
  bool isReady = false;
};

/// From now on, closes connections of callers as soon as they are idle.
struct CloseIdleCallerConnections
{};

/// Accepts the connections that are already in the backlog and no later ones.
struct StopAccepting
{};

// Actions towards backends.

/// Connects to a backend and sends a call.
struct StartAttempt
{
  AttemptId attempt;
  std::string backend; // id of the backend that must answer
  std::string address;
  std::string method;
  std::string target;
  Headers headers;
  SharedBytes body;
  std::string requestId;
  std::string team;                    // empty: none
  std::string lastEventId;             // resume after this event; empty: from the start
  Duration timeLeft{};                 // the backend gives up after this time
  TimePoint sendBy = TimePoint::max(); // not sent at all after this time
  uint32_t urgency = 5;                // 0 (most urgent) to 9
  bool isModelRequest = false;
  bool isStream = false;
  bool mayRetry = false; // may use an idle connection that could break
};

/// Aborts an attempt. It has no further events. The backend may have executed the call.
struct CancelAttempt
{
  AttemptId attempt;
};

/// Aborts an attempt if no byte of its call was written, which AttemptWithdrawn reports.
/// Otherwise the attempt goes on.
struct WithdrawAttempt
{
  AttemptId attempt;
};

/// Closes the idle connections to an address that no backend uses any more.
struct CloseIdleBackendConnections
{
  std::string address;
};

// Other actions.

/// Sends a digest to peers.
struct SendDigest
{
  std::vector<std::string> to; // "IP:port"
  PeerDigest digest;
};

/// Sends a permit message to a peer.
struct SendPermitMessage
{
  std::string to; // "IP:port"
  PermitMessage message;
};

/// Sends a placement message to a peer.
struct SendPlacementMessage
{
  std::string to; // "IP:port"
  PlacementMessage message;
};

/// Reads the fleet from the store: a peer knows a change at this offset.
struct ReadFleet
{
  uint64_t offset = 0;
};

/// Reads the fleet from the store soon. A FleetRead with this number follows also if
/// there are no changes.
struct ConfirmFleet
{
  uint64_t number = 0;
};

/// Reads the configuration from the store, besides the long poll. A read for an earlier
/// action that has not ended is given up. TopicConfirmed or TopicReadFailed of the kind
/// Check follows within the timeout.
struct ReadConfiguration
{
  Duration timeout{};
};

/// Reads the fleet now, unless a read is in progress or was refused lately.
struct RefreshFleet
{};

/// Skips the records before this offset: a peer sent their changes.
struct SkipFleetRecords
{
  uint64_t next = 0;
  uint64_t era = 0; // of the store in which the offset is valid
};

/// A peer knows that the store has come to this era.
struct NoteStoreEra
{
  uint64_t era = 0;
};

/// Sets the number of live daemons, including this one, that read the store and share
/// changes by gossip.
struct SetReaderCount
{
  size_t count = 1;
};

struct ReadDutyState
{};

/// Writes the state of the duties unless another write was applied since the offset.
struct WriteDutyState
{
  std::string text;
  uint64_t at = 0;  // expected offset of this write
  uint64_t era = 0; // of the store in which the offset is valid
};

/// Writes this daemon's usage counts to the store, replacing its earlier ones.
struct WriteUsage
{
  std::string text;
};

struct ReadUsage
{};

/// Writes this daemon's evidence about prompt parts to the store, replacing its earlier
/// one.
struct WritePartEvidence
{
  std::string text;
};

struct ReadPartEvidence
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

/// Writes one structured log line.
struct WriteEvent
{
  LogLevel level = LogLevel::Info;
  std::string event;
  std::string request; // id of the call; empty: none
  std::vector<std::pair<std::string, std::string>> fields{};
};

using Action =
  std::variant<WriteResponse, WriteStreamHead, WriteStreamBytes, FinishStream,
               AbortResponse, SetCallerLimits, SetReady, CloseIdleCallerConnections,
               StopAccepting, StartAttempt, CancelAttempt, WithdrawAttempt,
               CloseIdleBackendConnections, SendDigest, SendPermitMessage,
               SendPlacementMessage, ReadFleet, RefreshFleet, ConfirmFleet,
               ReadConfiguration, SkipFleetRecords, NoteStoreEra, SetReaderCount,
               ReadDutyState, WriteDutyState, WriteUsage, ReadUsage, WritePartEvidence,
               ReadPartEvidence, SendUsage, SendOrder, WriteEvent, ExitProcess>;

} // namespace gooseberrypath::entry

#endif // ENTRY_MESSAGES_H_
