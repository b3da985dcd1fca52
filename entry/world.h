// The state of the entry core: options, tables, queued actions, counters and timers. The
// systems of the core share this state and communicate only through it.
//
//   World world(options, now);
//   world.Emit(SetReady{ true });

#ifndef ENTRY_WORLD_H_
#define ENTRY_WORLD_H_

#include <array>
#include <compare>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "entry/backend_health.h"
#include "entry/backend_limit.h"
#include "entry/backend_log.h"
#include "entry/entry_counters.h"
#include "entry/fleet_listing.h"
#include "entry/messages.h"
#include "entry/model.h"
#include "entry/part_evidence.h"
#include "entry/permit_stock.h"
#include "entry/prompt_cache_index.h"
#include "entry/retry_budget.h"
#include "entry/route_index.h"
#include "entry/service_stats.h"
#include "entry/smoothed_rate.h"
#include "entry/team_quota.h"
#include "entry/usage_count.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/table.h"
#include "gooseberrypath/timer_service.h"

namespace gooseberrypath::entry {

/// The options of an entry daemon. They do not change while it runs.
struct EntryOptions
{
  std::string host;         // unique name of this daemon's host
  uint64_t incarnation = 1; // start of the process in Unix milliseconds
  std::string dataCentre;
  std::vector<std::string> dataCentres;
  std::string peerAddress;        // address for gossip of this daemon, "IP:port"
  std::vector<std::string> seeds; // gossip addresses of other daemons; may be outdated
  WallTime wallOffset{};          // wall-clock time at TimePoint{}
  uint64_t seed = 1;              // of the random number generator
  RetryBudgetOptions retryBudget{};
  QuotaTolerance quotaTolerance{};
  Duration leaseDuration = std::chrono::seconds(3); // lease of the duty holder
  WallTime usageWindow = std::chrono::seconds(5);
  Duration stopTimeout =
    std::chrono::seconds(8);   // from the stop signal to the forced kill
  bool reportsUsage = false;   // the duty holder sends usage reports
  bool ordersBackends = false; // the duty holder may order backends
};

/// Where in the store a backend's entry was seen to be missing.
struct RemovalPosition
{
  uint64_t era = 0;  // of the store
  uint64_t next = 0; // offset after the last record that had been read

  auto operator<=>(const RemovalPosition&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/// What this daemon knows about a backend.
struct BackendRow
{
  BackendEntry entry;
  uint32_t key = 0; // DigestKey of the id
  TimePoint firstSeen{};
  BackendHealth health;
  TimePoint avoidUntil{};        // not selected until then after a connect failure
  TimePoint backOffUntil{};      // end of the back-off that the backend asked for
  bool announcedLeaving = false; // stays true until the backend restarts
  BackendLimit limit;
  TimePoint limitedSince{};       // when the limit in force was learned
  bool hasMalformedLimit = false; // since its start; logged only once
  PermitStock permits;            // for calls while the backend has a limit
  std::optional<TimePoint> leavesAt;
  std::optional<TimePoint> removedAt; // its entry was removed; it gets no new calls
  RemovalPosition removedBefore;      // if it was removed
  /// A peer has read that its entry was removed. It gets no new calls until this daemon
  /// has read the store as far.
  std::optional<RemovalPosition> reportedRemoved;
  TimePoint reportedAt{};       // when a peer told of it first
  bool isLeavingUntold = false; // no digest of this daemon has listed it as leaving yet
  uint32_t inFlight = 0;        // calls of this daemon
  uint32_t waitingTokens = 0;   // prompt tokens of these calls before their first event
  uint32_t kvTokens = 0;        // KV cache that these calls need
};

/// The load of a backend by the calls of all daemons.
struct TotalBackendUse
{
  int64_t inFlight = 0;
  int64_t waitingTokens = 0;
  int64_t kvTokens = 0;
};

/// A daemon that sent a digest to this one.
struct PeerRow
{
  std::string address;
  PeerDigest digest;        // the latest
  TimePoint lastDigestAt{}; // when its latest digest came
  bool isAlive = false;     // its digests have not timed out
  WallTime lastUsageAt{};   // when its latest digest with usage counts came
};

enum class RequestStage : uint8_t
{
  Choosing,          // a backend has to be selected
  AwaitingPlacement, // the placer of the service was asked for a backend
  AwaitingPermit,    // a limited backend was selected
  Running,           // an attempt is in progress
  Ended,             // the final response was sent
};

enum class PlacementState : uint8_t
{
  None,    // the placer was not asked
  Awaited, // it has to be asked, or has not decided yet
  Placed,
  Refused,
  Alone, // this daemon chooses the backend
};

/// The placement of a call by the placer of its service.
struct CallPlacement
{
  PlacementState state = PlacementState::None;
  uint64_t id = 0;     // of the request that the placer may still count; 0: none
  std::string backend; // id, if placed
  std::string placer;  // host
  TimePoint askedAt{};
  Duration longestTime{}; // longest useful time to the response
  Duration retryAfter{};  // if refused
};

/// A placement, or a request for one, that ended.
struct EndedPlacement
{
  uint64_t id = 0;
  bool wasUsed = false;     // the call was sent
  Duration timeAtBackend{}; // if it was used
};

/// A call in progress.
struct RequestRow
{
  Call call;
  RequestPrint print;             // of the call; set at admission
  ConfigurationPtr configuration; // the version that was in force at admission
  const Route* route = nullptr;
  std::string service;
  const Team* team = nullptr;
  double quotaCost = 0; // charged to the team's quota
  TimePoint arrived{};
  TimePoint deadline{}; // of the final response
  RequestStage stage = RequestStage::Choosing;
  AttemptId attempt;                      // the current attempt; 0: none
  std::string permitBackend;              // id of the backend whose permit it awaits
  std::optional<TimePoint> permitWaitEnd; // from then on, it waits for no permit
  CallPlacement placement;
  /// Attempts that may have reached the intended backend. They count against the route's
  /// maximum.
  uint32_t countedAttempts = 0;
  uint32_t sentAttempts = 0;    // attempts that may have reached any backend at all
  bool mayHaveExecuted = false; // a backend may have executed it
  ResponseHead streamHead{};    // of the first engine; forwarded with the first event
  bool headSent = false;        // the head of the stream was sent to the caller
  BodyFraming sentFraming = BodyFraming::None; // of the stream, in that head
  std::string lastEventId;     // id of the last event that was sent to the caller
  bool isUsageCounted = false; // the call is included in the usage counts
  bool isPartTrial = false;    // it is sent although a part of its prompt is blocked
  uint32_t brokenStarts = 0;   // backends that ended before they began to answer
  std::vector<std::string> failedBackends; // ids of backends at which an attempt failed
  TimerId deadlineTimer;
  TimerId hedgeTimer;
  TimerId stallTimer; // detects stalls of a resumable stream
};

/// An attempt in progress at a backend.
struct AttemptRow
{
  ExchangeId exchange;
  std::string backend; // id of the backend
  TimePoint started{};
  TimePoint sent{};
  TimePoint lastEvent{};
  double expectedMs = 0;      // estimated time to the first event
  uint32_t waitingTokens = 0; // included in the backend's sum until the first event
  uint32_t kvTokens = 0;
  uint32_t inFlight = 1;
  uint64_t placement = 0; // id of the placement that it uses; 0: none
  bool wasSent = false;
  bool hasEvents = false;
};

/// The state of a team's limit.
struct TeamRow
{
  TeamQuota quota;
};

/// The state of one entry daemon.
struct World
{
  using Options = EntryOptions;
  using Event = entry::Event;
  using Action = entry::Action;

  explicit World(EntryOptions aOptions, TimePoint aNow)
    : options(std::move(aOptions))
    , started(aNow)
    , timers(aNow)
    , random(options.seed)
    , usage(options.usageWindow)
  {
  }

  const EntryOptions options;
  const TimePoint started;
  TimerService timers;
  std::mt19937_64 random;
  EntryCounters counters;
  std::vector<Action> outbox;

  ConfigurationPtr configuration; // null until the first one is read
  RouteIndex routes;
  bool isFleetRead = false;
  bool isStoreReachable = false;
  TopicFreshness freshness;
  std::optional<TimePoint> storeRecoveredAt; // after an outage
  bool isReady = false;
  std::optional<TimePoint> stoppingSince; // start of the planned stop

  Table<std::string, BackendRow> backends;
  BackendLog backendLog; // of this tick
  /// The load by the calls of other daemons, by BackendRow::key.
  std::unordered_map<uint32_t, TotalBackendUse> peerUse;
  Table<std::string, PeerRow> peers;              // by name of the host
  std::map<std::string, TimePoint> peerAddresses; // of peers, with the time of discovery
  uint64_t storeEra = 0;                          // newest known one; 0: none
  uint64_t fleetOffset = 0; // store offset of the last backend that was added or removed
  FleetListing fleetListing;
  std::optional<FleetDelta> fleetDelta; // to be sent to the peers at once
  bool isDigestDue = false;             // the next digest has changes
  bool isDigestUrgent = false;          // and must not wait for the next interval
  /// Ids of backends that became unusable in this tick. Attempts at them that were not
  /// sent yet move to another backend.
  std::vector<std::string> unusableBackends;
  Duration digestInterval{};    // time between two digests of a daemon with changes
  Duration heartbeatInterval{}; // longest time between two digests of a daemon
  double aliveShare = 1;        // of the daemons of the last minute, this one included
  bool grantsPermits = false;   // this daemon may be chosen as the granter of a backend
  std::set<std::string> permitsWanted; // ids of backends whose permits calls wait for
  std::vector<ExchangeId> placementsWanted;    // calls that wait for a placer
  std::vector<ExchangeId> placementsDecided;   // calls of which the placer decided
  std::vector<EndedPlacement> endedPlacements; // to be told to the placers
  size_t placementsInUse = 0;                  // that this daemon granted as a placer
  /// When a backend last reported its load to this daemon, by service.
  std::map<std::string, TimePoint, std::less<>> loadReportedAt;

  Table<ExchangeId, RequestRow> requests;
  Table<AttemptId, AttemptRow> attempts;
  std::map<std::string, ServiceStats, std::less<>> serviceStats;
  std::map<std::string, RetryBudget, std::less<>> retryBudgets;
  Table<std::string, TeamRow> teams;
  PromptCacheIndex promptCacheIndex{ {} };
  PartEvidence partEvidence;
  std::vector<uint32_t> answeredParts; // PartEvidence::KeyOf(), to be told to the peers
  TimePoint observesPartsFrom{};       // before, this daemon cannot tell safe parts
  bool hasNewPartBlocks = false;       // attempts with blocked parts may be in progress
  UsageCount usage;
  /// Rate of uncached prompt tokens that this daemon sends to engines, by service.
  std::map<std::string, SmoothedRate, std::less<>> promptTokenRates;
  /// Sources and names that were reported as not known.
  std::set<std::pair<std::string, std::string>> unknownFields;
  uint64_t dutyToken = 0;   // fencing token of the held lease; 0: not held
  uint64_t dutyRenewal = 0; // number of the lease's latest renewal

  uint64_t lastId = 0;

  TimePoint Now() const { return timers.Now(); }

  /// Returns the wall-clock time.
  WallTime WallNow() const { return WallAt(Now()); }

  /// Returns the wall-clock time of a time of this daemon's clock.
  WallTime WallAt(TimePoint aTime) const
  {
    return options.wallOffset +
           std::chrono::duration_cast<WallTime>(aTime.time_since_epoch());
  }

  /// Returns the name of this process in usage counts.
  std::string ProcessName() const
  {
    return options.host + "/" + std::to_string(options.incarnation);
  }

  /// Tells whether a call that began to wait for a permit or a placement in this tick, or
  /// whose placement ended, needs a second pass of the systems.
  bool HasWork() const
  {
    return !permitsWanted.empty() || !placementsWanted.empty() ||
           !endedPlacements.empty();
  }

  /// Queues an action.
  void Emit(Action aAction) { outbox.push_back(std::move(aAction)); }

  /// Queues one structured log line.
  void Log(LogLevel aLevel, std::string aEvent, std::string aRequest,
           std::vector<std::pair<std::string, std::string>> aFields)
  {
    outbox.push_back(
      WriteEvent{ aLevel, std::move(aEvent), std::move(aRequest), std::move(aFields) });
  }

  template<typename Id>
  Id NewId()
  {
    return Id{ ++lastId };
  }

  /// Returns the estimated number of serving daemons, including this one. For some
  /// seconds after the start it is at least the number of known addresses plus one.
  size_t DaemonCount() const;

  /// Returns the load of the backend by the calls of all daemons.
  TotalBackendUse TotalUseOf(const BackendRow& aBackend) const;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_WORLD_H_
