#include "entry/service_stats.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Weight of one observation in the moving averages.
constexpr double kObservationWeight = 0.05;

// Bounds of the estimated prefill speed.
constexpr double kMinTokensPerMs = 10;
constexpr double kMaxTokensPerMs = 1000;

// Prefill dominates the time to the first event for prompts of at least this length.
constexpr double kLongPromptTokens = 3000;

// Under load most prompts wait in a queue, so the estimate is a high quantile of the
// observed speeds. The highest speeds come from prompts that were partly cached.
constexpr double kSpeedQuantile = 0.75;

// Step of the logarithm of the speed for each long prompt. About ten fast prompts double
// the estimate.
constexpr double kLogSpeedStep = 0.1;

/// Moves an exponential moving average towards the observed value.
void UpdateAverage(double& aValue, double aObserved)
{
  aValue += kObservationWeight * (aObserved - aValue);
}

} // namespace

void ServiceStats::RecordFirstEvent(const FirstEventSample& aSample)
{
  const double ms = aSample.observedMs;
  if (aSample.tokens < kLongPromptTokens / 3) {
    UpdateAverage(baseMs, std::min(ms, 3 * baseMs));
    return;
  }
  if (aSample.tokens < kLongPromptTokens) {
    return;
  }
  const double observed = aSample.tokens / std::max(ms - baseMs / 2, 1.0);
  const double step = observed > prefillTokensPerMs ? kSpeedQuantile : kSpeedQuantile - 1;
  prefillTokensPerMs = std::clamp(prefillTokensPerMs * std::exp(kLogSpeedStep * step),
                                  kMinTokensPerMs, kMaxTokensPerMs);
}

void ServiceStats::RecordResponseTime(double aMs)
{
  UpdateAverage(baseMs, aMs);
  UpdateAverage(slotTimeMs, aMs);
}

void ServiceStats::RecordSlotTime(double aMs)
{
  UpdateAverage(slotTimeMs, aMs);
}

} // namespace gooseberrypath::entry
