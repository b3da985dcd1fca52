// The domain types of the entry daemon: the operators' configuration, registered backends
// and calls. They do not depend on the platform's formats, which platform/ decodes.

#ifndef ENTRY_MODEL_H_
#define ENTRY_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "entry/load_report.h"
#include "entry/response_body.h"
#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

using ExchangeId = StrongId<struct ExchangeTag>;

/// The kind of the calls on a route, which decides whether they may be retried.
enum class CallKind : uint8_t
{
  Idempotent,
  NonIdempotent,
  Streaming,
};

/// A service that receives a share of a route's calls.
struct WeightedService
{
  std::string service;
  double weight = 1;
};

/// One route of the operators' configuration.
struct Route
{
  std::string name;
  std::string host; // in lower case, without port
  std::string pathPrefix;
  CallKind kind = CallKind::NonIdempotent;
  Duration timeout{};          // deadline of the final response
  Duration latencyObjective{}; // target for the latency
  Duration maxEventGap{};      // target for the time between two events of a stream
  uint32_t priority = 0;       // 0 is the most urgent
  uint32_t maxAttempts = 1;    // maximum number of attempts for one call
  bool isPublic = false;       // no API key is required
  bool isResumable = false;    // a stream can resume at another engine
  std::vector<WeightedService> services;
};

/// The configured properties of the engines of a model service.
struct EngineProperties
{
  uint32_t slots = 0;
  uint64_t kvCapacityTokens = 0;
  bool canMigrateStreams = false; // the KV cache of a running stream can be copied
};

/// Bounds and prices for the number of backends in each data centre.
struct ScalingPolicy
{
  uint32_t min = 0;
  uint32_t max = 0;
  Duration bootTime{};                  // from the order to the first served call
  double reclaimablePriceRatio = 1;     // relative to an ordinary backend
  std::map<std::string, double> prices; // per backend and second, by data centre
};

struct Service
{
  std::string name;
  uint32_t maxConnections = 0; // to one backend, from all callers together
  std::optional<EngineProperties> engine;
  std::optional<ScalingPolicy> scaling;
};

/// A customer with API keys and a rate limit that all daemons share.
struct Team
{
  std::string name;
  std::optional<uint32_t> priority; // overrides the route's priority
  bool countsTokens = false;        // the limit is in tokens, otherwise in requests
  double defaultTokens = 0;         // cost of a call without token counts
  double ratePerSecond = 0;         // 0: no limit
  double burst = 0;
};

/// Limits on the requests and connections of callers.
struct CallerLimits
{
  size_t maxHeadBytes = 16384;
  size_t maxBodyBytes = size_t{ 4 } * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration.
struct Configuration
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::vector<Team> teams;
  std::unordered_map<std::string, size_t> teamOfKey; // API key to index in `teams`
  bool requiresKeys = false;
  CallerLimits limits;
  std::vector<std::string> unknownFields; // names of members that are not known
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// A backend's own entry in the store.
struct BackendEntry
{
  std::string id;
  std::string service;
  std::string address; // "IP:port"
  std::string dataCentre;
  uint32_t slots = 0;
  bool isLeaving = false;
  std::optional<Duration> leavesIn; // time until it is taken away, if announced
  bool isReclaimable = false;
  uint64_t startedMs = 0;                 // its start in Unix milliseconds; 0: unknown
  uint64_t sequence = 0;                  // increases with each change since its start
  std::vector<std::string> unknownFields; // names of members that are not known
};

/// The entry of a backend was deleted or expired.
struct BackendRemoved
{
  std::string id;
};

using FleetChange = std::variant<BackendEntry, BackendRemoved>;

/// What a range of the store's records changes for any daemon that has read the store up
/// to an offset in the range: the newest record of each backend that started, left, went
/// or came back there. All other records of the range repeat what was said before it.
struct FleetDelta
{
  std::vector<FleetChange> changes;
  uint64_t from = 0;
  uint64_t next = 0; // offset after the last record
};

/// A part of a prompt that an engine may have in its KV cache.
struct PromptPart
{
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// The resources that a model request needs from an engine.
struct ModelDemand
{
  uint32_t promptTokens = 0;
  uint32_t maxOutputTokens = 0;
  std::vector<PromptPart> parts; // in order; only the last one is specific to the caller
};

/// A call of a caller.
struct Call
{
  std::string requestId; // the caller's id for this attempt of the call
  std::string method;
  std::string target; // path and query, unchanged
  std::string host;   // in lower case, without port
  Headers headers;    // fields that are forwarded unchanged
  SharedBytes body;
  std::optional<Duration> callerTimeout; // counted from `started`; empty: unknown
  TimePoint started;                     // when the first byte was read
  std::string key;                       // API key; empty: none
  std::string lastEventId;
  bool acceptsChunks = true; // the caller reads chunked bodies
  std::optional<ModelDemand> model;
};

/// What the head of a backend's response says about the requests that the backend takes
/// from all daemons together.
struct AnnouncedLimit
{
  std::optional<double> perSecond; // finite and not negative; empty: no valid limit
  std::string malformed;           // the field's text if it is not a valid limit

  bool operator==(const AnnouncedLimit&) const = default;
};

/// The status, fields and properties of a backend's response.
struct ResponseHead
{
  int status = 0;
  Headers headers;                 // fields that are forwarded
  bool matchesRequestId = true;    // it echoes the call's id, or no id
  bool hasResponseStamp = false;   // it has the response stamp of a backend
  bool wasNotExecuted = false;     // the backend states that it did not execute the call
  bool isMisdirected = false;      // another backend uses the address now
  bool hasContentEncoding = false; // so the body is not the backend's own
  bool hasRequestId = false;       // it echoes a request id
  bool isLeaving = false;          // the backend is leaving and accepts no new calls
  std::optional<Duration> retryAfter; // back-off that a refusing backend asks for
  AnnouncedLimit limit;
  AnnouncedLoad load;
  std::vector<std::string> unknownFields; // names of the platform that are not known
  bool closesConnection = false;
  BodyFraming framing = BodyFraming::None;
  std::optional<Duration> keepAliveTimeout; // idle time after which the backend closes
};

} // namespace gooseberrypath::entry

#endif // ENTRY_MODEL_H_
