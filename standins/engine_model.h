// The logic of the engine stand-in on a time that its owner passes in.
//
//   EngineModel engine(options);
//   SequenceId id = engine.Submit(call, now);
//   engine.AdvanceTo(later);  // produces the tokens that are due
//   EngineOutput output = engine.TakeOutput(id);
//   engine.Release(id, later);

#ifndef STANDINS_ENGINE_MODEL_H_
#define STANDINS_ENGINE_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/types.h"
#include "standins/chat_request.h"
#include "standins/lagged_value.h"
#include "standins/prefix_cache.h"

namespace gooseberrypath::standins {

struct EngineOptions
{
  size_t maxRunning = 16;
  Duration prefillPerToken{ 50 };   // per prompt token that is not cached
  Duration decodeInterval{ 10000 }; // between tokens of one sequence
  size_t cacheTokens = 200'000;
  Duration loadLag{};
  Duration eventLag{};
  uint64_t eventDropEvery = 0; // every Nth cache event is lost; 0: none
  bool checkFencing = false;
};

/// A submitted request, in order of arrival.
using SequenceId = uint64_t;

struct EngineToken
{
  uint64_t offset = 0; // position in the complete answer
  std::string text;

  bool operator==(const EngineToken&) const = default;
};

/// What a sequence produced since the last look.
struct EngineOutput
{
  std::vector<EngineToken> tokens;
  std::string finish; // "stop", "length", or empty while it runs
};

/// Counts since the start.
struct EngineStats
{
  uint64_t requests = 0;
  uint64_t tokensGenerated = 0;
  uint64_t promptTokensCached = 0; // from the prefix cache or an imported handle
  uint64_t promptTokensComputed = 0;
  uint64_t tokensRecomputed = 0; // computed by prefills of continuations
  uint64_t continuations = 0;
  uint64_t continuationMismatches = 0; // the partial answer is not the engine's own text
  uint64_t cancelled = 0;
};

/// A model of an engine with continuous batching. Prefills run one after the other;
/// running sequences decode side by side, each at the decode interval.
class EngineModel
{
public:
  explicit EngineModel(const EngineOptions& aOptions);

  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  /// Queues a request.
  SequenceId Submit(ChatCall aCall, TimePoint aNow);

  /// Produces what is due until aNow. Returns the sequences that have new output since
  /// the last call.
  std::set<SequenceId> AdvanceTo(TimePoint aNow);

  /// Returns when the next token is due.
  std::optional<TimePoint> NextDue() const;

  /// Returns and removes the output of a sequence.
  EngineOutput TakeOutput(SequenceId aId);

  /// Forgets a sequence; cancels it if it has not finished.
  void Release(SequenceId aId, TimePoint aNow);

  /// Delays all output by aDuration.
  void Freeze(Duration aDuration, TimePoint aNow);

  /// Returns the handle of a sequence's tokens so far, running or among the last 64 that
  /// ended. The handle describes its tokens, so that any engine process can import it.
  /// Nothing: the request is unknown.
  std::optional<std::string> ExportKv(std::string_view aRequestId) const;

  /// Returns the body of GET /load.
  nlohmann::json Load(TimePoint aNow);

  /// Returns the body of GET /cache_events.
  nlohmann::json CacheEvents(uint64_t aAfter, TimePoint aNow) const;

  /// Applies an order. Returns false if its fencing token is stale and checked.
  bool Order(const std::string& aOrder, const std::string& aModel, uint64_t aFencing);

  /// Returns the body of GET /stats.
  nlohmann::json Stats() const;

private:
  struct Sequence
  {
    ChatCall call;
    bool running = false;
    TimePoint due{};
    uint64_t next = 0;               // offset of the next token
    uint64_t total = 0;              // length of the complete answer
    std::vector<std::string> tokens; // whose KV this engine holds
    EngineOutput output;
  };

  struct CacheEvent
  {
    uint64_t seq = 0;
    uint64_t hash = 0;
    bool stored = false;
    TimePoint at;
  };

  struct LoadFigures
  {
    size_t running = 0;
    size_t queued = 0;
    size_t kvUsedTokens = 0;
  };

  void Advance(TimePoint aNow);
  void Admit(TimePoint aNow);
  void Produce(SequenceId aId, Sequence& aSequence);
  void EndRun(SequenceId aId, Sequence& aSequence);
  void RecordLoad(TimePoint aNow);
  void RecordCacheChange(uint64_t aHash, bool aStored);

  EngineOptions options_;
  TimePoint now_{};
  PrefixCache cache_;
  LaggedValue<LoadFigures> load_;
  EngineStats stats_;
  uint64_t lastId_ = 0;
  std::map<SequenceId, Sequence> sequences_;
  std::set<std::pair<int64_t, SequenceId>> queue_; // by priority, then arrival
  std::set<SequenceId> running_;
  std::set<SequenceId> changed_; // have new output
  TimePoint prefillFreeAt_{};
  std::deque<std::pair<std::string, std::string>> ended_; // request id, handle
  uint64_t lastEvent_ = 0;
  std::deque<CacheEvent> events_;
  std::map<std::string, uint64_t> fencing_;   // highest token by model
  std::map<std::string, std::string> orders_; // last order by model
};

} // namespace gooseberrypath::standins

#endif // STANDINS_ENGINE_MODEL_H_
