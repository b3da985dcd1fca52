#include "entry/service_stats.h"

#include <algorithm>
#include <cmath>

namespace gooseberrypath::entry {

namespace {

// Weight of one observation.
constexpr double kWeight = 0.05;

// Bounds of the learned reading speed in tokens a millisecond.
constexpr double kMinTokensPerMs = 10;
constexpr double kMaxTokensPerMs = 1000;

// A prompt is long if reading it takes most of the time to the first event.
constexpr double kLongPrompt = 3000;

// Under load most prompts wait for others, so the speed of an engine is a high quantile
// of what is observed. The highest ones are prompts that the engine partly held already.
constexpr double kSpeedQuantile = 0.75;

// Step of the logarithm of the speed at each long prompt: some ten of them double it.
constexpr double kSpeedStep = 0.1;

void Follow(double& aValue, double aObserved)
{
  aValue += kWeight * (aObserved - aValue);
}

} // namespace

void ServiceStats::RecordFirstEvent(const FirstEventSample& aStart)
{
  const double ms = aStart.observedMs;
  if (aStart.tokens < kLongPrompt / 3) {
    Follow(baseMs, std::min(ms, 3 * baseMs));
    return;
  }
  if (aStart.tokens < kLongPrompt) {
    return;
  }
  const double observed = aStart.tokens / std::max(ms - baseMs / 2, 1.0);
  const double step = observed > tokensPerMs ? kSpeedQuantile : kSpeedQuantile - 1;
  tokensPerMs = std::clamp(tokensPerMs * std::exp(kSpeedStep * step), kMinTokensPerMs,
                           kMaxTokensPerMs);
}

void ServiceStats::RecordResponseTime(double aMs)
{
  Follow(baseMs, aMs);
  Follow(slotTimeMs, aMs);
}

void ServiceStats::RecordSlotTime(double aMs)
{
  Follow(slotTimeMs, aMs);
}

} // namespace gooseberrypath::entry
