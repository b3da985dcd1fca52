#include "standins/engine_model.h"

#include <algorithm>
#include <charconv>

namespace gooseberrypath::standins {

namespace {

using nlohmann::json;

constexpr size_t kKeptEnded = 64;
constexpr size_t kKeptEvents = 100'000;
constexpr int kHexBase = 16;

std::string ToHex(uint64_t aValue)
{
  std::string text(kHexBase, '0');
  char buffer[kHexBase];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, aValue, kHexBase).ptr;
  const auto length = static_cast<size_t>(end - buffer);
  return text.replace(kHexBase - length, length, buffer, length);
}

/// Returns "kv1-<hash of the prompt tokens>-<number of prompt and answer tokens>". The
/// answer is a function of the prompt, so this describes all tokens.
std::string MakeHandle(const ChatCall& aCall, size_t aTokens)
{
  const size_t prompt = aCall.promptTokens.size() - aCall.partial.size();
  return "kv1-" + ToHex(HashTokens(aCall.promptTokens, prompt)) + "-" +
         std::to_string(aTokens);
}

/// Returns how many prompt tokens of the call the handle covers. A handle of another
/// prompt covers none. The exporting engine may be ahead of the text that the call
/// carries.
size_t CoveredBy(std::string_view aHandle, const ChatCall& aCall)
{
  const size_t dash = aHandle.rfind('-');
  size_t count = 0;
  if (dash == std::string_view::npos) {
    return 0;
  }
  std::from_chars(aHandle.data() + dash + 1, aHandle.data() + aHandle.size(), count);
  count = std::min(count, aCall.promptTokens.size());
  const std::string own = MakeHandle(aCall, 0);
  return aHandle.substr(0, dash) == own.substr(0, own.rfind('-')) ? count : 0;
}

} // namespace

EngineModel::EngineModel(const EngineOptions& aOptions)
  : options_(aOptions)
  , cache_(aOptions.cacheTokens,
           [this](uint64_t aHash, bool aStored) { RecordCacheChange(aHash, aStored); })
  , load_(aOptions.loadLag, LoadFigures{})
{
}

SequenceId EngineModel::Submit(ChatCall aCall, TimePoint aNow)
{
  Advance(aNow);
  const SequenceId id = ++lastId_;
  ++stats_.requests;
  if (aCall.continues) {
    ++stats_.continuations;
    for (size_t i = 0; i < aCall.partial.size(); ++i) {
      if (aCall.partial[i] + " " != AnswerToken(aCall.promptHash, i)) {
        ++stats_.continuationMismatches;
        break;
      }
    }
  }
  Sequence sequence;
  sequence.next = aCall.partial.size();
  sequence.total = aCall.TotalLength();
  sequence.call = std::move(aCall);
  queue_.emplace(sequence.call.priority, id);
  sequences_.emplace(id, std::move(sequence));
  Admit(now_);
  return id;
}

std::set<SequenceId> EngineModel::AdvanceTo(TimePoint aNow)
{
  Advance(aNow);
  return std::exchange(changed_, {});
}

void EngineModel::Advance(TimePoint aNow)
{
  for (;;) {
    const auto due = NextDue();
    if (!due || *due > aNow) {
      break;
    }
    now_ = std::max(now_, *due);
    const auto first =
      std::find_if(running_.begin(), running_.end(),
                   [&](SequenceId aId) { return sequences_.at(aId).due == *due; });
    const SequenceId id = *first;
    changed_.insert(id);
    Produce(id, sequences_.at(id));
  }
  now_ = std::max(now_, aNow);
}

std::optional<TimePoint> EngineModel::NextDue() const
{
  std::optional<TimePoint> due;
  for (const SequenceId id : running_) {
    const TimePoint at = sequences_.at(id).due;
    due = due ? std::min(*due, at) : at;
  }
  return due;
}

EngineOutput EngineModel::TakeOutput(SequenceId aId)
{
  Sequence& sequence = sequences_.at(aId);
  return { .tokens = std::exchange(sequence.output.tokens, {}),
           .finish = sequence.output.finish };
}

void EngineModel::Release(SequenceId aId, TimePoint aNow)
{
  Advance(aNow);
  Sequence& sequence = sequences_.at(aId);
  if (sequence.output.finish.empty()) {
    ++stats_.cancelled;
    if (sequence.running) {
      EndRun(aId, sequence);
    } else {
      queue_.erase({ sequence.call.priority, aId });
      RecordLoad(now_);
    }
  }
  sequences_.erase(aId);
  changed_.erase(aId);
}

void EngineModel::Freeze(Duration aDuration, TimePoint aNow)
{
  Advance(aNow);
  const TimePoint until = now_ + aDuration;
  prefillFreeAt_ = std::max(prefillFreeAt_ + aDuration, until);
  for (const SequenceId id : running_) {
    sequences_.at(id).due += aDuration;
  }
}

std::optional<std::string> EngineModel::ExportKv(std::string_view aRequestId) const
{
  for (const SequenceId id : running_) {
    const Sequence& sequence = sequences_.at(id);
    if (sequence.call.id == aRequestId) {
      return MakeHandle(sequence.call, sequence.tokens.size());
    }
  }
  const auto found = std::find_if(ended_.rbegin(), ended_.rend(), [&](const auto& aItem) {
    return aItem.first == aRequestId;
  });
  return found == ended_.rend() ? std::nullopt : std::optional(found->second);
}

json EngineModel::Load(TimePoint aNow)
{
  Advance(aNow);
  const LoadFigures& figures = load_.Get(now_);
  return {
    { "running", figures.running },
    { "queued", figures.queued },
    { "kv_used_tokens", figures.kvUsedTokens },
    { "kv_limit_tokens", cache_.LimitTokens() },
    { "measured_ms_ago",
      std::chrono::duration_cast<std::chrono::milliseconds>(options_.loadLag).count() }
  };
}

json EngineModel::CacheEvents(uint64_t aAfter, TimePoint aNow) const
{
  json events = json::array();
  for (const CacheEvent& event : events_) {
    if (event.seq > aAfter && event.at + options_.eventLag <= aNow) {
      events.push_back({ { "seq", event.seq },
                         { "prefix_hash", ToHex(event.hash) },
                         { "op", event.stored ? "stored" : "removed" } });
    }
  }
  return { { "events", std::move(events) } };
}

bool EngineModel::Order(const std::string& aOrder, const std::string& aModel,
                        uint64_t aFencing)
{
  uint64_t& highest = fencing_[aModel];
  if (options_.checkFencing && aFencing < highest) {
    return false;
  }
  highest = std::max(highest, aFencing);
  orders_[aModel] = aOrder;
  return true;
}

json EngineModel::Stats() const
{
  return { { "requests", stats_.requests },
           { "tokens_generated", stats_.tokensGenerated },
           { "prompt_tokens_cached", stats_.promptTokensCached },
           { "prompt_tokens_computed", stats_.promptTokensComputed },
           { "tokens_recomputed", stats_.tokensRecomputed },
           { "continuations", stats_.continuations },
           { "continuation_mismatches", stats_.continuationMismatches },
           { "cancelled", stats_.cancelled },
           { "running", running_.size() },
           { "queued", queue_.size() },
           { "orders", orders_ } };
}

void EngineModel::Admit(TimePoint aNow)
{
  while (running_.size() < options_.maxRunning && !queue_.empty()) {
    const SequenceId id = queue_.begin()->second;
    queue_.erase(queue_.begin());
    Sequence& sequence = sequences_.at(id);
    const auto& prompt = sequence.call.promptTokens;
    const size_t cached =
      std::max(cache_.Match(prompt), CoveredBy(sequence.call.kvHandle, sequence.call));
    // The last token is always computed, because its result selects the next one.
    const size_t computed = std::max<size_t>(prompt.size() - cached, 1);
    stats_.promptTokensCached += prompt.size() - computed;
    stats_.promptTokensComputed += computed;
    if (sequence.call.continues) {
      stats_.tokensRecomputed += computed;
    }
    prefillFreeAt_ = std::max(prefillFreeAt_, aNow) +
                     options_.prefillPerToken * static_cast<int64_t>(computed);
    sequence.due = prefillFreeAt_;
    sequence.running = true;
    sequence.tokens = prompt;
    running_.insert(id);
    cache_.Insert(prompt);
  }
  RecordLoad(aNow);
}

void EngineModel::Produce(SequenceId aId, Sequence& aSequence)
{
  if (aSequence.next < aSequence.total) {
    std::string text = AnswerToken(aSequence.call.promptHash, aSequence.next);
    aSequence.tokens.push_back(text.substr(0, text.size() - 1));
    aSequence.output.tokens.push_back({ aSequence.next++, std::move(text) });
    ++stats_.tokensGenerated;
  }
  if (aSequence.next < aSequence.total) {
    aSequence.due += options_.decodeInterval;
    return;
  }
  aSequence.output.finish =
    aSequence.total < aSequence.call.naturalLength ? "length" : "stop";
  EndRun(aId, aSequence);
}

void EngineModel::EndRun(SequenceId aId, Sequence& aSequence)
{
  aSequence.running = false;
  running_.erase(aId);
  cache_.Insert(aSequence.tokens);
  ended_.emplace_back(aSequence.call.id,
                      MakeHandle(aSequence.call, aSequence.tokens.size()));
  if (ended_.size() > kKeptEnded) {
    ended_.pop_front();
  }
  Admit(now_);
}

void EngineModel::RecordLoad(TimePoint aNow)
{
  load_.Set(aNow, LoadFigures{ .running = running_.size(),
                               .queued = queue_.size(),
                               .kvUsedTokens = cache_.UsedTokens() });
}

void EngineModel::RecordCacheChange(uint64_t aHash, bool aStored)
{
  ++lastEvent_;
  if (options_.eventDropEvery != 0 && lastEvent_ % options_.eventDropEvery == 0) {
    return;
  }
  events_.push_back({ .seq = lastEvent_, .hash = aHash, .stored = aStored, .at = now_ });
  if (events_.size() > kKeptEvents) {
    events_.pop_front();
  }
}

} // namespace gooseberrypath::standins
