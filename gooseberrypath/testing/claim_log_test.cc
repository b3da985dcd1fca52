#include "gooseberrypath/claim_system.h"

#include <cstdio>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/claim_scripts.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;

TEST_CASE("An append answer that is lost after it took effect", "[claims]")
{
  // Guards against taking an append with a lost answer for a claim that was not made.
  const auto script = [](auto& s) {
    s.log.faults.loseAnswers = 3;
    const size_t first = s.Send(0, "k");
    const size_t second = s.Send(1, "k");
    s.RunFor(5s);
    CHECK_OWN(s.KindOf(first).empty());
    CHECK_OWN(s.KindOf(second).empty());
    CHECK_OWN(s.calls[first].reply->body == s.calls[second].reply->body);
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("An append that is never answered is repeated until it is read", "[claims]")
{
  // Guards against an outcome that is lost with the answer of its append.
  const auto script = [](auto& s) {
    s.log.faults.silentAppends = 2;
    const size_t first = s.Send(0, "k");
    s.RunFor(5s);
    const size_t second = s.Send(1, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(first).empty());
    CHECK_OWN(s.KindOf(second).empty());
    CHECK_OWN(CountRecords(s.log, "outcome") == 1);
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A slow append; the given-up claim neither runs nor blocks", "[claims]")
{
  // Guards against dispatching a claim that shows up after its caller was told "not run",
  // and against a key that stays blocked by it.
  const auto script = [](auto& s) {
    s.log.faults.appendDelay = 3s;
    const size_t first = s.Send(0, "k");
    s.RunFor(1s);
    s.Send(1, "k");
    s.RunFor(1500ms);
    CHECK_OWN(s.KindOf(first) == "log_unavailable");
    s.log.faults.appendDelay = 2ms;
    s.RunFor(10s);
    CHECK_OWN(s.RunsOf("k") == 0);
    CHECK_OWN(CountRecords(s.log, "abandon") >= 1);
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(third).empty());
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A log that is down before the claim", "[claims]")
{
  // Guards against running without a claim, and against a refusal that is not immediate.
  const auto script = [](auto& s) {
    s.log.faults.outage = true;
    s.RunFor(3s);
    const size_t first = s.Send(0, "k");
    const size_t second = s.Send(1, "k");
    CHECK_OWN(s.KindOf(first) == "log_unavailable");
    CHECK_OWN(s.KindOf(second) == "log_unavailable");
    s.RunFor(1s);
    s.log.faults.outage = false;
    s.RunFor(1s);
    CHECK_OWN(s.RunsOf("k") == 0);
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(third).empty());
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("A log that goes down during the claim", "[claims]")
{
  // Guards against dispatching after the claim was given up; the outage begins before the
  // claim is stored, and between its storage and its reading.
  for (const Duration delay : { 1ms, 3ms }) {
    const auto script = [&](auto& s) {
      const size_t first = s.Send(0, "k");
      s.RunFor(delay);
      s.log.faults.outage = true;
      s.RunFor(4s);
      CHECK_OWN(s.KindOf(first) == "log_unavailable");
      s.Send(1, "k");
      s.RunFor(1s);
      s.log.faults.outage = false;
      s.RunFor(8s);
      CHECK_OWN(s.RunsOf("k") == 0);
      const size_t third = s.Send(2, "k");
      s.RunFor(1s);
      CHECK_OWN(s.KindOf(third).empty());
    };
    CHECK(RunNaive(script).maxRuns > 1);
    RunOwn(script);
  }
}

TEST_CASE("A log that goes down after the claim", "[claims]")
{
  // Guards against losing the outcome when it cannot be recorded at once.
  const auto script = [](auto& s) {
    const size_t first = s.Send(0, "k");
    s.RunFor(10ms);
    s.log.faults.outage = true;
    s.RunFor(2s);
    CHECK_OWN(s.KindOf(first).empty());
    const size_t second = s.Send(1, "k");
    s.RunFor(6s);
    CHECK_OWN(s.KindOf(second) == "action_in_progress");
    s.log.faults.outage = false;
    s.RunFor(6s);
    const size_t third = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(third).empty());
    CHECK_OWN(s.calls[third].reply->body == "run 1 of k");
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("Claims are carried past the log's retention", "[claims]")
{
  // Guards against a daemon that starts after the claim's records were removed and runs
  // the action again.
  const auto script = [](auto& s) {
    s.log.faults.keep = 64;
    s.Send(0, "k");
    s.RunFor(1s);
    for (size_t i = 0; i < 400; ++i) {
      s.log.Append(std::string(kActionStream), EncodeRecord(UnknownRecord{ "noise" }),
                   [](const auto&) {});
      s.RunFor(200ms);
    }
    s.Kill(2);
    s.Start(2);
    s.RunFor(100ms);
    const size_t second = s.Send(2, "k");
    s.RunFor(1s);
    CHECK_OWN(s.KindOf(second).empty());
    CHECK_OWN(s.calls[second].reply->body == "run 1 of k");
    if constexpr (kIsOwn<std::decay_t<decltype(s)>>) {
      // 400 records are 8 times three quarters of the kept range. Three daemons without a
      // random delay would write 24.
      const size_t carries = CountRecords(s.log, "carry");
      WARN("carry records for one claim and 400 others: " << carries);
      CHECK(carries <= 20);
    }
  };
  CHECK(RunNaive(script).maxRuns > 1);
  RunOwn(script);
}

TEST_CASE("The share served in a log outage", "[claims]")
{
  // Guards against refusing services that deduplicate, and serving those that do not.
  for (const char* service : { "shop", "dedup" }) {
    OwnSimulation s(3, kSeed);
    s.service.deduplicates = service == std::string_view("dedup");
    s.log.faults.outage = true;
    s.RunFor(2s);
    size_t served = 0;
    constexpr size_t kCalls = 100;
    for (size_t i = 0; i < kCalls; ++i) {
      const size_t call = s.Send(i % 3, "k" + std::to_string(i / 2), "order", service);
      s.RunFor(100ms);
      served += s.KindOf(call).empty() ? 1 : 0;
    }
    WARN("outage, service " << service << ": served " << served << " of " << kCalls);
    CHECK(served == (s.service.deduplicates ? kCalls : 0));
    CHECK(s.MaxRuns() <= 1);
    CHECK(s.FalseNotRun() == 0);
  }
}
