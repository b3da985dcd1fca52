#include "entry/backend_health.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Half of what is known is forgotten in this time: troubles of backends last seconds.
constexpr Duration kHalfLife = std::chrono::seconds(3);

// Weight of one observed time in the slowness.
constexpr double kSlownessWeight = 0.2;

// Bounds of the slowness, so that one outlier does not empty a backend for long.
constexpr double kMaxSlowness = 10;
constexpr double kMinSlowness = 0.4;

// Imagined successes: one failure of a backend without history is not a share of 1.
constexpr double kPriorSuccesses = 2;

double DecayFactor(Duration aAge)
{
  return std::exp2(-static_cast<double>(aAge.count()) /
                   static_cast<double>(kHalfLife.count()));
}

} // namespace

void BackendHealth::Decay(TimePoint aNow)
{
  const double factor = DecayFactor(aNow - updated_);
  updated_ = aNow;
  successes_ *= factor;
  failures_ *= factor;
  logSlowness_ *= factor;
}

void BackendHealth::RecordSuccess(TimePoint aNow, double aTimeRatio)
{
  Decay(aNow);
  successes_ += 1;
  const double ratio = std::clamp(aTimeRatio, kMinSlowness, kMaxSlowness);
  logSlowness_ += kSlownessWeight * (std::log(ratio) - logSlowness_);
}

void BackendHealth::RecordFailure(TimePoint aNow)
{
  Decay(aNow);
  failures_ += 1;
}

double BackendHealth::FailureRate(TimePoint aNow) const
{
  const double factor = DecayFactor(aNow - updated_);
  const double failures = failures_ * factor;
  return failures / (failures + successes_ * factor + kPriorSuccesses);
}

double BackendHealth::Slowness(TimePoint aNow) const
{
  return std::exp(logSlowness_ * DecayFactor(aNow - updated_));
}

} // namespace gooseberrypath::entry
