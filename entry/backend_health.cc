#include "entry/backend_health.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Half of what is known is forgotten in this time: troubles of backends last seconds.
constexpr Duration kHalfLife = std::chrono::seconds(3);

// Weight of one observed time in the slowness.
constexpr double kRatioWeight = 0.2;

// Bounds of the slowness, so that one outlier does not empty a backend for long.
constexpr double kMaxSlowness = 10;
constexpr double kMinSlowness = 0.4;

// Imagined successes: one failure of a backend without history is not a share of 1.
constexpr double kPriorSuccesses = 2;

double FadeFactor(Duration aAge)
{
  return std::exp2(-static_cast<double>(aAge.count()) /
                   static_cast<double>(kHalfLife.count()));
}

} // namespace

void BackendHealth::Fade(TimePoint aNow)
{
  const double factor = FadeFactor(aNow - updated_);
  updated_ = aNow;
  successes_ *= factor;
  failures_ *= factor;
  logRatio_ *= factor;
}

void BackendHealth::NoteSuccess(TimePoint aNow, double aTimeRatio)
{
  Fade(aNow);
  successes_ += 1;
  const double ratio = std::clamp(aTimeRatio, kMinSlowness, kMaxSlowness);
  logRatio_ += kRatioWeight * (std::log(ratio) - logRatio_);
}

void BackendHealth::NoteFailure(TimePoint aNow)
{
  Fade(aNow);
  failures_ += 1;
}

double BackendHealth::FailureShare(TimePoint aNow) const
{
  const double factor = FadeFactor(aNow - updated_);
  const double failures = failures_ * factor;
  return failures / (failures + successes_ * factor + kPriorSuccesses);
}

double BackendHealth::Slowness(TimePoint aNow) const
{
  return std::exp(logRatio_ * FadeFactor(aNow - updated_));
}

} // namespace gooseberrypath::entry
