// The closed list of actions that the core asks the ports to carry out.

#ifndef GOOSEBERRYPATH_ACTIONS_H_
#define GOOSEBERRYPATH_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/messages.h"
#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

// ---- Callers ----

/// Sends a whole answer and ends the request.
struct ReplyWhole
{
  RequestId request;
  int status = 200;
  Headers headers;
  SharedBytes body;
};

/// Sends the head of an event stream.
struct ReplyStreamHead
{
  RequestId request;
  Headers headers;
};

/// Sends one server-sent event.
struct ReplyStreamEvent
{
  RequestId request;
  std::string id;    // "id:" field; empty: left out
  std::string event; // "event:" field; empty: left out
  std::string data;
};

/// Ends an event stream properly.
struct ReplyStreamEnd
{
  RequestId request;
};

// ---- Backends ----

/// Sends a chat-completions request to an engine and reads the answer as a stream.
struct StartModelAttempt
{
  AttemptId attempt;
  std::string address; // "IP:port"
  Headers headers;
  SharedBytes body;
};

/// Sends a request to a service. The port connects first, on a new connection, so that a
/// refused connection proves that nothing was sent.
struct StartServiceAttempt
{
  AttemptId attempt;
  std::string address;
  std::string method;
  std::string target;
  Headers headers;
  SharedBytes body;
  Duration timeout{}; // for the whole answer
};

/// Closes the attempt's connection. No more events come from it.
struct CancelAttempt
{
  AttemptId attempt;
};

/// Asks an engine for the KV cache of an attempt that goes on meanwhile. Answered by
/// exactly one KvExported or KvExportFailed, also after the attempt ended.
struct ExportKv
{
  AttemptId attempt;
  std::string address; // "IP:port"
  std::string name;    // the attempt's name on the wire
  Duration timeout{};  // for the whole call, positive
};

/// The set of backends to ask for load reports; replaces the previous set.
struct WatchLoads
{
  std::vector<std::string> addresses;
};

// ---- Log ----

/// Appends a record to a stream.
struct AppendRecord
{
  AppendId append;
  std::string stream;
  std::string data;
};

// ---- Peers ----

struct SendGossip
{
  std::string address;
  GossipMessage message;
};

/// Asks the holder of a claim about it.
struct AskClaim
{
  QuestionId question;
  std::string address;
  std::string claim;
};

struct AnswerClaimQuestion
{
  QuestionId question;
  ClaimWord word = ClaimWord::NotHeld;
};

/// Asks a peer for its configuration.
struct AskSnapshot
{
  std::string address;
};

/// Asks a peer to take a stream over.
struct HandOverStream
{
  QuestionId question;
  std::string address;
  StreamState state;
};

struct AnswerHandOver
{
  QuestionId question;
  HandOverWord word = HandOverWord::Refused;
};

/// Reads a stream of a peer. The peer answers when it has a token at the offset, when the
/// stream ended, or after a short wait.
struct ReadStream
{
  QuestionId question;
  std::string address;
  std::string stream; // public id of the request
  uint64_t from = 0;
};

struct AnswerStreamQuestion
{
  QuestionId question;
  StreamPart part;
};

// ---- Operators ----

struct OperatorReply
{
  WriteId write;
  int status = 200;
  std::string body; // JSON
};

// ---- Observation ----

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Writes a log line. The part is the fixed prefix, for example "claims".
struct WriteLog
{
  LogLevel level = LogLevel::Info;
  std::string part;
  std::string text;
};

/// Writes a finished span of a trace.
struct WriteSpan
{
  std::string trace;  // 32 hexadecimal digits
  std::string span;   // 16 hexadecimal digits
  std::string parent; // 16 hexadecimal digits or empty
  std::string name;   // the hop: "request", "claim", "attempt"
  std::string request;
  std::string attempt; // empty outside attempts
  std::string note;    // backend, result
  TimePoint start;
  TimePoint end;
};

/// Exits the process with code 0; the planned stop is complete.
struct ExitProcess
{};

using Action =
  std::variant<ReplyWhole, ReplyStreamHead, ReplyStreamEvent, ReplyStreamEnd,
               StartModelAttempt, StartServiceAttempt, CancelAttempt, ExportKv,
               WatchLoads, AppendRecord, SendGossip, AskClaim, AnswerClaimQuestion,
               AskSnapshot, HandOverStream, AnswerHandOver, ReadStream,
               AnswerStreamQuestion, OperatorReply, WriteLog, WriteSpan, ExitProcess>;

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_ACTIONS_H_
