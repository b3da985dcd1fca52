// Tests that all daemons together keep the limit that a backend names, on virtual time
// with faults. The hunt at the end plays many more scenarios and is started by hand:
//
//   LIMIT_DAEMONS=95 LIMIT_FIRST=1 LIMIT_SEEDS=200 build/gooseberrypath_test
//   "[limit_hunt]"

#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "entry/testing/limit_simulation.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

std::string Describe(const LimitScenario& aScenario)
{
  return std::to_string(aScenario.daemons) + " daemons, seed " +
         std::to_string(aScenario.seed) + ", limit " + std::to_string(aScenario.limit) +
         ", demand x" + std::to_string(aScenario.demandFactor) + ", faults " +
         std::to_string(aScenario.faults.size()) +
         (aScenario.network.cut ? ", cut" : "") +
         (aScenario.hasUnlimitedBackend ? ", a backend without a limit" : "");
}

uint64_t NumberFrom(const char* aVariable, uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::stoull(text);
}

/// What scenarios with one limit and one demand served, added up.
struct Cell
{
  uint64_t runs = 0;
  uint64_t broken = 0;
  LimitOutcome sum;
};

void Add(Cell& aCell, const LimitOutcome& aOutcome)
{
  aCell.runs += 1;
  aCell.broken += aOutcome.worstShare > 1 ? 1 : 0;
  aCell.sum.worstShare = std::max(aCell.sum.worstShare, aOutcome.worstShare);
  aCell.sum.named += aOutcome.named;
  aCell.sum.served += aOutcome.served;
  aCell.sum.namedInCut += aOutcome.namedInCut;
  aCell.sum.servedInCut += aOutcome.servedInCut;
  aCell.sum.calls += aOutcome.calls;
  aCell.sum.callsAnswered += aOutcome.callsAnswered;
  aCell.sum.callsRefused += aOutcome.callsRefused;
  aCell.sum.callsFailed += aOutcome.callsFailed;
  aCell.sum.longestRefusal = std::max(aCell.sum.longestRefusal, aOutcome.longestRefusal);
}

} // namespace

TEST_CASE("Entry: a backend gets no more requests than its limit allows",
          "[entry][limit]")
{
  // Guards against daemons that ignore the limit that a backend in need names, or that
  // keep it each for itself, so that together they send many times as much.
  struct Size
  {
    size_t daemons;
    uint64_t seeds;
  };
  for (const auto& [daemons, seeds] : { Size{ 8, 24 }, Size{ 95, 4 } }) {
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      const LimitScenario scenario = DrawLimitScenario(daemons, seed);
      const LimitOutcome outcome = PlayLimit(scenario);
      INFO(Describe(scenario) << ": " << outcome.worstWindow);
      CHECK(outcome.worstShare <= 1);
    }
  }
}

TEST_CASE("Entry: daemons that keep a limit each for themselves break it",
          "[entry][limit]")
{
  // Guards against a test that any daemon passes: daemons that ignore a limit and daemons
  // that do not know each other break the bound in the scenario in which daemons that
  // share it keep it.
  for (const double limit : { 1.0, 50.0 }) {
    LimitScenario scenario{ .limit = limit, .demandFactor = 20, .length = 20s };
    INFO("limit " << limit);
    CHECK(PlayLimit(scenario).worstShare <= 1);
    scenario.obedience = Obedience::Alone;
    CHECK(PlayLimit(scenario).worstShare > 1);
    scenario.obedience = Obedience::Ignored;
    CHECK(PlayLimit(scenario).worstShare > 1);
  }
}

TEST_CASE("Entry: a limited backend gets most of what it named", "[entry][limit]")
{
  // Guards against a limit that is kept by sending nothing, also while the daemons are
  // cut into two halves and some of them restart.
  for (const size_t daemons : { 8, 95 }) {
    for (const double limit : { 0.5, 1.0, 5.0, 50.0 }) {
      LimitScenario scenario{ .seed = 5,
                              .daemons = daemons,
                              .limit = limit,
                              .length = 60s,
                              .network = { .lossRate = 0.01 } };
      const LimitOutcome steady = PlayLimit(scenario);
      INFO(Describe(scenario));
      CHECK(steady.served >= 0.8 * steady.named);
      scenario.network.cut = TimeSpan{ .from = 15s, .to = 45s };
      const LimitOutcome cut = PlayLimit(scenario);
      CHECK(cut.servedInCut >= 0.6 * cut.namedInCut);
      CHECK(cut.worstShare <= 1);
    }
  }
}

TEST_CASE("Entry: limits hold in many scenarios", "[.][limit_hunt]")
{
  // Guards against rare orders of faults that the few seeds of the other tests miss.
  const size_t daemons = NumberFrom("LIMIT_DAEMONS", 8);
  const uint64_t first = NumberFrom("LIMIT_FIRST", 1);
  const uint64_t seeds = NumberFrom("LIMIT_SEEDS", 200);
  std::map<std::pair<double, double>, Cell> cells;
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    LimitScenario scenario = DrawLimitScenario(daemons, seed);
    scenario.trace = std::getenv("LIMIT_TRACE") == nullptr ? nullptr : &std::cout;
    const LimitOutcome outcome = PlayLimit(scenario);
    Add(cells[{ scenario.limit, scenario.demandFactor }], outcome);
    INFO(Describe(scenario) << ": " << outcome.worstWindow);
    CHECK(outcome.worstShare <= 1);
  }
  std::cout << daemons << " daemons, seeds " << first << " to " << first + seeds - 1
            << "\nlimit demand runs broken worst_share served/named in_cut "
               "answered refused failed longest_refusal_ms\n";
  for (const auto& [key, cell] : cells) {
    std::cout
      << key.first << ' ' << key.second << ' ' << cell.runs << ' ' << cell.broken << ' '
      << cell.sum.worstShare << ' ' << cell.sum.served << '/' << cell.sum.named << ' '
      << cell.sum.servedInCut << '/' << cell.sum.namedInCut << ' '
      << cell.sum.callsAnswered << ' ' << cell.sum.callsRefused << ' '
      << cell.sum.callsFailed << ' '
      << std::chrono::duration<double, std::milli>(cell.sum.longestRefusal).count()
      << '\n';
  }
}

} // namespace gooseberrypath::entry
