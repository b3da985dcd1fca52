// Helpers of the claim tests: a script runs against the naive version and against
// ClaimSystem with one seed.

#ifndef GOOSEBERRYPATH_TESTING_CLAIM_SCRIPTS_H_
#define GOOSEBERRYPATH_TESTING_CLAIM_SCRIPTS_H_

#include <string>
#include <string_view>
#include <type_traits>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/claim_simulation.h"

namespace gooseberrypath::testing {

constexpr uint64_t kSeed = 7;

/// What a script did to the promise of at most one run.
struct Verdict
{
  uint32_t maxRuns = 0;
  size_t falseNotRun = 0;
};

template<typename Simulation>
Verdict VerdictOf(const Simulation& aSimulation)
{
  return { aSimulation.MaxRuns(), aSimulation.FalseNotRun() };
}

/// Runs the script against the naive version and returns its verdict.
template<typename Script>
Verdict RunNaive(Script aScript)
{
  NaiveSimulation simulation(3, kSeed);
  aScript(simulation);
  const Verdict verdict = VerdictOf(simulation);
  WARN("seed " << kSeed << ", naive: " << verdict.maxRuns << " runs of one key");
  return verdict;
}

/// Runs the script against ClaimSystem and checks the promise.
template<typename Script>
void RunOwn(Script aScript)
{
  OwnSimulation simulation(3, kSeed);
  aScript(simulation);
  CHECK(simulation.MaxRuns() <= 1);
  CHECK(simulation.FalseNotRun() == 0);
}

/// Whether checks of single answers apply; they are made for ClaimSystem only.
template<typename Simulation>
constexpr bool kIsOwn = std::is_same_v<Simulation, OwnSimulation>;

#define CHECK_OWN(aCondition)                                                            \
  if constexpr (kIsOwn<std::decay_t<decltype(s)>>) {                                     \
    CHECK(aCondition);                                                                   \
  }

inline size_t CountRecords(FakeLog& aLog, std::string_view aType)
{
  size_t count = 0;
  for (const LogEntry& entry : aLog.All(std::string(kActionStream))) {
    count +=
      entry.data.find("\"type\":\"" + std::string(aType) + "\"}") != std::string::npos ||
          entry.data.find("\"type\":\"" + std::string(aType) + "\",") != std::string::npos
        ? 1
        : 0;
  }
  return count;
}

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_CLAIM_SCRIPTS_H_
