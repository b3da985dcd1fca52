#include "gooseberrypath/log_http.h"

#include <algorithm>
#include <utility>

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

constexpr size_t kMaxAppendAnswerBytes = size_t{ 64 } * 1024;

// A log that answers an empty long poll at once must not make the port spin.
constexpr Duration kMinEmptyReadTime = std::chrono::milliseconds(20);

std::string ReasonOf(const kj::Exception& aError)
{
  return aError.getDescription().cStr();
}

/// Parses an answer to a read from aFrom. Returns no value if it is malformed.
std::optional<LogBatch> ParseBatch(const std::string& aStream, Offset aFrom,
                                   const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  const auto isOffset = [](const nlohmann::json& aObject, const char* aName) {
    const auto found = aObject.find(aName);
    return found != aObject.end() && found->is_number_unsigned();
  };
  if (!json.is_object() || !isOffset(json, "start") || !isOffset(json, "head")) {
    return std::nullopt;
  }
  const auto records = json.find("records");
  if (records == json.end() || !records->is_array()) {
    return std::nullopt;
  }
  LogBatch batch{ .stream = aStream,
                  .start = json["start"].get<Offset>(),
                  .head = json["head"].get<Offset>(),
                  .entries = {} };
  Offset next = std::max(aFrom, batch.start);
  for (const auto& record : *records) {
    if (!record.is_object() || !isOffset(record, "offset") || !record.contains("data") ||
        record["offset"].get<Offset>() != next) {
      return std::nullopt;
    }
    ++next;
    const auto time = record.find("time_ms");
    const auto& data = record["data"];
    batch.entries.push_back(LogEntry{
      .offset = next - 1,
      .timeMs =
        time != record.end() && time->is_number_integer() ? time->get<int64_t>() : 0,
      .data = data.is_string() ? data.get<std::string>() : data.dump() });
  }
  return batch;
}

Event ParseAppendReply(AppendId aId, const HttpReply& aReply)
{
  if (aReply.status == 200) {
    const auto json = nlohmann::json::parse(aReply.body, nullptr, false);
    if (json.is_object() && json.contains("offset") &&
        json["offset"].is_number_unsigned()) {
      return AppendDone{ aId, json["offset"].get<Offset>() };
    }
    return AppendFailed{ aId, true, "the log's answer is malformed" };
  }
  const bool isRefused = aReply.status == 429 || aReply.status == 503;
  return AppendFailed{ aId, !isRefused,
                       "the log answered " + std::to_string(aReply.status) };
}

} // namespace

/// The reading of one stream, on a kept connection: reads may be repeated.
struct LogHttp::Follower
{
  std::string stream;
  Offset next = 1;
  Duration backoff{};
  kj::Own<kj::NetworkAddress> address;
  kj::Own<kj::HttpClient> client;
  kj::Promise<void> task = nullptr;
};

/// One append on its own connection. Members are destroyed in reverse order.
struct LogHttp::Append
{
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<kj::HttpClient> client;
};

LogHttp::LogHttp(LogHttpOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
}

LogHttp::~LogHttp() = default;

void LogHttp::Follow(std::string_view aStream, Offset aFrom)
{
  auto follower = kj::heap<Follower>();
  follower->stream = aStream;
  follower->next = aFrom;
  follower->backoff = options_.minBackoff;
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    follower->address = kj::mv(*address);
  } else {
    KJ_FAIL_REQUIRE("the log address is not IP:port", options_.address.c_str());
  }
  follower->client = kj::newHttpClient(options_.timer, HeaderTable(), *follower->address);
  Follower& ref = *follower;
  followers_.push_back(kj::mv(follower));
  ref.task = kj::evalLater([this, &ref] {
               return Read(ref);
             }).eagerlyEvaluate([this](kj::Exception&& aError) {
    errors_.taskFailed(kj::mv(aError));
  });
}

kj::Promise<void> LogHttp::Read(Follower& aFollower)
{
  using std::chrono::duration_cast;
  HttpRequest request{
    .target =
      "/streams/" + aFollower.stream + "/records?from=" + std::to_string(aFollower.next) +
      "&limit=" + std::to_string(options_.maxRecordsPerRead) + "&wait_ms=" +
      std::to_string(duration_cast<std::chrono::milliseconds>(options_.readWait).count()),
    .headers = { { "Host", options_.address } },
  };
  const kj::TimePoint started = options_.timer.now();
  return Fetch(*aFollower.client, options_.timer, std::move(request),
               options_.maxReadBytes, options_.readTimeout)
    .then([this, &aFollower, started](
            const HttpReply& aReply) { return Accept(aFollower, aReply, started); },
          [this, &aFollower](kj::Exception&& aError) {
            return Retry(aFollower, ReasonOf(aError));
          })
    .then([this, &aFollower] { return Read(aFollower); });
}

kj::Promise<void> LogHttp::Accept(Follower& aFollower, const HttpReply& aReply,
                                  kj::TimePoint aStarted)
{
  if (aReply.status != 200) {
    return Retry(aFollower, "the log answered " + std::to_string(aReply.status));
  }
  auto batch = ParseBatch(aFollower.stream, aFollower.next, aReply.body);
  if (!batch) {
    return Retry(aFollower, "the log's answer is malformed");
  }
  aFollower.backoff = options_.minBackoff;
  aFollower.next = std::max(aFollower.next, batch->start) + batch->entries.size();
  const bool isEmpty = batch->entries.empty();
  options_.sink(std::move(*batch));
  if (isEmpty && options_.timer.now() - aStarted < ToKj(kMinEmptyReadTime)) {
    return options_.timer.afterDelay(ToKj(kMinEmptyReadTime));
  }
  return kj::READY_NOW;
}

kj::Promise<void> LogHttp::Retry(Follower& aFollower, std::string aReason)
{
  const Duration backoff = aFollower.backoff;
  aFollower.backoff = std::min(backoff * 2, options_.maxBackoff);
  options_.sink(LogReadFailed{ aFollower.stream, std::move(aReason) });
  return options_.timer.afterDelay(
    std::min(Jittered(backoff), ToKj(options_.maxBackoff)));
}

void LogHttp::Execute(const AppendRecord& aAction)
{
  queue_.push_back(QueuedAppend{ aAction, options_.timer.now() });
  if (!std::exchange(isStartDue_, true)) {
    tasks_.add(kj::evalLater([this] {
      isStartDue_ = false;
      StartAppends();
    }));
  }
}

void LogHttp::StartAppends()
{
  const auto fail = [this](AppendId aId, std::string aReason) {
    options_.sink(AppendFailed{ aId, false, std::move(aReason) });
  };
  while (!queue_.empty() &&
         options_.timer.now() - queue_.front().since > ToKj(options_.maxQueueTime)) {
    const AppendId id = queue_.front().record.append;
    queue_.pop_front();
    fail(id, "the append waited too long");
  }
  while (!queue_.empty() && inFlight_ < options_.maxAppendsInFlight) {
    const AppendRecord record = std::move(queue_.front().record);
    queue_.pop_front();
    ++inFlight_;
    tasks_.add(Send(record));
  }
  while (queue_.size() > options_.maxQueuedAppends) {
    const AppendId id = queue_.back().record.append;
    queue_.pop_back();
    fail(id, "too many appends are waiting");
  }
}

void LogHttp::Finish(Event aEvent)
{
  --inFlight_;
  options_.sink(std::move(aEvent));
  StartAppends();
}

kj::Promise<void> LogHttp::Send(const AppendRecord& aRecord)
{
  const AppendId id = aRecord.append;
  HttpRequest request{ .method = "POST",
                       .target = "/streams/" + aRecord.stream + "/records",
                       .headers = { { "Host", options_.address },
                                    { "Content-Type", "application/json" } },
                       .body = aRecord.data };
  const kj::TimePoint due = options_.timer.now() + ToKj(options_.appendTimeout);
  return Connect(options_.network, options_.timer, options_.address,
                 std::min(options_.connectTimeout, options_.appendTimeout))
    .then(
      [this, id, due, request = std::move(request)](
        kj::Own<kj::AsyncIoStream> aStream) mutable -> kj::Promise<void> {
        auto append = kj::heap<Append>();
        append->stream = kj::mv(aStream);
        append->client = kj::newHttpClient(HeaderTable(), *append->stream);
        const Duration left((due - options_.timer.now()) / kj::MICROSECONDS);
        auto fetched = Fetch(*append->client, options_.timer, std::move(request),
                             kMaxAppendAnswerBytes, std::max(left, Duration(1)));
        return fetched.attach(kj::mv(append))
          .then(
            [this, id](const HttpReply& aReply) { Finish(ParseAppendReply(id, aReply)); },
            [this, id](kj::Exception&& aError) {
              Finish(AppendFailed{ id, true, ReasonOf(aError) });
            });
      },
      [this, id](kj::Exception&& aError) -> kj::Promise<void> {
        Finish(AppendFailed{ id, false, ReasonOf(aError) });
        return kj::READY_NOW;
      });
}

} // namespace gooseberrypath
