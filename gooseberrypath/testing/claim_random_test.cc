#include "gooseberrypath/claim_system.h"

#include <map>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/claim_simulation.h"

using namespace gooseberrypath;
using namespace gooseberrypath::testing;

namespace {

/// Random faults and calls, the same for every version of the system.
template<typename Simulation>
class RandomScenario
{
public:
  explicit RandomScenario(uint64_t aSeed)
    : random_(aSeed)
    , simulation_(3, aSeed)
  {
  }

  Simulation& Run()
  {
    FakeLog::Faults& faults = simulation_.log.faults;
    const bool hasRetention = Draw(8);
    faults.keep = hasRetention ? 256 : 0;
    faults.loseAnswerShare = Draw(2) ? 0.3 : 0;
    faults.duplicateShare = Draw(2) ? 0.3 : 0;
    faults.duplicateDelay = Duration(random_() % 3'000'000);
    simulation_.service.duration = Draw(4) ? 1500ms : 20ms;
    for (size_t step = 0; step < 60; ++step) {
      if (step == 30 && hasRetention) {
        PassRetention();
      }
      Step();
      simulation_.RunFor(Duration(random_() % 200'000));
    }
    // All faults end and everything that was begun is completed.
    faults = FakeLog::Faults{ .keep = faults.keep };
    simulation_.service.faults.clear();
    for (size_t i = 0; i < 3; ++i) {
      simulation_.daemons[i].pausesAtDispatch = false;
      simulation_.Resume(i);
      if (!simulation_.daemons[i].core) {
        simulation_.Start(i);
      }
    }
    simulation_.RunFor(15s);
    return simulation_;
  }

private:
  bool Draw(uint64_t aOneOf) { return random_() % aOneOf == 0; }

  // Other records remove all that was written so far. A quarter of the kept range lasts
  // longer than the slowest append and the random delay of a carry record together.
  void PassRetention()
  {
    simulation_.log.faults.outage = false;
    for (size_t i = 0; i < 300; ++i) {
      simulation_.log.Append(std::string(kActionStream),
                             EncodeRecord(UnknownRecord{ "noise" }), [](const auto&) {});
      simulation_.RunFor(150ms);
    }
  }

  // The draws do not depend on what the simulation does. One daemon is never killed or
  // paused, because claims are carried past retention only by a running daemon.
  void Step()
  {
    FakeLog::Faults& faults = simulation_.log.faults;
    const size_t daemon = random_() % 2;
    switch (random_() % 16) {
      case 0:
        faults.outage = !faults.outage && Draw(2);
        return;
      case 1:
        faults.appendDelay = Draw(2) ? 2ms : Duration(random_() % 3'000'000);
        return;
      case 2:
        simulation_.service.faults["b" + std::to_string(random_() % 3)] =
          static_cast<FakeService::Fault>(random_() % 4);
        return;
      case 3:
        if (simulation_.daemons[daemon].core) {
          simulation_.Kill(daemon);
        } else {
          simulation_.Start(daemon);
        }
        return;
      case 4:
        if (simulation_.daemons[daemon].isPaused) {
          simulation_.Resume(daemon);
        } else if (simulation_.daemons[daemon].core) {
          simulation_.Pause(daemon);
        }
        return;
      case 5:
        simulation_.daemons[daemon].pausesAtDispatch = true;
        return;
      case 6:
        if (!simulation_.calls.empty()) {
          simulation_.Leave(simulation_.calls.size() - 1);
        }
        return;
      default: {
        const std::string key = "k" + std::to_string(random_() % 8);
        const char* body = Draw(16) ? "other order" : "order";
        simulation_.Send(random_() % 3, key, body);
        if (Draw(3)) {
          simulation_.Send(random_() % 3, key, body);
        }
      }
    }
  }

  std::mt19937_64 random_;
  Simulation simulation_;
};

} // namespace

TEST_CASE("At most one run per key in random scenarios", "[claims]")
{
  // Guards the promise under any mix of the faults above.
  constexpr uint64_t kScenarios = 2500;
  constexpr uint64_t kNaiveScenarios = 250;
  size_t naiveBroken = 0;
  for (uint64_t seed = 1; seed <= kNaiveScenarios; ++seed) {
    naiveBroken += RandomScenario<NaiveSimulation>(seed).Run().MaxRuns() > 1 ? 1 : 0;
  }
  size_t calls = 0;
  size_t runs = 0;
  size_t removed = 0;
  std::map<std::string, size_t> kinds;
  for (uint64_t seed = 1; seed <= kScenarios; ++seed) {
    RandomScenario<OwnSimulation> scenario(seed);
    OwnSimulation& s = scenario.Run();
    INFO("seed " << seed);
    CHECK(s.MaxRuns() <= 1);
    CHECK(s.FalseNotRun() == 0);
    const World& world = s.WorldOf(2);
    for (size_t i = 0; i < s.calls.size(); ++i) {
      ++kinds[s.KindOf(i).empty() ? "answer" : s.KindOf(i)];
      if (s.KindOf(i).empty()) {
        // The answer is the recorded outcome, unless its holder died before the record.
        const ActionView view = FindAction(world, "shop", s.calls[i].key);
        CHECK(s.calls[i].reply->body == s.service.bodies.at(s.calls[i].key));
        CHECK(view.state != "none");
        if (view.state == "done") {
          CHECK(view.row->answer.body == s.calls[i].reply->body);
        }
      }
    }
    for (size_t i = 0; i < 2; ++i) {
      // Daemons that began to read at different offsets agree.
      CHECK(s.WorldOf(i).actions.Size() == world.actions.Size());
      for (const auto& [id, row] : world.actions) {
        const ActionRow* other = s.WorldOf(i).actions.Find(id);
        REQUIRE(other);
        CHECK((*other == row || other->state == ActionRow::State::Unknown ||
               row.state == ActionRow::State::Unknown));
      }
    }
    calls += s.calls.size();
    for (const auto& [key, count] : s.service.runs) {
      runs += count;
    }
    removed += s.log.Read(std::string(kActionStream), 1)->start > 1 ? 1 : 0;
  }
  std::string shares;
  for (const auto& [kind, count] : kinds) {
    shares += " " + kind + " " + std::to_string(count);
  }
  WARN("seeds 1 to " << kScenarios << ": " << calls << " calls, " << runs << " runs, "
                     << removed << " scenarios with removed records; answers:" << shares);
  WARN("naive, seeds 1 to " << kNaiveScenarios << ": broken in " << naiveBroken);
  CHECK(naiveBroken > 0);
}
