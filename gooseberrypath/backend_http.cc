#include "gooseberrypath/backend_http.h"

#include <algorithm>
#include <array>
#include <utility>

#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

// Most answers have less than this.
constexpr size_t kFirstAnswerBytes = 1024;

constexpr size_t kMaxLoadBytes = size_t{ 64 } * 1024;
constexpr size_t kMaxExportBytes = size_t{ 64 } * 1024;

std::string ReasonOf(const kj::Exception& aError)
{
  return aError.getDescription().cStr();
}

/// Tells whether a status is neither interim (1xx) nor final. No caller understands it.
bool IsInvalidStatus(int aStatus)
{
  return aStatus < 100 || aStatus >= 600;
}

/// Parses the answer of GET /load. Absent figures are 0.
std::optional<LoadReport> ParseLoad(const std::string& aAddress, const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  bool isValid = true;
  const auto read = [&](const char* aName, uint64_t aMax) -> uint64_t {
    const auto found = json.find(aName);
    if (found == json.end()) {
      return 0;
    }
    isValid = isValid && found->is_number_unsigned();
    return isValid ? std::min(found->get<uint64_t>(), aMax) : 0;
  };
  // The age is limited to a day so that it cannot overflow a Duration.
  const std::chrono::milliseconds age(read("measured_ms_ago", 86'400'000));
  LoadReport report{ .address = aAddress,
                     .running = static_cast<uint32_t>(read("running", UINT32_MAX)),
                     .queued = static_cast<uint32_t>(read("queued", UINT32_MAX)),
                     .kvUsedTokens = read("kv_used_tokens", UINT64_MAX),
                     .kvLimitTokens = read("kv_limit_tokens", UINT64_MAX),
                     .age = age };
  return isValid ? std::optional(std::move(report)) : std::nullopt;
}

/// Parses the answer of POST /kv/export.
std::optional<std::string> ParseKvHandle(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto handle = json.find("kv_handle");
  const bool isValid =
    handle != json.end() && handle->is_string() && !handle->get<std::string>().empty();
  return isValid ? std::optional(handle->get<std::string>()) : std::nullopt;
}

} // namespace

/// One request on its own connection. Members are destroyed in reverse order: first the
/// running task, then the call, the client and the connection.
class BackendHttp::Attempt
{
public:
  Attempt(BackendHttp& aPort, AttemptId aId, HttpRequest aRequest, bool aIsStream)
    : port_(aPort)
    , id_(aId)
    , request_(std::move(aRequest))
    , isStream_(aIsStream)
    , parser_(aPort.options_.stream)
    , charge_(aPort.options_.answerMemory)
  {
  }

  void Run(const std::string& aAddress, Duration aTimeout)
  {
    kj::Timer& timer = port_.options_.timer;
    Duration connectTimeout = port_.options_.connectTimeout;
    if (aTimeout > Duration::zero()) {
      connectTimeout = std::min(connectTimeout, aTimeout);
    }
    const kj::TimePoint due = timer.now() + ToKj(aTimeout);
    task_ = Connect(port_.options_.network, timer, aAddress, connectTimeout)
              .then(
                [this, aTimeout, due](kj::Own<kj::AsyncIoStream> aStream) {
                  auto exchange = Exchange(kj::mv(aStream));
                  if (aTimeout > Duration::zero()) {
                    exchange = port_.options_.timer.timeoutAt(due, kj::mv(exchange));
                  }
                  return exchange.catch_([this](kj::Exception&& aError) {
                    End(AttemptBroken{ id_, ReasonOf(aError) });
                  });
                },
                [this](kj::Exception&& aError) {
                  End(AttemptNotSent{ id_, ReasonOf(aError) });
                })
              .eagerlyEvaluate([this](kj::Exception&& aError) {
                port_.errors_.taskFailed(kj::mv(aError));
              });
  }

  /// After this call the attempt emits no events.
  void Silence() { isEnded_ = true; }

private:
  kj::Promise<void> Exchange(kj::Own<kj::AsyncIoStream> aStream)
  {
    stream_ = kj::mv(aStream);
    client_ = kj::newHttpClient(HeaderTable(), *stream_);
    call_ = kj::heap<HttpCall>(*client_, std::move(request_));
    return call_->Send().then([this]() -> kj::Promise<void> {
      if (const int status = call_->reply.status; IsInvalidStatus(status)) {
        End(AttemptBroken{ id_, "the answer is malformed: its status is " +
                                  std::to_string(status) });
        return kj::READY_NOW;
      }
      if (isStream_ && call_->reply.status == 200) {
        return ReadTokens();
      }
      return ReadAnswer().then([this] {
        const HttpReply& reply = call_->reply;
        Headers headers = EndToEndHeaders(reply.headers);
        // The length of an answer to HEAD tells about a body that is not sent.
        if (body_.size() == 0 && isHead_) {
          if (const auto length = FindHeader(reply.headers, "Content-Length");
              !length.empty()) {
            headers.push_back(Header{ "Content-Length", std::string(length) });
          }
        }
        End(AttemptAnswered{ id_, reply.status, std::move(headers),
                             SharedBytes(body_.Take(), charge_.Split(charge_.Bytes())) });
      });
    });
  }

  /// Reads a whole answer. Rejects if it is cut or too large, or finds no room.
  kj::Promise<void> ReadAnswer()
  {
    return call_->Body()
      .tryRead(buffer_.data(), 1, buffer_.size())
      .then([this](size_t aRead) -> kj::Promise<void> {
        if (aRead == 0) {
          return kj::READY_NOW;
        }
        Append({ buffer_.data(), aRead });
        return ReadAnswer();
      });
  }

  /// Charges and keeps bytes of the answer. Throws kj::Exception if they are too many.
  void Append(std::string_view aBytes)
  {
    const size_t limit = port_.options_.maxAnswerBytes;
    const size_t size = body_.size() + aBytes.size();
    KJ_REQUIRE(size <= limit, "the answer is over the size limit");
    const size_t capacity = body_.CapacityFor(size, limit);
    const bool hasRoom = charge_.TryResize(capacity) ||
                         (port_.options_.makeRoom(capacity - charge_.Bytes()) &&
                          charge_.TryResize(capacity));
    KJ_REQUIRE(hasRoom,
               "the answers that are being read or taken are too large together");
    body_.Append(aBytes, capacity);
  }

  kj::Promise<void> ReadTokens()
  {
    return call_->Body()
      .tryRead(buffer_.data(), 1, buffer_.size())
      .then([this](size_t aRead) -> kj::Promise<void> {
        if (aRead == 0) {
          return KJ_EXCEPTION(DISCONNECTED, "the stream ended without [DONE]");
        }
        auto chunks = parser_.Feed({ buffer_.data(), aRead });
        if (chunks) {
          for (ModelChunk& chunk : *chunks) {
            Handle(std::move(chunk));
          }
          chunks = parser_.Feed({}); // tells whether more input was malformed
        }
        if (!chunks) {
          End(AttemptBroken{ id_, std::move(chunks.error().message) });
        }
        if (isEnded_) {
          return kj::READY_NOW;
        }
        return ReadTokens();
      });
  }

  void Handle(ModelChunk aChunk)
  {
    if (isEnded_) {
      return; // the attempt ended, or a sink cancelled it while handling a token
    }
    if (aChunk.isDone) {
      if (finishReason_.empty()) {
        End(AttemptBroken{ id_, "[DONE] came without a finish_reason" });
      } else {
        End(AttemptFinished{ id_, std::move(finishReason_) });
      }
      return;
    }
    if (!aChunk.finishReason.empty()) {
      finishReason_ = std::move(aChunk.finishReason);
    }
    if (aChunk.text) {
      port_.options_.sink(AttemptToken{ id_, std::move(aChunk.id), aChunk.offset,
                                        std::move(*aChunk.text) });
    }
  }

  void End(Event aEvent)
  {
    if (isEnded_) {
      return;
    }
    isEnded_ = true;
    port_.Remove(id_);
    port_.options_.sink(std::move(aEvent));
  }

  BackendHttp& port_;
  const AttemptId id_;
  HttpRequest request_;
  const bool isStream_;
  const bool isHead_ = request_.method == "HEAD";
  bool isEnded_ = false;
  SseParser parser_;
  std::string finishReason_;
  BodyBuffer body_{ kFirstAnswerBytes };
  MemoryCharge charge_; // for body_
  std::array<char, 8192> buffer_{};
  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<kj::HttpClient> client_;
  kj::Own<HttpCall> call_;
  kj::Promise<void> task_ = nullptr;
};

/// The polling of one address, on a kept connection: a report that is lost to a closed
/// connection does no harm.
struct BackendHttp::LoadWatch
{
  std::string address;
  kj::Own<kj::NetworkAddress> networkAddress;
  kj::Own<kj::HttpClient> client;
  kj::Promise<void> task = nullptr;
};

BackendHttp::BackendHttp(BackendHttpOptions aOptions)
  : options_(std::move(aOptions))
  , tasks_(errors_)
{
  options_.answerMemory->SetLeastBound(options_.maxAnswerBytes);
}

BackendHttp::~BackendHttp() = default;

void BackendHttp::Execute(const StartModelAttempt& aAction)
{
  Headers headers = EndToEndHeaders(aAction.headers);
  std::erase_if(headers, [](const Header& aHeader) {
    return EqualsIgnoreCase(aHeader.name, "Content-Type") ||
           EqualsIgnoreCase(aHeader.name, "Host") ||
           EqualsIgnoreCase(aHeader.name, "Accept");
  });
  headers.push_back(Header{ "Host", aAction.address });
  headers.push_back(Header{ "Content-Type", "application/json" });
  headers.push_back(Header{ "Accept", "text/event-stream" });
  Start(aAction.attempt, aAction.address,
        HttpRequest{ .method = "POST",
                     .target = "/v1/chat/completions",
                     .headers = std::move(headers),
                     .body = aAction.body },
        Duration::zero(), true);
}

void BackendHttp::Execute(const StartServiceAttempt& aAction)
{
  Headers headers = EndToEndHeaders(aAction.headers);
  if (FindHeader(headers, "Host").empty()) {
    headers.push_back(Header{ "Host", aAction.address });
  }
  Start(aAction.attempt, aAction.address,
        HttpRequest{ .method = aAction.method,
                     .target = aAction.target,
                     .headers = std::move(headers),
                     .body = aAction.body },
        aAction.timeout, false);
}

void BackendHttp::Start(AttemptId aId, const std::string& aAddress, HttpRequest aRequest,
                        Duration aTimeout, bool aIsStream)
{
  auto attempt = kj::heap<Attempt>(*this, aId, std::move(aRequest), aIsStream);
  Attempt& ref = *attempt;
  attempts_.insert_or_assign(aId, kj::mv(attempt));
  ref.Run(aAddress, aTimeout);
}

void BackendHttp::Execute(const CancelAttempt& aAction)
{
  Remove(aAction.attempt);
}

void BackendHttp::Execute(const ExportKv& aAction)
{
  const AttemptId id = aAction.attempt;
  KJ_IF_MAYBE (address, ParseAddress(options_.network, aAction.address)) {
    auto client = kj::newHttpClient(options_.timer, HeaderTable(), **address);
    HttpRequest request{
      .method = "POST",
      .target = "/kv/export",
      .headers = { { "Host", aAction.address }, { "Content-Type", "application/json" } },
      .body = nlohmann::json{ { "request_id", aAction.name } }.dump()
    };
    tasks_.add(
      Fetch(*client, options_.timer, std::move(request), kMaxExportBytes, aAction.timeout)
        .then(
          [this, id](const HttpReply& aReply) {
            auto handle =
              aReply.status == 200 ? ParseKvHandle(aReply.body) : std::nullopt;
            if (handle) {
              options_.sink(KvExported{ id, std::move(*handle) });
            } else {
              options_.sink(KvExportFailed{ id, "the engine answered " +
                                                  std::to_string(aReply.status) });
            }
          },
          [this, id](kj::Exception&& aError) {
            options_.sink(KvExportFailed{ id, ReasonOf(aError) });
          })
        .attach(kj::mv(client))
        .attach(kj::mv(*address)));
  } else {
    options_.sink(KvExportFailed{ id, "the address is malformed" });
  }
}

void BackendHttp::Remove(AttemptId aId)
{
  const auto found = attempts_.find(aId);
  if (found == attempts_.end()) {
    return;
  }
  kj::Own<Attempt> attempt = kj::mv(found->second);
  attempts_.erase(found);
  attempt->Silence();
  DropLater(kj::mv(attempt));
}

template<typename T>
void BackendHttp::DropLater(kj::Own<T> aObject)
{
  tasks_.add(kj::evalLater([object = kj::mv(aObject)]() mutable { object = nullptr; }));
}

void BackendHttp::Execute(const WatchLoads& aAction)
{
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (std::ranges::find(aAction.addresses, it->first) == aAction.addresses.end()) {
      DropLater(kj::mv(it->second));
      it = watches_.erase(it);
    } else {
      ++it;
    }
  }
  for (const std::string& address : aAction.addresses) {
    if (watches_.contains(address)) {
      continue;
    }
    KJ_IF_MAYBE (parsed, ParseAddress(options_.network, address)) {
      auto watch = kj::heap<LoadWatch>();
      watch->address = address;
      watch->networkAddress = kj::mv(*parsed);
      watch->client =
        kj::newHttpClient(options_.timer, HeaderTable(), *watch->networkAddress);
      LoadWatch& ref = *watch;
      watches_.emplace(address, kj::mv(watch));
      // The first report is asked for at once.
      ref.task = kj::evalLater([this, &ref] {
                   return PollLoad(ref);
                 }).eagerlyEvaluate([this](kj::Exception&& aError) {
        errors_.taskFailed(kj::mv(aError));
      });
    } else {
      ++loadFailures_;
    }
  }
}

kj::Promise<void> BackendHttp::PollLoad(LoadWatch& aWatch)
{
  HttpRequest request{ .target = "/load", .headers = { { "Host", aWatch.address } } };
  return Fetch(*aWatch.client, options_.timer, std::move(request), kMaxLoadBytes,
               options_.loadTimeout)
    .then(
      [this, &aWatch](const HttpReply& aReply) {
        auto report =
          aReply.status == 200 ? ParseLoad(aWatch.address, aReply.body) : std::nullopt;
        if (report) {
          options_.sink(std::move(*report));
        } else {
          ++loadFailures_;
        }
      },
      [this](kj::Exception&&) { ++loadFailures_; })
    .then([this] { return options_.timer.afterDelay(Jittered(options_.loadInterval)); })
    .then([this, &aWatch] { return PollLoad(aWatch); });
}

} // namespace gooseberrypath
