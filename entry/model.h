// What the entry daemon knows: the operators' configuration, the backends that announced
// themselves and the calls of callers. These types use the project's names; platform/
// decodes the platform's formats into them.

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

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

using ExchangeId = StrongId<struct ExchangeTag>;

/// What may be repeated on a route.
enum class CallKind : uint8_t
{
  Idempotent,
  NonIdempotent,
  Streaming,
};

/// A service that takes a part of a route's calls.
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
  Duration timeout{};          // a final answer is due then
  Duration latencyObjective{}; // an answer within it is in time
  Duration maxEventGap{};      // between two events of a stream
  uint32_t priority = 0;       // 0 is served first
  uint32_t maxAttempts = 1;    // backends to which one call may be sent
  bool isPublic = false;       // needs no key
  bool isResumable = false;    // a stream may go on at another engine
  std::vector<WeightedService> services;
};

/// What the configuration says about the engines of a model service.
struct EngineProperties
{
  uint32_t slots = 0;
  uint64_t kvCapacityTokens = 0;
  bool canMigrateStreams =
    false; // KV cache of a running stream can be copied to another engine
};

/// Bounds and prices for the number of backends in each data centre.
struct ScalingPolicy
{
  uint32_t min = 0;
  uint32_t max = 0;
  Duration bootTime{};                  // from the order to the first served call
  double reclaimablePriceRatio = 1;     // share of the price of an ordinary backend
  std::map<std::string, double> prices; // by data centre, for each backend and second
};

struct Service
{
  std::string name;
  uint32_t maxConnections = 0; // of all callers of one backend
  std::optional<EngineProperties> engine;
  std::optional<ScalingPolicy> scaling;
};

/// A customer with keys and a limit over all daemons.
struct Team
{
  std::string name;
  std::optional<uint32_t> priority; // goes before the route's
  bool countsTokens = false;        // the limit is in tokens, else in requests
  double defaultTokens = 0;         // of a call without token counts
  double ratePerSecond = 0;         // 0: no limit
  double burst = 0;
};

/// What a caller may send and how long it may take.
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
  std::unordered_map<std::string, size_t> teamOfKey; // index in `teams`
  bool requiresKeys = false;
  CallerLimits limits;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// What a backend says about itself.
struct BackendEntry
{
  std::string id;
  std::string service;
  std::string address; // "IP:port"
  std::string dataCentre;
  uint32_t slots = 0;
  bool isLeaving = false;
  std::optional<Duration> leavesIn; // until it is taken away, when it said so
  bool isReclaimable = false;
  uint64_t startedMs = 0; // Unix milliseconds of its start; 0: not given
  uint64_t sequence = 0;  // grows with each change since its start
};

/// A backend left or went silent.
struct BackendRemoved
{
  std::string id;
};

using FleetChange = std::variant<BackendEntry, BackendRemoved>;

/// All backends that came or left between two offsets of the store. Other records between
/// them are signs of life only.
struct FleetDelta
{
  std::vector<FleetChange> changes;
  uint64_t from = 0;
  uint64_t next = 0; // the offset behind the last record
};

/// A part of a prompt that may be in an engine's cache.
struct PromptPart
{
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// What a model request needs from an engine.
struct ModelDemand
{
  uint32_t promptTokens = 0;
  uint32_t maxOutputTokens = 0;
  std::vector<PromptPart> parts; // in order; the last one is the caller's own
};

/// A call as it came from a caller.
struct Call
{
  std::string requestId; // the caller's name for this attempt
  std::string method;
  std::string target; // path and query, unchanged
  std::string host;   // in lower case, without port
  Headers headers;    // that are passed on unchanged
  std::string body;
  std::optional<Duration> callerTimeout; // how long the caller waits, from `started`
  TimePoint started;                     // when its first byte was read
  std::string key;
  std::string lastEventId;
  std::optional<ModelDemand> model;
};

/// What a backend's answer says besides its body.
struct ResponseHead
{
  int status = 0;
  Headers headers;                 // that are passed on
  bool matchesRequestId = true;    // it echoes the id of the call
  bool isSigned = false;           // it bears the backend's signature
  bool wasNotExecuted = false;     // the backend states that it did not run the call
  bool isMisdirected = false;      // another backend has the address now
  bool hasContentEncoding = false; // the body is not the backend's own
  bool hasRequestId = false;       // it echoes an id at all
  bool isLeaving = false;          // the backend is about to end and wants no new calls
  std::optional<Duration> retryAfter; // a refusing backend wants no calls for so long
  bool closesConnection = false;
  std::optional<Duration> keepAliveTimeout; // idle time until the backend closes
};

} // namespace gooseberrypath::entry

#endif // ENTRY_MODEL_H_
