// Tests of the order within a team's limit: what is kept for its urgent calls, that less
// urgent ones are never shut out, and the log line on the use of the limit.

#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "entry/team_demand.h"
#include "entry/team_quota.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{ 100s };
constexpr QuotaLimit kLimit{ .rate = 20'000, .burst = 20'000 };
constexpr size_t kDaemons = 20;
// A long call takes 1.3 s of what one daemon may admit, as at the largest team of a
// deployment with 74 daemons.
constexpr double kLongCall = 1300;
constexpr double kShortCall = 200;
constexpr uint32_t kUrgent = 0;
constexpr uint32_t kLess = 2;

struct TeamLoad
{
  double urgentShare = 0; // requested units relative to the limit, in short calls
  double lessShare = 0;   // the same in long calls
  bool keepsReserve = true;
};

struct TeamOutcome
{
  std::map<uint32_t, double> requested; // units by priority
  std::map<uint32_t, double> admitted;

  double ServedShare(uint32_t aPriority) const
  {
    return admitted.at(aPriority) / requested.at(aPriority);
  }
  double AdmittedOfLimit(uint32_t aPriority, double aSeconds) const
  {
    return admitted.at(aPriority) / (kLimit.rate * aSeconds);
  }
};

constexpr double kMeasuredSeconds = 30;

/// Runs a team at daemons that exchange digests. The first seconds are not measured,
/// because the bucket is full at the start.
TeamOutcome RunTeam(const TeamLoad& aLoad)
{
  constexpr Duration kStep = 5ms;
  constexpr Duration kDigestInterval = 700ms;
  std::mt19937_64 random(11);
  std::vector<TeamQuota> quotas(kDaemons, TeamQuota(kStart));
  std::vector<TeamDemand> demands(kDaemons);
  for (TeamQuota& quota : quotas) {
    quota.SetDaemonCount(kDaemons);
    quota.SetDigestInterval(kDigestInterval);
    quota.SetLimit(kStart, kLimit);
  }
  TeamOutcome outcome;
  const TimePoint end = kStart + 10s + std::chrono::seconds(int(kMeasuredSeconds));
  int64_t step = 0;
  for (TimePoint now = kStart; now < end; now += kStep, ++step) {
    for (size_t from = 0; from < kDaemons; ++from) {
      const auto offset = static_cast<int64_t>(from) * 7;
      if ((step + offset) % (kDigestInterval / kStep) == 0) {
        for (size_t to = 0; to < kDaemons; ++to) {
          if (to != from) {
            quotas[to].ApplyPeerTotal(now, std::to_string(from),
                                      quotas[from].TotalAdmitted(), false);
          }
        }
      }
    }
    for (const auto& [priority, units, share] :
         { std::tuple(kLess, kLongCall, aLoad.lessShare),
           std::tuple(kUrgent, kShortCall, aLoad.urgentShare) }) {
      const double perStep =
        share * kLimit.rate / units * std::chrono::duration<double>(kStep).count();
      for (int left = std::poisson_distribution<int>(perStep)(random); left > 0; --left) {
        const size_t daemon = random() % kDaemons;
        demands[daemon].Record(now, priority, units);
        const double reserve =
          aLoad.keepsReserve ? demands[daemon].NeedAbove(now, priority).reserve : 0;
        const bool isAdmitted = quotas[daemon].TryAdmit(now, units, reserve);
        if (now >= kStart + 10s) {
          outcome.requested[priority] += units;
          outcome.admitted[priority] += isAdmitted ? units : 0;
        }
      }
    }
  }
  return outcome;
}

} // namespace

TEST_CASE("The long calls of a team over its limit leave what its urgent calls need",
          "[team_order]")
{
  TeamLoad load{ .urgentShare = 0.4, .lessShare = 2 };
  const TeamOutcome kept = RunTeam(load);
  load.keepsReserve = false;
  const TeamOutcome before = RunTeam(load);
  INFO("urgent " << kept.ServedShare(kUrgent) << " before "
                 << before.ServedShare(kUrgent));
  CHECK(before.ServedShare(kUrgent) < 0.7); // so that the load tests the reserve
  CHECK(kept.ServedShare(kUrgent) >= 0.95);
  // The limit holds, and the reserve does not leave it unused.
  const double used = kept.AdmittedOfLimit(kUrgent, kMeasuredSeconds) +
                      kept.AdmittedOfLimit(kLess, kMeasuredSeconds);
  CHECK(used <= 1.02);
  CHECK(used >= 0.9);
}

TEST_CASE("Less urgent calls get a tenth of the limit when the urgent ones need all",
          "[team_order]")
{
  const TeamOutcome outcome = RunTeam({ .urgentShare = 1.5, .lessShare = 2 });
  CHECK(outcome.AdmittedOfLimit(kLess, kMeasuredSeconds) >= 0.09);
  CHECK(outcome.AdmittedOfLimit(kLess, kMeasuredSeconds) <= 0.3);
}

TEST_CASE("A reserve never admits what is refused without it", "[team_order]")
{
  std::mt19937_64 random(3);
  const auto below = [&](double aEnd) {
    return std::uniform_real_distribution<double>(0, aEnd)(random);
  };
  TeamQuota quota(kStart);
  quota.SetDaemonCount(kDaemons);
  quota.SetDigestInterval(700ms);
  quota.SetLimit(kStart, kLimit);
  TimePoint now = kStart;
  double peerTotal = 0;
  int held = 0;
  for (int i = 0; i < 20'000; ++i) {
    now += std::chrono::microseconds(random() % 20'000);
    if (random() % 20 == 0) {
      peerTotal += below(3000);
      quota.ApplyPeerTotal(now, "p", peerTotal, false);
    }
    if (random() % 200 == 0) {
      quota.SetLiveShare(now, below(1));
    }
    const double amount = below(500);
    const double reserve = below(600);
    TeamQuota without = quota;
    const bool isAdmittedWithout = without.TryAdmit(now, amount);
    const bool isAdmitted = quota.TryAdmit(now, amount, reserve);
    REQUIRE((isAdmittedWithout || !isAdmitted));
    held += isAdmittedWithout && !isAdmitted ? 1 : 0;
    REQUIRE(quota.RefillTime(now, amount, reserve) >= quota.RefillTime(now));
  }
  CHECK(held > 100);
}

namespace {

/// A daemon with peers and a team over its limit, which calls a route of priority 3 and,
/// less often, an urgent one.
class TeamOrderFixture : public EntryFixture
{
public:
  explicit TeamOrderFixture(size_t aPeers)
  {
    Configuration configuration = TestConfiguration();
    configuration.routes[1].priority = 3; // "pickups"
    configuration.teams[0].ratePerSecond = 100;
    configuration.teams[0].burst = 100;
    Prepare(std::move(configuration));
    for (uint64_t step = 0; step < 400; ++step) {
      HearPeer(aPeers, step);
      HearPeer(aPeers, step + aPeers / 2);
      PostAnswered("pickups");
      if (step % 5 == 0) {
        PostAnswered("status");
      }
      Advance(30ms);
    }
  }

  /// Returns the retry times in seconds of the refused calls on the route.
  std::vector<double> RetryTimes(const std::string& aRoute) const
  {
    std::vector<double> times;
    for (const Action& action : actions) {
      const auto* response = std::get_if<WriteResponse>(&action);
      if (response != nullptr && response->status == 429 &&
          routes_.at(response->exchange) == aRoute) {
        times.push_back(
          std::stod(std::string(FindHeader(response->headers, "Retry-After"))));
      }
    }
    return times;
  }

  /// Returns the share of the calls on the route that were refused.
  double RefusedShare(const std::string& aRoute) const
  {
    const auto sent = std::ranges::count(
      routes_, aRoute, &std::pair<const ExchangeId, std::string>::second);
    return static_cast<double>(RetryTimes(aRoute).size()) / static_cast<double>(sent);
  }

private:
  void PostAnswered(const std::string& aRoute)
  {
    routes_[PostCall(aRoute)] = aRoute;
    Respond(SendLatestAttempt(), 200);
  }

  /// Receives the digest of one of the peers, which together admit 90 units a second.
  void HearPeer(size_t aPeers, uint64_t aStep)
  {
    const std::string host = "p" + std::to_string(aStep % aPeers);
    const uint64_t admitted = aStep * 30 * 90 / 1000 / aPeers;
    Post(DigestReceived{
      .from = host + ":1",
      .digest = { .daemon = host,
                  .incarnation = 1,
                  .sequence = aStep + 1,
                  .teams = { { .team = DigestKey("acme"), .admitted = admitted } } } });
  }

  std::map<ExchangeId, std::string> routes_;
};

std::string FieldOf(const WriteEvent& aLine, const std::string& aName)
{
  const auto found =
    std::ranges::find(aLine.fields, aName, &std::pair<std::string, std::string>::first);
  return found == aLine.fields.end() ? std::string() : found->second;
}

} // namespace

TEST_CASE("Less urgent calls of a team are refused first and with later retry times",
          "[team_order]")
{
  const TeamOrderFixture entry(19);
  CHECK(entry.RefusedShare("status") <= 0.1);
  CHECK(entry.RefusedShare("pickups") >= 0.4);
  // The first calls are refused without a reserve, before urgent ones were seen.
  const auto less = entry.RetryTimes("pickups");
  CHECK(std::ranges::count_if(less, [](double aTime) { return aTime >= 0.2; }) >=
        0.9 * static_cast<double>(less.size()));
}

TEST_CASE("With 16 daemons, all calls of a team are treated alike", "[team_order]")
{
  const TeamOrderFixture entry(15);
  const double less = entry.RefusedShare("pickups");
  CHECK(less >= 0.3);
  CHECK(entry.RefusedShare("status") == Approx(less).margin(0.2));
  for (const double time : entry.RetryTimes("pickups")) {
    CHECK(time < 0.2);
  }
}

TEST_CASE("The use of a team's limit by all daemons is logged with the refusals",
          "[team_order]")
{
  TeamOrderFixture entry(19);
  std::vector<WriteEvent> lines = entry.TakeActions<WriteEvent>();
  std::erase_if(lines,
                [](const WriteEvent& aLine) { return aLine.event != "team_quota"; });
  REQUIRE_FALSE(lines.empty());
  const WriteEvent& line = lines.back();
  CHECK(FieldOf(line, "team") == "acme");
  CHECK(FieldOf(line, "limit") == "200");
  const double all = std::stod(FieldOf(line, "admitted_by_all"));
  CHECK(all >= 160); // the peers alone admit 180 in 2 s
  CHECK(all <= 230);
  CHECK(std::stod(FieldOf(line, "used_percent")) == Approx(all / 2).margin(1));
  CHECK(std::stod(FieldOf(line, "refused_here")) > 0);
  CHECK(FieldOf(line, "refused_by_priority").find("3:") != std::string::npos);
  CHECK(RenderTeamQuotaMetrics(entry.GetWorld())
          .find("gooseberrypath_entry_team_quota_used_share{team=\"acme\"}") !=
        std::string::npos);

  entry.Advance(3s);
  entry.actions.clear();
  entry.Advance(4s);
  for (const WriteEvent& later : entry.TakeActions<WriteEvent>()) {
    CHECK(later.event != "team_quota"); // nothing was refused
  }
}

} // namespace gooseberrypath::entry
