#include "gooseberrypath/operator_loop.h"

#include <csignal>
#include <future>
#include <limits>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <kj/async-io.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/caller_http.h"
#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/operator_call.h"
#include "gooseberrypath/request_intake.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

namespace {

using nlohmann::json;

/// Ids of the core's own requests stay below this one.
constexpr uint64_t kFirstCallId = uint64_t{ 1 } << 32U;

/// Requests besides those on /v1/ that run at once: /healthz, /readyz and /metrics.
constexpr size_t kMaxSnapshots = 64;

/// Memory for the bodies of operators' calls together.
constexpr size_t kMemoryBytes = size_t{ 4 } * 1024 * 1024;

/// Time for answers that are being sent when the port stops.
constexpr Duration kFlushTime = std::chrono::seconds(1);
constexpr Duration kFlushStep = std::chrono::milliseconds(5);

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

std::string Dump(const json& aJson)
{
  return aJson.dump(-1, ' ', false, json::error_handler_t::replace);
}

Answer Render(const std::string& aPath, const OperatorSnapshot& aSnapshot)
{
  if (aPath == "/metrics") {
    return { .body = aSnapshot.metrics,
             .contentType = "text/plain; version=0.0.4; charset=utf-8" };
  }
  if (aPath == "/healthz") {
    return { .body = R"({"healthy":true})" };
  }
  if (aSnapshot.state == DaemonState::Serving) {
    json body = { { "ready", true } };
    if (!aSnapshot.reason.empty()) {
      body["reason"] = aSnapshot.reason;
    }
    return { .body = Dump(body) };
  }
  const char* state = aSnapshot.state == DaemonState::Draining ? "draining" : "starting";
  return {
    .status = 503,
    .body =
      Dump({ { "ready", false }, { "state", state }, { "reason", aSnapshot.reason } })
  };
}

/// Returns what a caller is told whose call has no reply in time.
Answer LateAnswer(const Event& aEvent)
{
  const bool mayBeInForce = std::holds_alternative<OperatorWrite>(aEvent) ||
                            std::holds_alternative<OperatorDrain>(aEvent);
  if (mayBeInForce) {
    return AnswerOf({ ErrorKind::WriteUnknown,
                      "the daemon did not answer in time; the write may be in force "
                      "later" });
  }
  return NoAnswer("the daemon did not answer in time");
}

OperatorCall ToCall(const CallerRequest& aRequest)
{
  const std::string_view path = PathOf(aRequest.target);
  const std::string_view rest = std::string_view(aRequest.target).substr(path.size());
  return { .method = aRequest.method,
           .path = std::string(path),
           .query = std::string(rest.empty() ? rest : rest.substr(1)),
           .body = std::string(aRequest.body.View()) };
}

bool IsSnapshotPath(std::string_view aPath)
{
  return aPath == "/healthz" || aPath == "/readyz" || aPath == "/metrics";
}

} // namespace

/// The server and the calls that wait, on the thread of the loop.
class OperatorLoop::Port
{
public:
  Port(OperatorLoopOptions aOptions, kj::AsyncIoContext& aIo)
    : options_(std::move(aOptions))
    , timer_(aIo.provider->getTimer())
    , http_({ .network = aIo.provider->getNetwork(),
              .timer = timer_,
              .sink = [this](const Event& aEvent) { Handle(aEvent); },
              .address = options_.http.address,
              .idPrefix = "operators",
              .maxBodyBytes = options_.http.maxBodyBytes,
              .maxConnections = options_.http.maxConnections,
              .maxRequests = options_.http.maxCalls + kMaxSnapshots,
              .isHalfCloseGone = false,
              .memory = std::make_shared<MemoryAccount>(kMemoryBytes),
              .onShortage = options_.http.onShortage })
    , tasks_(errors_)
  {
  }

  void Reply(const OperatorReply& aReply)
  {
    Finish(aReply.write.value, { .status = aReply.status, .body = aReply.body });
  }

  void Show(uint64_t aId, const OperatorSnapshot& aSnapshot)
  {
    const auto found = waiting_.find(aId);
    if (found != waiting_.end()) {
      Finish(aId, Render(found->second.path, aSnapshot));
    }
  }

  /// Answers all calls that wait and waits until the answers are sent, for a limited
  /// time.
  void Stop(kj::WaitScope& aScope)
  {
    http_.Stop();
    while (!waiting_.empty()) {
      Finish(waiting_.begin()->first, NoAnswer("the daemon is stopping"));
    }
    for (Duration waited{}; http_.RequestCount() > 0 && waited < kFlushTime;
         waited += kFlushStep) {
      timer_.afterDelay(ToKj(kFlushStep)).wait(aScope);
    }
  }

private:
  struct Waiting
  {
    RequestId request;
    std::string path;
    bool isCall = false; // counts for the limit of calls
  };

  void Handle(const Event& aEvent)
  {
    if (const auto* request = std::get_if<CallerRequest>(&aEvent)) {
      Handle(*request);
    } else if (const auto* gone = std::get_if<CallerGone>(&aEvent)) {
      Forget(gone->request);
    }
  }

  void Handle(const CallerRequest& aRequest)
  {
    const OperatorCall call = ToCall(aRequest);
    if (IsSnapshotPath(call.path)) {
      AskSnapshot(aRequest.request, call);
    } else {
      Call(aRequest.request, call);
    }
  }

  void AskSnapshot(RequestId aRequest, const OperatorCall& aCall)
  {
    if (aCall.method != "GET") {
      Send(aRequest,
           AnswerOf({ ErrorKind::MethodNotAllowed,
                      "method " + aCall.method + " is not allowed on " + aCall.path }));
      return;
    }
    const uint64_t id = nextId_++;
    waiting_.emplace(id, Waiting{ .request = aRequest, .path = aCall.path });
    FinishAfter(options_.http.healthTimeout, id,
                NoAnswer("the event loop does not answer"));
    if (!options_.onSnapshotAsked(id)) {
      Finish(id, NoAnswer("the daemon is stopping or overloaded"));
    }
  }

  void Call(RequestId aRequest, const OperatorCall& aCall)
  {
    const uint64_t id = nextId_++;
    const auto event = ParseOperatorCall(aCall, WriteId{ id }, options_.http.maxWait);
    if (!event) {
      Send(aRequest, AnswerOf(event.error()));
      return;
    }
    if (calls_ >= options_.http.maxCalls) {
      Send(aRequest,
           AnswerOf({ ErrorKind::Overloaded, "too many operators' calls wait" }));
      return;
    }
    ++calls_;
    waiting_.emplace(id,
                     Waiting{ .request = aRequest, .path = aCall.path, .isCall = true });
    const auto* read = std::get_if<OperatorRead>(&*event);
    const Duration wait = read != nullptr ? read->wait : Duration{};
    FinishAfter(options_.http.replyTimeout + wait, id, LateAnswer(*event));
    if (!options_.onCall(WriteId{ id }, *event)) {
      Finish(id, NoAnswer("the daemon is stopping or overloaded"));
    }
  }

  void FinishAfter(Duration aTime, uint64_t aId, Answer aAnswer)
  {
    tasks_.add(
      timer_.afterDelay(ToKj(aTime)).then([this, aId, answer = std::move(aAnswer)] {
        Finish(aId, answer);
      }));
  }

  /// Answers the call if it still waits.
  void Finish(uint64_t aId, const Answer& aAnswer)
  {
    const auto found = waiting_.find(aId);
    if (found == waiting_.end()) {
      return;
    }
    const Waiting waiting = std::move(found->second);
    waiting_.erase(found);
    calls_ -= waiting.isCall ? 1 : 0;
    Send(waiting.request, aAnswer);
  }

  void Forget(RequestId aRequest)
  {
    std::erase_if(waiting_, [&](const auto& aItem) {
      const bool isIt = aItem.second.request == aRequest;
      calls_ -= isIt && aItem.second.isCall ? 1 : 0;
      return isIt;
    });
  }

  void Send(RequestId aRequest, const Answer& aAnswer)
  {
    http_.Execute(ReplyWhole{ .request = aRequest,
                              .status = aAnswer.status,
                              .headers = { { "Content-Type", aAnswer.contentType } },
                              .body = aAnswer.body });
  }

  OperatorLoopOptions options_;
  kj::Timer& timer_;
  uint64_t nextId_ = kFirstCallId;
  size_t calls_ = 0; // that wait, on /v1/
  std::unordered_map<uint64_t, Waiting> waiting_;
  CallerHttp http_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

OperatorLoop::OperatorLoop(OperatorLoopOptions aOptions)
  : jobs_(std::make_shared<Mailbox>(std::numeric_limits<size_t>::max()))
{
  std::promise<void> started;
  const auto onStarted = [&started](std::exception_ptr aFailure) {
    if (aFailure) {
      started.set_exception(std::move(aFailure));
    } else {
      started.set_value();
    }
  };
  // Signals belong to the thread of the daemon's loop; the new thread inherits this mask.
  sigset_t all;
  sigset_t previous;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &previous);
  thread_ = std::thread([this, options = std::move(aOptions), &onStarted]() mutable {
    Run(std::move(options), onStarted);
  });
  pthread_sigmask(SIG_SETMASK, &previous, nullptr);
  try {
    started.get_future().get();
  } catch (...) {
    thread_.join();
    throw;
  }
}

OperatorLoop::~OperatorLoop()
{
  stop_->fulfill();
  thread_.join();
}

void OperatorLoop::Run(OperatorLoopOptions aOptions,
                       const std::function<void(std::exception_ptr)>& aOnStarted)
{
  const std::string address = aOptions.http.address;
  kj::AsyncIoContext io = SetUpEventLoop();
  auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
  kj::Own<Port> port;
  const auto failure =
    kj::runCatchingExceptions([&] { port = kj::heap<Port>(std::move(aOptions), io); });
  KJ_IF_MAYBE (problem, failure) {
    aOnStarted(std::make_exception_ptr(std::runtime_error(
      "cannot listen on " + address + ": " + problem->getDescription().cStr())));
    return;
  }
  port_ = port.get();
  stop_ = kj::mv(stop.fulfiller);
  auto jobs = TakeJobs().eagerlyEvaluate([](kj::Exception&&) {});
  aOnStarted(nullptr);
  stop.promise.wait(io.waitScope);
  port->Stop(io.waitScope);
  jobs_->Close();
}

kj::Promise<void> OperatorLoop::TakeJobs()
{
  return jobs_->WhenQueued().then([this] {
    for (const Mailbox::Job& job : jobs_->Take()) {
      job();
    }
    return TakeJobs();
  });
}

void OperatorLoop::Reply(OperatorReply aReply)
{
  jobs_->Post([this, reply = std::move(aReply)] { port_->Reply(reply); });
}

void OperatorLoop::Show(uint64_t aId, OperatorSnapshot aSnapshot)
{
  jobs_->Post(
    [this, aId, snapshot = std::move(aSnapshot)] { port_->Show(aId, snapshot); });
}

} // namespace gooseberrypath
