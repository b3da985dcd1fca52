// Tests of the limits that backends state in their responses: their order, malformed
// fields, and what an operator sees of them.

#include "entry/backend_limit.h"

#include <catch2/catch.hpp>

#include "entry/limit_report.h"
#include "entry/status_report.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

/// A daemon with two backends, that answers calls with limits.
class LimitFixture : public EntryFixture
{
public:
  LimitFixture() { Prepare(); }

  /// Sends a call and returns its attempt.
  StartAttempt SendCall()
  {
    PostCall("status");
    return SendLatestAttempt();
  }

  /// Removes the other backend, sends calls until one gets a permit of this backend, and
  /// returns its attempt.
  StartAttempt SendCallTo(const std::string& aBackend)
  {
    constexpr int kMaxCalls = 200;
    Post(FleetRead{ .changes = { BackendRemoved{
                      aBackend == "booking1" ? "booking2" : "booking1" } } });
    for (int i = 0; i < kMaxCalls; ++i) {
      Advance(50ms);
      StartAttempt attempt = SendCall();
      if (attempt.backend == aBackend) {
        return attempt;
      }
    }
    FAIL("no call was sent to " << aBackend);
    return {};
  }

  void RespondWith(const StartAttempt& aAttempt, AnnouncedLimit aLimit,
                   bool aHasStamp = true)
  {
    Post(AttemptAnswered{
      aAttempt.attempt,
      { .status = 200, .hasResponseStamp = aHasStamp, .limit = std::move(aLimit) },
      "body" });
  }

  std::optional<double> LimitOf(const std::string& aBackend) const
  {
    return GetWorld().backends.Find(aBackend)->limit.InForce();
  }

  /// Removes and returns the collected log lines with this event.
  std::vector<WriteEvent> TakeLines(const std::string& aEvent)
  {
    auto lines = TakeActions<WriteEvent>();
    std::erase_if(lines, [&](const WriteEvent& aLine) { return aLine.event != aEvent; });
    return lines;
  }
};

std::string FieldOf(const WriteEvent& aLine, const std::string& aName)
{
  for (const auto& [name, value] : aLine.fields) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

} // namespace

TEST_CASE("Entry: responses out of order neither lift nor raise a limit",
          "[entry][limit]")
{
  // Guards against a delayed response without a limit, or with an older one, that ends
  // the limit of a backend in need.
  BackendLimit limit;
  CHECK(limit.Apply({ .perSecond = 2, .sentAt = 100ms, .receivedAt = 110ms }));
  SECTION("a response to a call sent before the statement was received")
  {
    CHECK_FALSE(limit.Apply({ .sentAt = 105ms, .receivedAt = 900ms }));
    CHECK_FALSE(limit.Apply({ .perSecond = 9, .sentAt = 90ms, .receivedAt = 900ms }));
    CHECK(limit.InForce() == 2.0);
    CHECK(limit.Apply({ .perSecond = 1, .sentAt = 90ms, .receivedAt = 900ms }));
    CHECK(limit.InForce() == 1.0);
  }
  SECTION("a response to a later call decides")
  {
    CHECK(limit.Apply({ .perSecond = 9, .sentAt = 111ms, .receivedAt = 120ms }));
    CHECK(limit.Apply({ .sentAt = 121ms, .receivedAt = 130ms }));
    CHECK_FALSE(limit.InForce());
    CHECK(limit.Apply({ .perSecond = 9, .sentAt = 131ms, .receivedAt = 140ms }));
  }
  SECTION("a statement that is certainly older changes nothing")
  {
    CHECK_FALSE(limit.Apply({ .perSecond = 1, .sentAt = 50ms, .receivedAt = 60ms }));
    CHECK(limit.InForce() == 2.0);
  }
  SECTION("a repeated statement extends the time for which the order is unknown")
  {
    CHECK_FALSE(limit.Apply({ .perSecond = 2, .sentAt = 200ms, .receivedAt = 210ms }));
    CHECK_FALSE(limit.Apply({ .sentAt = 205ms, .receivedAt = 215ms }));
    CHECK(limit.Apply({ .sentAt = 211ms, .receivedAt = 215ms }));
  }
}

TEST_CASE("Entry: a limit that is named, changed and lifted is logged", "[entry][limit]")
{
  // Guards against an incident in which nobody can tell whether a daemon knew the limit.
  LimitFixture entry;
  const StartAttempt attempt = entry.SendCall();
  entry.Advance(20ms);
  entry.RespondWith(attempt, { .perSecond = 1.2 });
  const auto named = entry.TakeLines("backend_limit");
  REQUIRE(named.size() == 1);
  CHECK(FieldOf(named[0], "backend") == attempt.backend);
  CHECK(FieldOf(named[0], "change") == "named");
  CHECK(FieldOf(named[0], "per_second") == "1.2");
  CHECK(FieldOf(named[0], "told_by") == "the backend");
  CHECK(FieldOf(named[0], "age_ms") == "0");
  CHECK(RenderLimitMetrics(entry.GetWorld()).find(attempt.backend) != std::string::npos);
  CHECK(RenderStatus(entry.GetWorld()).find("\"per_second\":1.2") != std::string::npos);
  const StartAttempt next = entry.SendCallTo(attempt.backend);
  entry.Advance(20ms);
  entry.RespondWith(next, {});
  const auto lifted = entry.TakeLines("backend_limit");
  REQUIRE(lifted.size() == 1);
  CHECK(FieldOf(lifted[0], "change") == "lifted");
  CHECK(FieldOf(lifted[0], "before") == "1.2");
  CHECK_FALSE(entry.LimitOf(attempt.backend));
  CHECK(RenderStatus(entry.GetWorld()) ==
        R"({"blocked_parts":[],"limits":[],"store":{"configuration_age_s":null,)"
        R"("configuration_version":1,"fleet_age_s":null,"reachable":false}})"
        "\n");
}

TEST_CASE("Entry: the head of a stream names a limit", "[entry][limit]")
{
  // Guards against a limit that is read only when a stream has ended.
  LimitFixture entry;
  entry.PostCall("questions");
  const StartAttempt attempt = entry.SendLatestAttempt();
  entry.Post(StreamStarted{
    attempt.attempt,
    { .status = 200, .hasResponseStamp = true, .limit = { .perSecond = 3 } } });
  CHECK(entry.LimitOf(attempt.backend) == 3.0);
}

TEST_CASE("Entry: a malformed limit is logged once and changes nothing", "[entry][limit]")
{
  // Guards against a backend that is lost, or a limit that is lifted, by a field that
  // cannot be read, and against a log line for each response.
  LimitFixture entry;
  std::map<std::string, int> linesOf;
  for (int i = 0; i < 10; ++i) {
    const StartAttempt attempt = entry.SendCall();
    entry.RespondWith(attempt, { .malformed = "nan" });
    CHECK_FALSE(entry.LimitOf(attempt.backend));
    for (const WriteEvent& line : entry.TakeLines("backend_limit_malformed")) {
      linesOf[FieldOf(line, "backend")] += 1;
    }
  }
  REQUIRE_FALSE(linesOf.empty());
  for (const auto& [backend, lines] : linesOf) {
    CHECK(lines == 1);
  }
}

TEST_CASE("Entry: a response that is not the backend's own lifts no limit",
          "[entry][limit]")
{
  // Guards against bytes of a faulty backend that end its limit.
  LimitFixture entry;
  const StartAttempt attempt = entry.SendCall();
  entry.RespondWith(attempt, { .perSecond = 1 });
  const StartAttempt next = entry.SendCallTo(attempt.backend);
  entry.RespondWith(next, {}, false);
  CHECK(entry.LimitOf(attempt.backend) == 1.0);
}

} // namespace gooseberrypath::entry
