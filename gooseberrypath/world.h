// All state of the decision core: the tables that the systems run over, the outbox of
// actions, counters, timers and randomness. Systems share nothing else.

#ifndef GOOSEBERRYPATH_WORLD_H_
#define GOOSEBERRYPATH_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/config_log.h"
#include "gooseberrypath/counters.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/events.h"
#include "gooseberrypath/job_records.h"
#include "gooseberrypath/messages.h"
#include "gooseberrypath/resources.h"
#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/stream_rows.h"
#include "gooseberrypath/table.h"
#include "gooseberrypath/timer_service.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// What a daemon knows about itself from its settings, and the times it works with.
struct CoreOptions
{
  std::string daemon = "d0"; // unique among the daemons
  uint64_t incarnation = 1;  // start time in ms since 1970
  std::string peerAddress;   // "IP:port"
  std::string zone;
  std::vector<std::string> seedPeers; // peer addresses from the settings
  uint64_t seed = 1;                  // for random choices
  Duration gossipInterval = std::chrono::milliseconds(500);
  Duration suspicionTime = std::chrono::seconds(3); // without news: unreachable
  Duration logDownAfter = std::chrono::seconds(1);  // without contact: log out of reach
  Duration claimTimeout = std::chrono::seconds(2);  // for the whole claim
  Duration writeTimeout = std::chrono::seconds(5);  // for an operator's write
  Duration appendRetry = std::chrono::milliseconds(200); // before an append is repeated
  Duration refusedPause = std::chrono::seconds(1);  // a refusing backend is passed over
  Duration drainDelay = std::chrono::seconds(2);    // from not ready to refusing
  Duration hostReturn = std::chrono::seconds(30);   // after a notice, before new use
  Duration jobLeaseTime = std::chrono::seconds(15); // a silent holder is superseded
  Duration jobTakeoverSpread = std::chrono::seconds(5); // largest random delay before it
  Duration jobCheckpointInterval = std::chrono::seconds(5);
  Duration jobWindow = std::chrono::hours(24);      // ended jobs are kept, in log time
  size_t maxRequests = 4096;                        // running at once; more: Overloaded
  std::string host;                                 // of this daemon, for reclaim notices
  Duration reattachTime = std::chrono::seconds(10); // streams are kept without a caller
  size_t maxKeptStreams = 1024;
  size_t maxKeptStreamBytes = size_t{ 8 } * 1024 * 1024;
};

/// The answer of a finished action.
struct StoredAnswer
{
  int status = 0;
  Headers headers;
  SharedBytes body;

  bool operator==(const StoredAnswer& aOther) const
  {
    return status == aOther.status && headers == aOther.headers &&
           body == aOther.body.View();
  }
};

/// A chat-completions request as far as routing needs it.
struct ChatRequest
{
  SharedBytes json; // the body as sent by the caller
  bool streams = false;
  uint64_t maxTokens = 0; // 0: not given
  std::string model;
};

/// Stages of a request.
enum class RequestStage : uint8_t
{
  AwaitingClaim, // ClaimSystem works on it
  AwaitingJob,   // JobSystem queues it
  Ready,         // may be dispatched
  Running,       // an attempt runs
  HandingOver,   // HandOverSystem offers it to peers
  Decided,       // `decision` holds the final answer, which DispatchSystem sends
};

/// The final answer of a request that needs no attempt.
using Decision = std::variant<Error, StoredAnswer>;

/// A request that is being served by this daemon.
struct RequestRow
{
  CallerRequest caller;
  std::string publicId; // X-Request-Id
  std::string trace;    // trace id
  std::string span;     // span of this request
  std::string parent;   // the caller's span
  std::string service;
  std::string team;
  std::string key; // Idempotency-Key
  ServiceKind kind = ServiceKind::Plain;
  bool idempotent = false;
  TimePoint arrived;
  TimePoint deadline;
  RequestStage stage = RequestStage::Ready;
  bool callerGone = false;
  std::string claim;      // id of the admitted claim; empty: none needed
  Offset claimOffset = 0; // offset of the admitted claim, a fencing number
  std::optional<Decision> decision;

  // Model requests.
  ChatRequest chat;
  std::vector<std::string> tokens; // received so far
  std::string kvHandle;  // exported KV cache for the next attempt, until its first token
  size_t tokenBytes = 0; // in tokens
  TimePoint keptUntil{}; // cancelled then, if callerGone
  bool headSent = false;
  std::string job; // id of the queued request that this row runs; it has no caller

  AttemptId attempt;     // the running attempt; 0: none
  uint32_t attempts = 0; // started so far
  uint32_t uncountedAttempts =
    0;                         // of these, ended by no failure: maxAttempts ignores them
  std::set<std::string> avoid; // backends that failed this request
};

/// A running attempt.
struct AttemptRow
{
  RequestId request;
  std::string backend; // id in the backend table
  std::string span;
  TimePoint started;
  TimePoint lastToken;
  uint64_t firstOffset = 0; // tokens received before this attempt
  bool isExporting = false; // an export of its KV cache was asked for
  std::string reason;       // why other backends were left out; empty: none were
};

/// Key of an action: service and idempotency key.
using ActionId = std::pair<std::string, std::string>;

/// What the log says about an action.
struct ActionRow
{
  enum class State : uint8_t
  {
    Claimed,
    Done,
    Unknown,
  };
  State state = State::Claimed;
  std::string claim;
  std::string bodyHash;
  std::string holder; // daemon
  uint64_t holderIncarnation = 0;
  std::string holderAddress;
  Offset offset = 0; // the row can be rebuilt from the records at and after this offset
  Offset claimOffset = 0;
  int64_t claimedMs = 0; // log time
  int64_t windowMs = 0;  // the row is dropped at log time claimedMs + windowMs
  StoredAnswer answer;   // when Done

  bool operator==(const ActionRow&) const = default;
};

/// How the holder of a claim ended it; drained by ClaimSystem.
struct ClaimEnd
{
  enum class How : uint8_t
  {
    Abandoned, // never dispatched
    Done,
    Unknown,
  };
  ActionId action;
  std::string claim;
  How how = How::Unknown;
  StoredAnswer answer;
};

/// What the log says about a queued request.
struct JobRow
{
  enum class State : uint8_t
  {
    Proposed, // not accepted yet and never run in this state
    Queued,   // released by its holder
    Running,
    Done,
    Failed,
    Cancelled,
  };
  State state = State::Proposed;
  JobRecord proposal;
  std::string holder; // daemon; of a proposed job the daemon that proposed it
  uint64_t holderIncarnation = 0;
  Offset lease = 0; // fencing token of the newest lease; 0: none
  std::vector<std::string> tokens;
  std::string finishReason; // when Done
  std::string error;        // JSON error object, when Failed
  int64_t createdMs = 0;    // log time
  int64_t endedMs = 0;      // log time; the row is dropped after the window
  Offset revision = 0;      // newest record that changed the row
  Offset offset = 0; // the row can be rebuilt from the records at and after this offset

  bool HasEnded() const
  {
    return state == State::Done || state == State::Failed || state == State::Cancelled;
  }

  bool operator==(const JobRow&) const = default;
};

/// How a run of a queued request ended; drained by JobSystem.
struct JobEnd
{
  std::string job;
  std::vector<std::string> tokens; // all
  std::string finishReason;        // when it succeeded
  std::optional<Error> error;
  bool isFinal = true; // false: another run may succeed
};

/// A server of a service as this daemon sees it. Its id is "service/name".
struct BackendRow
{
  std::string service;
  BackendSpec spec;
  bool leaving = false;
  bool gone = false;           // the host list says that the host does not exist
  TimePoint refusedUntil{};    // passed over until then
  uint32_t inFlight = 0;       // own attempts
  uint64_t inFlightTokens = 0; // tokens that own attempts are expected to need
  std::optional<LoadReport> load;
  TimePoint loadAt{}; // when the figures were taken
};

/// What this daemon knows about a host.
struct HostRow
{
  bool leaving = false;
  uint64_t sequence = 0; // of the newest sign
  TimePoint leavingSince{};
  HostState listed = HostState::Live;
};

/// A daemon as known from gossip.
struct MemberRow
{
  MemberDigest digest;
  TimePoint heard; // when the heartbeat last grew
};

/// What is left of a team's share of its request rate.
struct TeamBucket
{
  double requests = 0;
  TimePoint filled{};
};

/// How far a stream has been read.
struct StreamRow
{
  Offset next = 1;       // the offset to be read next
  Offset targetHead = 0; // head at the first contact; reached: caught up
  bool contacted = false;
  TimePoint lastContact{};
};

/// The state of the core.
struct World
{
  using Options = CoreOptions;
  using Event = gooseberrypath::Event;
  using Action = gooseberrypath::Action;

  explicit World(CoreOptions aOptions, TimePoint aNow)
    : options(std::move(aOptions))
    , started(aNow)
    , timers(aNow)
    , random(options.seed)
  {
  }

  const CoreOptions options;
  const TimePoint started;
  TimerService timers;
  std::mt19937_64 random;
  Counters counters;
  std::vector<Action> outbox;

  DaemonState state = DaemonState::Starting;
  TimePoint drainStarted{};
  bool refusesRequests = false;        // late part of a planned stop
  std::optional<TimePoint> handOverAt; // for streams that still run

  std::map<std::string, StreamRow, std::less<>> streams;
  ResourceTable resources;
  ConfigLog configLog;
  Offset appliedConfig = 0;
  /// Records were removed before they were read; a snapshot record is awaited.
  bool awaitsConfigSnapshot = false;
  /// The configuration is a peer's, and the log has not answered yet.
  bool usesPeerConfig = false;
  Table<std::string, BackendRow> backends;
  Table<std::string, HostRow> hosts;
  uint64_t hostsRevision = 0; // grows with each change in `hosts`
  Table<std::string, MemberRow> members;
  Table<std::string, TeamBucket> teamBuckets;
  /// Addresses of daemons that were heard since the start.
  std::set<std::string, std::less<>> heardAddresses;
  size_t daemonsReported = 0; // largest number of daemons that a peer told recently
  Table<RequestId, RequestRow> requests;
  /// Requests whose stage became Ready or Decided; drained by DispatchSystem.
  std::deque<RequestId> dispatchQueue;
  Table<AttemptId, AttemptRow> attempts;
  Table<std::string, EndedStreamRow> endedStreams;
  Table<RequestId, StreamReaderRow> streamReaders;
  Table<ActionId, ActionRow> actions;
  std::deque<ClaimEnd> claimEnds; // from DispatchSystem to ClaimSystem
  size_t unrecordedEnds = 0;      // ends of claims that are not in the log yet
  Table<std::string, JobRow> jobs;
  std::deque<JobEnd> jobEnds; // from DispatchSystem to JobSystem
  size_t heldJobs = 0;        // jobs with an own lease; they delay the planned stop
  /// Hosts about which there is news to spread; drained by MembershipSystem.
  std::vector<HostNews> hostNews;

  uint64_t lastId = 0; // for all strong ids that the core makes

  /// Returns the time of the current tick.
  TimePoint Now() const { return timers.Now(); }

  /// Tells whether a system left work for a system that has already run in this tick.
  bool HasWork() const
  {
    return !claimEnds.empty() || !jobEnds.empty() || !dispatchQueue.empty();
  }

  /// Tells whether streams that still run are to be handed over now.
  bool IsHandOverDue() const { return handOverAt && Now() >= *handOverAt; }

  /// Returns the time in ms since 1970, from the start time in the options.
  int64_t WallMs() const;

  /// Queues an action.
  void Emit(Action aAction) { outbox.push_back(std::move(aAction)); }

  /// Queues a log line.
  void Log(LogLevel aLevel, std::string_view aPart, std::string aText);

  /// Returns a new id of any strong type.
  template<typename Id>
  Id NewId()
  {
    return Id{ ++lastId };
  }

  /// Returns random hexadecimal digits.
  std::string RandomHex(size_t aDigits);

  /// Tells whether the log answered within CoreOptions::logDownAfter.
  bool IsLogReachable(std::string_view aStream) const;

  /// Tells whether all streams were read up to their heads at the first contact.
  bool IsCaughtUp() const;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_WORLD_H_
