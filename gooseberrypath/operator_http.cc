#include "gooseberrypath/operator_http.h"

#include <atomic>
#include <charconv>
#include <csignal>
#include <deque>
#include <future>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <kj/async.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using nlohmann::json;

/// Ids of the core's own requests stay below this one.
constexpr uint64_t kFirstWriteId = uint64_t{ 1 } << 32U;

/// Threads kept free for /healthz, /readyz and /metrics. Each waiting call on /v1/ holds
/// a thread, and long polls must not make health checks fail.
constexpr unsigned kHealthThreads = 16;

struct Answer
{
  int status = 200;
  std::string body;
  std::string contentType = "application/json";
};

Answer AnswerOf(const Error& aError)
{
  return { .status = InfoOf(aError.kind).status, .body = ErrorBody(aError) };
}

Answer NoAnswer(const std::string& aMessage)
{
  return { .status = 503, .body = ErrorBody({ ErrorKind::NotReady, aMessage }) };
}

/// Work that handlers pass to the thread of the event loop. Shared by both sides, because
/// a handler may outlive the loop. kj::Executor is not used: its executeSync() has no
/// time limit, and executeAsync() needs an event loop on the calling thread.
class Mailbox
{
public:
  using Job = std::function<void()>;

  explicit Mailbox(size_t aMaxQueued)
    : maxQueued_(aMaxQueued)
  {
  }

  /// Queues a job and wakes the loop. Returns false when the mailbox is closed or full.
  bool Post(Job aJob)
  {
    const std::lock_guard lock(mutex_);
    if (isClosed_ || jobs_.size() >= maxQueued_) {
      return false;
    }
    jobs_.push_back(std::move(aJob));
    if (wake_.get() != nullptr) {
      wake_->fulfill();
      wake_ = nullptr;
    }
    return true;
  }

  /// Returns a promise that resolves when a job is queued. Called on the loop thread.
  kj::Promise<void> WhenQueued()
  {
    const std::lock_guard lock(mutex_);
    if (!jobs_.empty()) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    wake_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  std::deque<Job> Take()
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(jobs_, {});
  }

  /// Drops queued jobs and refuses further ones. Called on the loop thread.
  void Close()
  {
    std::deque<Job> dropped;
    const std::lock_guard lock(mutex_);
    isClosed_ = true;
    wake_ = nullptr;
    dropped.swap(jobs_);
  }

private:
  std::mutex mutex_;
  std::deque<Job> jobs_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
  size_t maxQueued_;
  bool isClosed_ = false;
};

using AnswerPromise = std::shared_ptr<std::promise<Answer>>;

/// Waits for an answer. A promise that was dropped counts as a stop of the daemon.
std::optional<Answer> WaitFor(std::future<Answer>& aFuture, Duration aTimeout)
{
  if (aFuture.wait_for(aTimeout) != std::future_status::ready) {
    return std::nullopt;
  }
  try {
    return aFuture.get();
  } catch (const std::future_error&) {
    return NoAnswer("the daemon is stopping");
  }
}

} // namespace

class OperatorHttp::Impl
  : private cxxtools::http::Service
  , private kj::TaskSet::ErrorHandler
{
public:
  explicit Impl(OperatorHttpOptions aOptions)
    : options_(std::move(aOptions))
    , mailbox_(std::make_shared<Mailbox>(options_.maxQueued))
    , server_(serverLoop_)
    , tasks_(*this)
  {
    Listen();
    server_.maxThreads(static_cast<unsigned>(options_.maxCalls) + kHealthThreads);
    server_.addService(cxxtools::Regex("^/"), *this);
    // Signals belong to the thread of the event loop; the threads of cxxtools inherit
    // this mask.
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    thread_ = std::thread([this] { serverLoop_.run(); });
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
    tasks_.add(Pump());
  }

  ~Impl() noexcept override
  {
    mailbox_->Close();
    // Handlers that wait see their promise dropped.
    waiting_.clear();
    serverLoop_.exit();
    thread_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Execute(const OperatorReply& aReply)
  {
    const auto found = waiting_.find(aReply.write);
    if (found != waiting_.end()) {
      found->second->set_value({ .status = aReply.status, .body = aReply.body });
      waiting_.erase(found);
    }
  }

private:
  class Responder : public cxxtools::http::Responder
  {
  public:
    Responder(cxxtools::http::Service& aService, Impl& aImpl)
      : cxxtools::http::Responder(aService)
      , impl_(aImpl)
    {
    }

    void reply(std::ostream& aOut, cxxtools::http::Request& aRequest,
               cxxtools::http::Reply& aReply) override
    {
      const Answer answer = impl_.Handle({ .method = aRequest.method(),
                                           .path = aRequest.url(),
                                           .query = aRequest.qparams(),
                                           .body = aRequest.bodyStr() });
      aReply.setHeader("Content-Type", answer.contentType.c_str());
      aReply.httpReturn(static_cast<unsigned>(answer.status),
                        answer.status < 300 ? "OK" : "Error");
      aOut << answer.body;
    }

  private:
    Impl& impl_;
  };

  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
  {
    return new Responder(*this, *this);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

  void taskFailed(kj::Exception&&) override
  {
    // Jobs do not throw, so the loop itself failed and takes no further work.
    mailbox_->Close();
    waiting_.clear();
  }

  void Listen()
  {
    const size_t colon = options_.address.rfind(':');
    std::string host = options_.address.substr(0, colon);
    if (host.starts_with('[')) {
      host = host.substr(1, host.size() - 2);
    }
    uint16_t port = 0;
    const char* end = options_.address.data() + options_.address.size();
    if (colon == std::string::npos ||
        std::from_chars(options_.address.data() + colon + 1, end, port).ptr != end) {
      throw std::runtime_error("address \"" + options_.address + "\" is not IP:port");
    }
    try {
      server_.listen(host, port);
    } catch (const std::exception& problem) {
      throw std::runtime_error("cannot listen on " + options_.address + ": " +
                               problem.what());
    }
  }

  kj::Promise<void> Pump()
  {
    return mailbox_->WhenQueued().then([this] {
      for (const Mailbox::Job& job : mailbox_->Take()) {
        job();
      }
      return Pump();
    });
  }

  // ---- On the threads of cxxtools ----

  Answer Handle(const OperatorCall& aCall)
  {
    if (aCall.path == "/healthz" || aCall.path == "/readyz" || aCall.path == "/metrics") {
      if (aCall.method != "GET") {
        return AnswerOf(
          { ErrorKind::MethodNotAllowed,
            "method " + aCall.method + " is not allowed on " + aCall.path });
      }
      return HandleSnapshot(aCall.path);
    }
    if (aCall.body.size() > options_.maxBodyBytes) {
      return AnswerOf(
        { ErrorKind::BodyTooLarge,
          "the body has more than " + std::to_string(options_.maxBodyBytes) + " bytes" });
    }
    const WriteId id{ nextId_.fetch_add(1) };
    const auto event = ParseOperatorCall(aCall, id, options_.maxWait);
    if (!event) {
      return AnswerOf(event.error());
    }
    const bool isAdmitted = calls_.fetch_add(1) < options_.maxCalls;
    Answer answer =
      isAdmitted ? HandleEvent(id, *event)
                 : AnswerOf({ ErrorKind::Overloaded, "too many operators' calls wait" });
    calls_.fetch_sub(1);
    return answer;
  }

  Answer HandleSnapshot(const std::string& aPath)
  {
    auto promise = std::make_shared<std::promise<Answer>>();
    std::future<Answer> future = promise->get_future();
    const bool isPosted = mailbox_->Post([this, aPath, promise = std::move(promise)] {
      try {
        promise->set_value(Render(aPath, options_.snapshot()));
      } catch (const std::exception& problem) {
        promise->set_value(AnswerOf({ ErrorKind::Internal, problem.what() }));
      }
    });
    if (!isPosted) {
      return NoAnswer("the daemon is stopping or overloaded");
    }
    return WaitFor(future, options_.healthTimeout)
      .value_or(NoAnswer("the event loop does not answer"));
  }

  Answer HandleEvent(WriteId aId, const Event& aEvent)
  {
    auto promise = std::make_shared<std::promise<Answer>>();
    std::future<Answer> future = promise->get_future();
    const bool isPosted =
      mailbox_->Post([this, aId, aEvent, promise = std::move(promise)] {
        // The sink may reply before it returns.
        waiting_.emplace(aId, promise);
        try {
          options_.sink(aEvent);
        } catch (const std::exception& problem) {
          const Answer answer = AnswerOf({ ErrorKind::Internal, problem.what() });
          Execute({ .write = aId, .status = answer.status, .body = answer.body });
        }
      });
    if (!isPosted) {
      return NoAnswer("the daemon is stopping or overloaded");
    }
    const auto* read = std::get_if<OperatorRead>(&aEvent);
    const Duration timeout =
      options_.replyTimeout + (read != nullptr ? read->wait : Duration{});
    if (auto answer = WaitFor(future, timeout)) {
      return *answer;
    }
    mailbox_->Post([this, aId] { waiting_.erase(aId); });
    const bool mayBeInForce = std::holds_alternative<OperatorWrite>(aEvent) ||
                              std::holds_alternative<OperatorDrain>(aEvent);
    if (mayBeInForce) {
      return AnswerOf({ ErrorKind::WriteUnknown,
                        "the daemon did not answer in time; the write may be in force "
                        "later" });
    }
    return NoAnswer("the daemon did not answer in time");
  }

  // ---- On the thread of the event loop ----

  static Answer Render(const std::string& aPath, const OperatorSnapshot& aSnapshot)
  {
    if (aPath == "/metrics") {
      return { .body = aSnapshot.metrics,
               .contentType = "text/plain; version=0.0.4; charset=utf-8" };
    }
    if (aPath == "/healthz") {
      return { .body = R"({"healthy":true})" };
    }
    if (aSnapshot.state == DaemonState::Serving) {
      return { .body = R"({"ready":true})" };
    }
    const json body = {
      { "ready", false },
      { "state", aSnapshot.state == DaemonState::Draining ? "draining" : "starting" },
      { "reason", aSnapshot.reason }
    };
    return { .status = 503,
             .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
  }

  OperatorHttpOptions options_;
  std::shared_ptr<Mailbox> mailbox_;
  std::unordered_map<WriteId, AnswerPromise> waiting_; // loop thread only
  std::atomic<uint64_t> nextId_ = kFirstWriteId;
  std::atomic<size_t> calls_ = 0; // calls on /v1/ that wait
  cxxtools::EventLoop serverLoop_;
  cxxtools::http::Server server_;
  std::thread thread_;
  kj::TaskSet tasks_;
};

OperatorHttp::OperatorHttp(OperatorHttpOptions aOptions)
  : impl_(std::make_unique<Impl>(std::move(aOptions)))
{
}

OperatorHttp::~OperatorHttp() = default;

void OperatorHttp::Execute(const OperatorReply& aReply)
{
  impl_->Execute(aReply);
}

} // namespace gooseberrypath
