#include "gooseberrypath/claim_system.h"

#include <array>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/claim_scripts.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;

TEST_CASE("A holder that is killed before it dispatches", "[claims]")
{
  // Guards against taking over a claim whose holder cannot be asked.
  const auto script = [](auto& s) {
    s.intercept = [&](size_t aDaemon, const Action& aAction) {
      if (aDaemon == 0 && std::holds_alternative<StartServiceAttempt>(aAction)) {
        s.Kill(0);
        return false;
      }
      return true;
    };
    s.Send(0, "k");
    s.RunFor(100ms);
    const size_t second = s.Send(1, "k");
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(second) == "outcome_unknown");
    CHECK_OWN(s.KindOf(third) == "outcome_unknown");
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A holder that is killed after it dispatched", "[claims]")
{
  // Guards against running the action again through another daemon or the restarted one.
  const auto script = [](auto& s) {
    s.Send(0, "k");
    s.RunFor(12ms);
    CHECK(s.RunsOf("k") == 1);
    s.Kill(0);
    const size_t second = s.Send(1, "k");
    s.RunFor(1s);
    s.Start(0);
    s.RunFor(100ms);
    const size_t third = s.Send(0, "k");
    s.RunFor(100ms);
    CHECK_OWN(s.KindOf(second) == "outcome_unknown");
    CHECK_OWN(s.KindOf(third) == "outcome_unknown");
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A holder that is killed before the outcome is recorded", "[claims]")
{
  // Guards against a retry that runs because the outcome is missing.
  const auto script = [](auto& s) {
    s.intercept = [&](size_t aDaemon, const Action& aAction) {
      if (aDaemon == 0 && std::holds_alternative<ReplyWhole>(aAction)) {
        s.Kill(0);
        return false;
      }
      return true;
    };
    s.Send(0, "k");
    s.RunFor(1s);
    CHECK(s.RunsOf("k") == 1);
    CHECK_OWN(CountRecords(s.log, "outcome") == 0);
    const size_t second = s.Send(1, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(second) == "outcome_unknown");
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A holder that is paused between decision and send, and woken", "[claims]")
{
  // Guards against leases: the holder resumes past every timeout and still sends.
  const auto script = [](auto& s) {
    s.daemons[0].pausesAtDispatch = true;
    s.Send(0, "k");
    s.RunFor(100ms);
    CHECK(s.daemons[0].isPaused);
    const size_t second = s.Send(1, "k");
    s.RunFor(60s);
    CHECK_OWN(s.KindOf(second) == "outcome_unknown");
    CHECK_OWN(s.RunsOf("k") == 0);
    s.Resume(0);
    s.RunFor(5s);
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(third).empty());
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A holder that is paused before it reads its claim, and woken", "[claims]")
{
  // Guards against dispatching a claim after the request's deadline.
  OwnSimulation s(3, kSeed);
  const size_t first = s.Send(0, "k");
  s.RunFor(3ms);
  s.Pause(0);
  const size_t second = s.Send(1, "k");
  s.RunFor(60s);
  CHECK(s.KindOf(second) == "outcome_unknown");
  s.Resume(0);
  s.RunFor(5s);
  CHECK(s.KindOf(first) == "queue_timeout");
  CHECK(s.RunsOf("k") == 0);
  const size_t third = s.Send(2, "k");
  s.RunFor(1s);
  CHECK(s.KindOf(third).empty());
  CHECK(s.RunsOf("k") == 1);
}

TEST_CASE("Two retries at once, and a third after the answer", "[claims]")
{
  // Guards against two daemons that both believe that they hold the key.
  const auto script = [](auto& s) {
    const size_t first = s.Send(0, "k");
    const size_t second = s.Send(1, "k");
    const size_t same = s.Send(0, "k");
    s.RunFor(1s);
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    for (const size_t call : { first, second, same, third }) {
      CHECK_OWN(s.KindOf(call).empty());
      CHECK_OWN(s.calls[call].reply->body == "run 1 of k");
    }
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("The same key with another body", "[claims]")
{
  // Guards against answering one action with the outcome of another.
  const auto script = [](auto& s) {
    const size_t first = s.Send(0, "k", "one pallet");
    s.RunFor(1s);
    const size_t second = s.Send(1, "k", "two pallets");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(first).empty());
    CHECK_OWN(s.KindOf(second) == "key_reused");
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A refused connection and then another backend", "[claims]")
{
  // Guards against an unknown outcome where nothing was sent.
  const auto script = [](auto& s) {
    s.service.faults["b0"] = FakeService::Fault::Refuse;
    const size_t first = s.Send(0, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(first).empty());
    const size_t second = s.Send(1, "k");
    s.RunFor(1s);
    CHECK_OWN(s.calls[second].reply->body == "run 1 of k");
    // No backend at all: the claim is abandoned and the next try runs.
    for (const char* backend : { "b0", "b1", "b2" }) {
      s.service.faults[backend] = FakeService::Fault::Refuse;
    }
    const size_t third = s.Send(0, "k2");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(third) == "no_backend");
    s.service.faults.clear();
    const size_t fourth = s.Send(1, "k2");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(fourth).empty());
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A connection that breaks after the first byte", "[claims]")
{
  // Guards against a retry of an attempt that may have run, through any daemon.
  for (const auto fault :
       { FakeService::Fault::BreakAfterRun, FakeService::Fault::BreakBeforeRun }) {
    const auto script = [&](auto& s) {
      s.service.faults["b0"] = fault;
      const size_t first = s.Send(0, "k");
      s.RunFor(1s);
      const size_t second = s.Send(1, "k");
      s.RunFor(1s);
      CHECK_OWN(s.KindOf(first) == "outcome_unknown");
      CHECK_OWN(s.KindOf(second) == "outcome_unknown");
      CHECK_OWN(FindAction(s.WorldOf(2), "shop", "k").state == "unknown");
    };
    CHECK(RunNaive(script).maxRuns > 1);
    RunOwn(script);
  }
}

TEST_CASE("A late answer after the caller left is recorded", "[claims]")
{
  // Guards against losing an answer that nobody waits for.
  const auto script = [](auto& s) {
    s.service.duration = 7s;
    const size_t first = s.Send(0, "k");
    s.RunFor(100ms);
    s.Leave(first);
    const size_t slow = s.Send(0, "k2");
    s.RunFor(10s);
    CHECK_OWN(s.KindOf(slow) == "deadline_exceeded");
    for (const char* key : { "k", "k2" }) {
      const size_t retry = s.Send(1, key);
      s.RunFor(100ms);
      CHECK_OWN(s.KindOf(retry).empty());
      const ActionView view = FindAction(s.WorldOf(2), "shop", key);
      CHECK_OWN(view.state == "done");
    }
    s.RunFor(10s);
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A caller that leaves before dispatch", "[claims]")
{
  // Guards against running an action that was given up, and against a blocked key.
  OwnSimulation s(3, kSeed);
  const size_t first = s.Send(0, "k");
  s.RunFor(1ms);
  s.Leave(first);
  s.RunFor(1s);
  CHECK(s.RunsOf("k") == 0);
  CHECK(FindAction(s.WorldOf(1), "shop", "k").state == "none");
  const size_t second = s.Send(1, "k");
  s.RunFor(1s);
  CHECK(s.KindOf(second).empty());
}

TEST_CASE("A given-up claim is abandoned by the daemon that asks for it", "[claims]")
{
  // Guards against waiting for a holder that will not run its claim: the holder cannot
  // append, and the asking daemon abandons the claim on its behalf.
  OwnSimulation s(3, kSeed);
  s.intercept = [](size_t aDaemon, const Action& aAction) {
    const auto* append = std::get_if<AppendRecord>(&aAction);
    return aDaemon != 0 || !append || append->data.find("abandon") == std::string::npos;
  };
  const size_t first = s.Send(0, "k");
  s.RunFor(1ms);
  s.Leave(first);
  s.RunFor(1s);
  CHECK(FindAction(s.WorldOf(1), "shop", "k").state == "claimed");
  const size_t second = s.Send(1, "k");
  s.RunFor(1s);
  CHECK(s.KindOf(second).empty());
  CHECK(s.RunsOf("k") == 1);
}

TEST_CASE("A key older than its window is refused", "[claims]")
{
  // Guards against running an action whose claim was forgotten at the end of its window.
  OwnSimulation s(3, kSeed, 10s);
  const int64_t createdMs = s.log.NowMs();
  std::array<char, 13> digits{};
  std::snprintf(digits.data(), digits.size(), "%012llx",
                static_cast<unsigned long long>(createdMs) & 0xffffffffffffULL);
  const std::string time = digits.data();
  const std::string key =
    time.substr(0, 8) + "-" + time.substr(8) + "-7abc-8def-0123456789ab";
  CHECK(TimeOfUuidV7(key) == createdMs);
  const size_t first = s.Send(0, key);
  s.RunFor(1s);
  CHECK(s.KindOf(first).empty());
  s.RunFor(90s);
  s.Send(1, "other"); // the log's time is known from its records
  s.RunFor(1s);
  CHECK(FindAction(s.WorldOf(2), "shop", key).state == "none");
  const size_t second = s.Send(2, key);
  s.RunFor(1s);
  CHECK(s.KindOf(second) == "key_expired");
  CHECK(s.RunsOf(key) == 1);
}

TEST_CASE("A fresh daemon on an empty log refuses an old key", "[claims]")
{
  // Guards against trusting the last record's time when the log has been silent.
  OwnSimulation s(1, kSeed, 10s);
  s.RunFor(60s);
  const size_t call = s.Send(0, "00000000-0001-7abc-8def-0123456789ab");
  s.RunFor(1s);
  CHECK(s.KindOf(call) == "key_expired");
  CHECK(s.MaxRuns() == 0);
}

TEST_CASE("Keys that are not UUIDs of version 7 have no time", "[claims]")
{
  CHECK_FALSE(TimeOfUuidV7("k"));
  CHECK_FALSE(TimeOfUuidV7("01234567-89ab-4abc-8def-0123456789ab"));
  CHECK_FALSE(TimeOfUuidV7("01234567-89ab-7abc-0def-0123456789ab"));
  CHECK_FALSE(TimeOfUuidV7("01234567-89ab-7abc-8def-0123456789ag"));
  CHECK(TimeOfUuidV7("00000000-000A-7abc-8def-0123456789ab") == 10);
}

TEST_CASE("HashAction keeps the parts apart", "[claims]")
{
  // Guards against equal hashes of requests that differ only in where a part ends.
  CHECK(HashAction("POST", "/a", "b") != HashAction("POST", "/", "ab"));
  CHECK(HashAction("POST", "/a", "b") == HashAction("POST", "/a", "b"));
  CHECK(HashAction("POST", "/a", "b").size() == 32);
}
