// All state of the entry core: options, tables, the outbox of actions, counters and
// timers. Systems share nothing else.

#ifndef ENTRY_WORLD_H_
#define ENTRY_WORLD_H_

#include <array>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "entry/backend_health.h"
#include "entry/entry_counters.h"
#include "entry/messages.h"
#include "entry/model.h"
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

/// What a daemon knows from its settings.
struct EntryOptions
{
  std::string host;         // name of this daemon's host, unique
  uint64_t incarnation = 1; // start in ms since 1970
  std::string dataCentre;
  std::vector<std::string> dataCentres;
  std::string peerAddress;        // of this daemon, "IP:port"
  std::vector<std::string> seeds; // peer addresses of other daemons, may be stale
  WallTime wallOffset{};          // wall-clock time at TimePoint{}
  uint64_t seed = 1;              // for random choices
  RetryBudgetOptions retryBudget{};
  QuotaTolerance quotaTolerance{};
  Duration leaseDuration = std::chrono::seconds(3); // of the duties
  WallTime usageWindow = std::chrono::seconds(5);
  Duration stopTimeout = std::chrono::seconds(8); // from the signal to the kill
  bool reportsUsage = false;                      // the platform asks for usage reports
  bool ordersBackends = false;                    // backends may be ordered
};

/// A backend as this daemon sees it.
struct BackendRow
{
  BackendEntry entry;
  uint32_t key = 0; // DigestKey of the id
  TimePoint firstSeen{};
  BackendHealth health;
  TimePoint avoidUntil{};        // it refused a connection
  TimePoint backOffUntil{};      // it asked this daemon to send nothing until then
  bool announcedLeaving = false; // for good: later entries of this start do not undo it
  std::optional<TimePoint> leavesAt;
  std::optional<TimePoint> removedAt; // its entry is gone; it gets no new calls
  uint32_t inFlight = 0;              // own calls
  uint32_t waitingTokens = 0;         // prompt tokens of own calls without a first event
  uint32_t kvTokens = 0;              // memory that own calls need
};

/// What daemons have running at a backend, in sum.
struct TotalBackendUse
{
  int64_t inFlight = 0;
  int64_t waitingTokens = 0;
  int64_t kvTokens = 0;
};

/// A daemon that was heard, or whose address was learned.
struct PeerRow
{
  std::string address;
  PeerDigest digest; // the newest
  TimePoint heard{};
  bool isAlive = false;   // a digest came in the last second
  WallTime lastUsageAt{}; // when its last digest with counts of usage came
};

enum class RequestStage : uint8_t
{
  Choosing, // a backend is to be chosen
  Running,  // an attempt runs
  Ended,    // the final answer was sent
};

/// A call that is being served.
struct RequestRow
{
  Call call;
  ConfigurationPtr configuration; // in force when it arrived
  const Route* route = nullptr;
  std::string service;
  const Team* team = nullptr;
  double quotaCost = 0; // taken from the team's quota
  TimePoint arrived{};
  TimePoint deadline{}; // the final answer
  RequestStage stage = RequestStage::Choosing;
  AttemptId attempt; // the running one; 0: none
  uint32_t countedAttempts =
    0; // attempts that may have reached the backend they were meant for
  uint32_t sentAttempts = 0;    // attempts that may have reached any backend
  bool mayHaveExecuted = false; // some backend may have run it
  ResponseHead streamHead{};    // of the first engine, sent with the first event
  bool headSent = false;        // the caller has the head of a stream
  std::string lastEventId;      // of the events that the caller has
  bool isUsageCounted = false;  // in the usage
  std::vector<std::string> failedBackends; // backends that failed this call
  TimerId deadlineTimer;
  TimerId hedgeTimer;
  TimerId stallTimer; // of a stream that may go on at another engine
};

/// A running attempt.
struct AttemptRow
{
  ExchangeId exchange;
  std::string backend; // id
  TimePoint started{};
  TimePoint sent{};
  TimePoint lastEvent{};
  double expectedMs = 0;      // to the first event
  uint32_t waitingTokens = 0; // part of the backend's sum until the first event
  uint32_t kvTokens = 0;
  uint32_t inFlight = 1;
  bool wasSent = false;
  bool hasEvents = false;
};

/// A team's share in the traffic.
struct TeamRow
{
  TeamQuota quota;
};

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

  ConfigurationPtr configuration; // null before the first one
  RouteIndex routes;
  bool isFleetRead = false;
  bool isStoreReachable = false;
  std::optional<TimePoint> storeRecoveredAt; // after it was out of reach
  bool isReady = false;
  std::optional<TimePoint> stoppingSince; // since then

  Table<std::string, BackendRow> backends;
  std::unordered_map<uint32_t, TotalBackendUse> peerUse; // by key of the backend
  Table<std::string, PeerRow> peers;                     // by host
  std::map<std::string, TimePoint> peerAddresses; // of peers, and when they were learned
  uint64_t fleetOffset = 0;     // in the store, of the last backend that came or left
  uint64_t nextFleetOffset = 0; // the fleet is known up to this offset of the store
  uint64_t fleetDeltaStart = 0; // all later changes are known one by one
  std::optional<FleetDelta> fleetDelta; // that the other daemons are to be told at once
  bool isDigestDue = false;             // something changed that peers should know
  bool isDigestUrgent = false;          // and they should know it at once
  /// Ids of backends that just became unusable; attempts that were not sent yet go
  /// elsewhere.
  std::vector<std::string> unusableBackends;
  Duration digestInterval{}; // between two digests of a daemon

  Table<ExchangeId, RequestRow> requests;
  Table<AttemptId, AttemptRow> attempts;
  std::map<std::string, ServiceStats, std::less<>> serviceStats;
  std::map<std::string, RetryBudget, std::less<>> retryBudgets;
  Table<std::string, TeamRow> teams;
  PromptCacheIndex promptCache{ {} };
  UsageCount usage;
  /// Prompt tokens that own calls give to engines, by service.
  std::map<std::string, SmoothedRate, std::less<>> demands;
  uint64_t dutyToken = 0; // held with this token; 0: not held
  uint64_t dutyRenewal = 0;

  uint64_t lastId = 0;

  TimePoint Now() const { return timers.Now(); }

  /// Returns the time of the wall clock.
  WallTime WallNow() const
  {
    return options.wallOffset +
           std::chrono::duration_cast<WallTime>(Now().time_since_epoch());
  }

  /// Returns the name under which this process counts usage.
  std::string ProcessName() const
  {
    return options.host + "/" + std::to_string(options.incarnation);
  }

  /// Systems leave no work for earlier ones.
  bool HasWork() const { return false; }

  void Emit(Action aAction) { outbox.push_back(std::move(aAction)); }

  /// Writes one structured line.
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

  /// Returns the number of daemons that are believed to serve, this one included. For
  /// some seconds after its start a daemon also counts those whose addresses it knows.
  size_t DaemonCount() const;

  /// Returns what all daemons together have running at the backend.
  TotalBackendUse TotalUseOf(const BackendRow& aBackend) const;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_WORLD_H_
