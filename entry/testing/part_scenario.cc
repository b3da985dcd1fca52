#include "entry/testing/part_scenario.h"

#include <algorithm>
#include <array>
#include <random>

namespace gooseberrypath::entry {

namespace {

constexpr size_t kManyDaemons = 200;

/// Sizes of a deployment with this number of daemons.
PartScenario ScenarioOfSize(size_t aDaemons, uint64_t aSeed)
{
  PartScenario scenario{ .seed = aSeed, .daemons = aDaemons };
  if (aDaemons > 8) {
    scenario.engines = aDaemons > kManyDaemons ? 200 : 60;
    scenario.callsPerSecond = aDaemons > kManyDaemons ? 400 : 200;
  }
  return scenario;
}

void AddFaults(PartScenario& aScenario, std::mt19937_64& aRandom)
{
  const auto chance = [&](double aProbability) {
    return std::uniform_real_distribution<double>(0, 1)(aRandom) < aProbability;
  };
  const auto between = [&](double aFrom, double aTo) {
    return FromSeconds(std::uniform_real_distribution<double>(aFrom, aTo)(aRandom));
  };
  aScenario.network.lossRate = chance(0.5) ? 0.2 : 0.01;
  aScenario.network.lateRate = chance(0.5) ? 0.1 : 0;
  aScenario.network.repeatRate = chance(0.5) ? 0.1 : 0;
  aScenario.resetRate = chance(0.3) ? 0.02 : 0;
  aScenario.silentRate = chance(0.3) ? 0.01 : 0;
  aScenario.engineReturn = static_cast<EngineReturn>(aRandom() % 3);
  aScenario.doCallersRetry = chance(0.7);
  if (chance(0.4)) {
    const Duration from = between(4, 25);
    aScenario.network.cut = TimeSpan{ .from = from, .to = from + between(4, 14) };
    aScenario.network.islandShare = chance(0.5) ? Seconds(between(0.1, 0.6)) : 0;
  }
  const size_t maxFaults = std::max<size_t>(4, aScenario.daemons / 20);
  const size_t faults = chance(0.3) ? 0 : aRandom() % (maxFaults + 1);
  for (size_t i = 0; i < faults; ++i) {
    aScenario.faults.push_back({ .kind = static_cast<DaemonFaultKind>(aRandom() % 3),
                                 .at = between(5, 35),
                                 .daemon = aRandom() % aScenario.daemons,
                                 .lasts = between(0.5, 4) });
  }
  const size_t storms = chance(0.5) ? 0 : 1 + aRandom() % 4;
  for (size_t i = 0; i < storms; ++i) {
    aScenario.storms.push_back(
      { .at = between(5, 35),
        .share = chance(0.5) ? 0.02 : Seconds(between(0.05, 0.5)) });
  }
}

} // namespace

PartScenario DrawPartScenario(size_t aDaemons, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed * 1000003 + aDaemons);
  PartScenario scenario = ScenarioOfSize(aDaemons, aSeed);
  constexpr std::array<double, 5> kShares = { 0.005, 0.02, 0.05, 0.1, 0.3 };
  scenario.crashingShare = kShares.at(aSeed % kShares.size());
  scenario.place = static_cast<CrashingPlace>(random() % 3);
  scenario.crashingParts =
    scenario.place == CrashingPlace::Several ? 2 : 1 + random() % 2;
  scenario.isSentByAllTeams = random() % 3 == 0;
  scenario.isSentByAllClasses = random() % 3 == 0;
  if (random() % 4 == 0) {
    scenario.harmlessFrom = FromSeconds(15 + static_cast<double>(random() % 10));
  }
  AddFaults(scenario, random);
  return scenario;
}

PartScenario DrawStormScenario(size_t aDaemons, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed * 1000003 + aDaemons + 1);
  PartScenario scenario = ScenarioOfSize(aDaemons, aSeed);
  scenario.crashingShare = 0;
  AddFaults(scenario, random);
  for (uint64_t i = 0; i < 4 + random() % 8; ++i) {
    scenario.storms.push_back(
      { .at = FromSeconds(4 + static_cast<double>(random() % 3000) / 100),
        .share = 0.02 + static_cast<double>(random() % 50) / 100 });
  }
  return scenario;
}

} // namespace gooseberrypath::entry
