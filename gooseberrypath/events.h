// The closed list of events that the core receives from the ports. The time of an event
// is passed beside it.

#ifndef GOOSEBERRYPATH_EVENTS_H_
#define GOOSEBERRYPATH_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/messages.h"
#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

// ---- Callers ----

/// A whole request was read from a caller. Sizes were checked by the port.
struct CallerRequest
{
  RequestId request;
  std::string method; // upper case
  std::string target; // path and query, as sent
  Headers headers;
  SharedBytes body; // holds the charge of the whole request, also if it is empty
};

/// The caller closed its connection before its answer was complete.
struct CallerGone
{
  RequestId request;
};

// ---- Backends ----

/// The connection was refused or could not be made: no byte of the request was sent.
struct AttemptNotSent
{
  AttemptId attempt;
  std::string reason;
};

/// A model engine sent a token.
struct AttemptToken
{
  AttemptId attempt;
  std::string answerId;           // "id" of the chunk, "chatcmpl-<request_id>"
  std::optional<uint64_t> offset; // position in the whole answer, if the engine sends it
  std::string text;
};

/// A model engine ended its answer properly.
struct AttemptFinished
{
  AttemptId attempt;
  std::string finishReason; // "stop", "length"
};

/// A service sent its whole answer, or an engine answered with an error status.
struct AttemptAnswered
{
  AttemptId attempt;
  int status = 0;
  Headers headers;
  SharedBytes body;
};

/// The connection failed after a byte may have been sent: the action may have run.
struct AttemptBroken
{
  AttemptId attempt;
  std::string reason;
};

/// An engine exported the KV cache of an attempt.
struct KvExported
{
  AttemptId attempt;
  std::string handle; // for a new attempt at any engine
};

/// The engine refused the export, or did not answer in time.
struct KvExportFailed
{
  AttemptId attempt;
  std::string reason;
};

/// An engine's or a service's report of its load.
struct LoadReport
{
  std::string address;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint64_t kvUsedTokens = 0;
  uint64_t kvLimitTokens = 0;
  Duration age{}; // how old the figures were when they arrived
};

// ---- Log ----

/// One record read from a stream.
struct LogEntry
{
  Offset offset = 0;
  int64_t timeMs = 0; // time of the append by the log's clock, ms since 1970
  std::string data;
};

/// Records in order of offset, without gaps. An empty batch tells that nothing is new.
struct LogBatch
{
  std::string stream;
  Offset start = 1; // oldest offset that the log keeps
  Offset head = 1;  // the offset that the next append will get
  std::vector<LogEntry> entries;
};

/// A read failed; the port goes on trying.
struct LogReadFailed
{
  std::string stream;
  std::string reason;
};

/// The log answered an append.
struct AppendDone
{
  AppendId append;
  Offset offset = 0;
};

/// The append failed. If mayBeStored is false, the log refused it.
struct AppendFailed
{
  AppendId append;
  bool mayBeStored = true;
  std::string reason;
};

// ---- Platform ----

enum class HostState : uint8_t
{
  Live,
  Leaving,
  Gone,
};

/// One entry of the platform's host list.
struct HostEntry
{
  std::string host;
  HostState state = HostState::Live;
};

/// A complete host list was read.
struct HostList
{
  std::vector<HostEntry> hosts;
};

/// The platform announced that it takes a host back.
struct ReclaimNotice
{
  std::string host;
  Duration timeLeft{};
};

// ---- Peers ----

struct GossipReceived
{
  GossipMessage message;
};

/// A gossip message could not be delivered.
struct GossipFailed
{
  std::string address;
};

/// A peer asks about a claim that this daemon may hold.
struct ClaimAsked
{
  QuestionId question;
  std::string claim;
};

/// The answer to an AskClaim action.
struct ClaimAnswered
{
  QuestionId question;
  ClaimWord word = ClaimWord::Unreachable;
};

/// A peer hands a stream over.
struct HandOverAsked
{
  QuestionId question;
  StreamState state;
};

/// The answer to a HandOverStream action.
struct HandOverAnswered
{
  QuestionId question;
  HandOverWord word = HandOverWord::Unreachable;
};

/// A peer reads a stream from an offset on.
struct StreamAsked
{
  QuestionId question;
  std::string stream; // public id of the request
  uint64_t from = 0;
};

/// The answer to a ReadStream action.
struct StreamAnswered
{
  QuestionId question;
  StreamPart part;
};

/// The answer to an AskSnapshot action. Without an answer there is no event.
struct SnapshotReceived
{
  std::string address;
  std::string record; // an encoded SnapshotRecord; empty: the peer has no state
};

// ---- Operators ----

/// An operator creates, replaces or deletes a resource.
struct OperatorWrite
{
  WriteId write;
  std::string kind;
  std::string name;
  std::optional<Offset> base; // version that the write is based on; none: the current one
  std::string spec;           // JSON object; empty for a deletion
  bool isDelete = false;
  bool isDryRun = false;
};

/// An operator reads resources. With a positive wait the answer comes when the applied
/// offset passes aAfter, or when the wait ends.
struct OperatorRead
{
  WriteId write;
  std::string kind; // empty: all kinds
  std::string name; // empty: all names
  Offset after = 0;
  Duration wait{};
};

struct OperatorStatus
{
  WriteId write;
};

/// Starts a planned stop.
struct OperatorDrain
{
  WriteId write;                  // 0 when a signal or a notice asked for it
  std::optional<Duration> within; // streams that still run are handed over by then
};

using Event =
  std::variant<CallerRequest, CallerGone, AttemptNotSent, AttemptToken, AttemptFinished,
               AttemptAnswered, AttemptBroken, KvExported, KvExportFailed, LoadReport,
               LogBatch, LogReadFailed, AppendDone, AppendFailed, HostList, ReclaimNotice,
               GossipReceived, GossipFailed, ClaimAsked, ClaimAnswered, HandOverAsked,
               HandOverAnswered, StreamAsked, StreamAnswered, SnapshotReceived,
               OperatorWrite, OperatorRead, OperatorStatus, OperatorDrain>;

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_EVENTS_H_
