// Choice of a backend among the usable ones of a service.
//
//   TwoChoices chooser;
//   size_t index = chooser.Choose(candidates, now, random);

#ifndef GOOSEBERRYPATH_BACKEND_CHOOSER_H_
#define GOOSEBERRYPATH_BACKEND_CHOOSER_H_

#include <algorithm>
#include <concepts>
#include <random>
#include <span>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Chooses one of the candidates, which are never empty, and returns its index.
template<typename C>
concept BackendChooser = requires(C aChooser,
                                  std::span<const BackendRow* const> aCandidates,
                                  TimePoint aNow, std::mt19937_64& aRandom)
{
  {
    aChooser.Choose(aCandidates, aNow, aRandom)
    } -> std::same_as<size_t>;
};

/// The naive model: takes the candidates in turn.
class RoundRobin
{
public:
  size_t Choose(std::span<const BackendRow* const> aCandidates, TimePoint /*aNow*/,
                std::mt19937_64& /*aRandom*/)
  {
    return next_++ % aCandidates.size();
  }

private:
  size_t next_ = 0;
};

/// Takes the less loaded of two random candidates. Comparing only two keeps many daemons
/// that see the same stale report from all choosing the same backend.
class TwoChoices
{
public:
  size_t Choose(std::span<const BackendRow* const> aCandidates, TimePoint aNow,
                std::mt19937_64& aRandom)
  {
    const size_t first = aRandom() % aCandidates.size();
    const size_t second = aRandom() % aCandidates.size();
    return PredictedWork(*aCandidates[second], aNow) <
               PredictedWork(*aCandidates[first], aNow)
             ? second
             : first;
  }

  /// Returns the predicted number of requests at the backend: own ones, and those of
  /// other daemons from the load report. The report loses weight linearly with its age.
  static double PredictedWork(const BackendRow& aRow, TimePoint aNow)
  {
    double work = aRow.inFlight;
    if (aRow.load) {
      const double reported = aRow.load->running + aRow.load->queued;
      const double others = std::max(0.0, reported - aRow.inFlight);
      const double age = std::chrono::duration<double>(aNow - aRow.loadAt).count();
      work += others * std::max(0.0, 1.0 - age / kReportLifetimeSeconds);
    }
    return work;
  }

private:
  static constexpr double kReportLifetimeSeconds = 10;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_BACKEND_CHOOSER_H_
