#include "gooseberrypath/daemon.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "gooseberrypath/records.h"
#include "gooseberrypath/testing/fake_log.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;
using namespace std::chrono_literals;

namespace {

/// The clock of a test. The daemon runs when the test advances the time.
struct FakeClock
{
  TimePoint now{};
  std::optional<TimePoint> due;
  std::function<void()> wake;
  int wakes = 0;

  TimePoint Now() const { return now; }

  void WakeAt(TimePoint aTime, std::function<void()> aWake)
  {
    due = aTime;
    wake = std::move(aWake);
  }
};

struct FakeCallers
{
  std::vector<ReplyWhole> replies;

  void Execute(const ReplyWhole& aAction) { replies.push_back(aAction); }
  void Execute(const ReplyStreamHead& /*aAction*/) {}
  void Execute(const ReplyStreamEvent& /*aAction*/) {}
  void Execute(const ReplyStreamEnd& /*aAction*/) {}
};

/// Answers each service attempt at once, from within Execute().
struct FakeBackends
{
  EventSink sink;
  int runs = 0;
  bool isFaulty = false;

  void Execute(const StartModelAttempt& /*aAction*/) {}
  void Execute(const StartServiceAttempt& aAction)
  {
    ++runs;
    if (std::exchange(isFaulty, false)) {
      throw std::runtime_error("faulty");
    }
    sink(AttemptAnswered{ aAction.attempt, 200, {}, "confirmed" });
  }
  void Execute(const CancelAttempt& /*aAction*/) {}
  void Execute(const ExportKv& aAction) { sink(KvExportFailed{ aAction.attempt }); }
  void Execute(const WatchLoads& /*aAction*/) {}
};

/// Passes appends on to a FakeLog; the test reads the streams into the daemon.
struct FakeLogPort
{
  FakeLog& log;
  EventSink sink;
  std::map<std::string, Offset> next{};

  void Follow(std::string_view aStream, Offset aFrom)
  {
    next[std::string(aStream)] = aFrom;
  }

  void Execute(const AppendRecord& aAction)
  {
    log.Append(aAction.stream, aAction.data,
               [this, id = aAction.append](const FakeLog::AppendAnswer& aAnswer) {
                 if (aAnswer.offset > 0) {
                   sink(AppendDone{ id, aAnswer.offset });
                 } else {
                   sink(AppendFailed{ id, aAnswer.mayBeStored, aAnswer.reason });
                 }
               });
  }

  void Poll()
  {
    for (auto& [stream, from] : next) {
      if (Result<LogBatch> batch = log.Read(stream, from)) {
        from = batch->head;
        sink(std::move(*batch));
      } else {
        sink(LogReadFailed{ stream, batch.error().message });
      }
    }
  }
};

struct FakePeers
{
  void Execute(const SendGossip& /*aAction*/) {}
  void Execute(const AskClaim& /*aAction*/) {}
  void Execute(const AnswerClaimQuestion& /*aAction*/) {}
  void Execute(const AskSnapshot& /*aAction*/) {}
  void Execute(const HandOverStream& /*aAction*/) {}
  void Execute(const AnswerHandOver& /*aAction*/) {}
  void Execute(const ReadStream& /*aAction*/) {}
  void Execute(const AnswerStreamQuestion& /*aAction*/) {}
};

struct FakeOperators
{
  std::vector<OperatorReply> replies;

  void Execute(const OperatorReply& aAction) { replies.push_back(aAction); }
};

struct FakeObservation
{
  std::vector<std::string> spans;

  void Execute(const WriteLog& /*aAction*/) {}
  void Execute(const WriteSpan& aAction) { spans.push_back(aAction.name); }
};

using FakePorts = Ports<FakeCallers, FakeBackends, FakeLogPort, FakePeers, FakeOperators,
                        FakeObservation, FakeClock>;

/// A daemon with fakes at all ports.
class DaemonFixture
{
public:
  DaemonFixture()
    : daemon_(
        { .daemon = "d0", .peerAddress = "127.0.0.1:1" },
        FakePorts{ callers, backends, logPort, peers, operators, observation, clock,
                   [this] { ++exits; },
                   [this](std::string_view aReason) { errors.emplace_back(aReason); } })
  {
    for (const std::string_view stream : { kConfigStream, kActionStream, kJobStream }) {
      logPort.Follow(stream, 1);
    }
    daemon_.Wake();
  }

  void Post(Event aEvent) { daemon_.Post(std::move(aEvent)); }

  /// Advances the time in steps of the log's polls.
  void Run(Duration aTime)
  {
    const TimePoint end = clock.now + aTime;
    while (clock.now < end) {
      clock.now += kStep;
      logTimers_.AdvanceTo(clock.now);
      if (clock.due && *clock.due <= clock.now) {
        ++clock.wakes;
        clock.due.reset();
        clock.wake();
      }
      logPort.Poll();
    }
  }

  void Apply(const char* aKind, const char* aName, const char* aSpec)
  {
    Post(OperatorWrite{
      .write = { ++lastWrite_ }, .kind = aKind, .name = aName, .spec = aSpec });
    Run(100ms);
  }

  FakeClock clock;
  FakeCallers callers;
  FakeOperators operators;
  FakeObservation observation;
  FakePeers peers;
  FakeBackends backends{ [this](Event aEvent) { Post(std::move(aEvent)); } };
  int exits = 0;
  std::vector<std::string> errors;

private:
  static constexpr Duration kStep = 10ms;

  TimerService logTimers_;
  FakeLog log_{ logTimers_ };
  uint64_t lastWrite_ = 0;

public:
  FakeLogPort logPort{ log_, [this](Event aEvent) { Post(std::move(aEvent)); } };

private:
  Daemon<FakePorts> daemon_;
};

} // namespace

TEST_CASE("A daemon serves an action through its ports and stops", "[daemon]")
{
  // Guards against events that are lost when a port calls the sink from within Execute(),
  // and against an exit before the end of the planned stop.
  DaemonFixture f;
  f.Run(100ms);
  f.Apply("service", "booking",
          R"({"kind":"plain","backends":[{"name":"b0","address":"127.0.0.1:9"}]})");
  f.Apply("route", "pickups", R"({"pathPrefix":"/pickups","service":"booking"})");
  REQUIRE(f.operators.replies.size() == 2);
  CHECK(f.operators.replies[1].status == 200);
  for (uint64_t i = 1; i <= 2; ++i) {
    f.Post(CallerRequest{ .request = { i },
                          .method = "POST",
                          .target = "/pickups",
                          .headers = { { "Idempotency-Key", "k" } } });
    f.Run(200ms);
    REQUIRE(f.callers.replies.size() == i);
    CHECK(f.callers.replies.back().body == "confirmed");
  }
  CHECK(f.backends.runs == 1);
  CHECK(std::ranges::count(f.observation.spans, "attempt") == 1);
  f.Post(OperatorDrain{});
  f.Run(1s);
  CHECK(f.exits == 0);
  f.Run(5s);
  CHECK(f.exits == 1);
}

TEST_CASE("An idle daemon is woken only for its timers", "[daemon]")
{
  // Guards against an event loop that spins: gossip each 500 ms and times of jobs are all
  // that is due.
  DaemonFixture f;
  f.Run(1s);
  const int before = f.clock.wakes;
  f.Run(10s);
  CHECK(f.clock.wakes - before <= 60);
}

TEST_CASE("An unexpected error in one event does not end the service", "[daemon]")
{
  // Guards against a daemon that lives on after an exception and handles no event any
  // more.
  DaemonFixture f;
  f.Run(100ms);
  f.Apply("service", "booking",
          R"({"kind":"plain","backends":[{"name":"b0","address":"127.0.0.1:9"}]})");
  f.Apply("route", "pickups", R"({"pathPrefix":"/pickups","service":"booking"})");
  f.backends.isFaulty = true;
  for (uint64_t i = 1; i <= 2; ++i) {
    f.Post(
      CallerRequest{ .request = { i },
                     .method = "POST",
                     .target = "/pickups",
                     .headers = { { "Idempotency-Key", "k" + std::to_string(i) } } });
    f.Run(200ms);
  }
  REQUIRE(f.errors.size() == 1);
  CHECK(f.errors[0] == "faulty");
  REQUIRE(f.callers.replies.size() == 1);
  CHECK(f.callers.replies[0].status == 200);
}
