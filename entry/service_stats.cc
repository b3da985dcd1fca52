#include "entry/service_stats.h"

#include <algorithm>

namespace gooseberrypath::entry {

namespace {

// Weight of one observation.
constexpr double kWeight = 0.05;

// Bounds of the learned reading speed in tokens a millisecond.
constexpr double kMinTokensPerMs = 10;
constexpr double kMaxTokensPerMs = 1000;

// A prompt is long if reading it takes most of the time to the first event.
constexpr double kLongPrompt = 3000;

void Follow(double& aValue, double aObserved)
{
  aValue += kWeight * (aObserved - aValue);
}

} // namespace

void ServiceStats::NoteFirstEvent(const ObservedStart& aStart)
{
  const double ms = aStart.observedMs;
  if (aStart.tokens > kLongPrompt && aStart.beganIdle && ms > baseMs) {
    const double rate = aStart.tokens / (ms - baseMs / 2);
    Follow(tokensPerMs, std::clamp(rate, kMinTokensPerMs, kMaxTokensPerMs));
  } else if (aStart.tokens < kLongPrompt / 3) {
    Follow(baseMs, std::min(ms, 3 * baseMs));
  }
}

void ServiceStats::NotePlainAnswer(double aMs)
{
  Follow(baseMs, aMs);
  Follow(holdMs, aMs);
}

void ServiceStats::NoteHold(double aMs)
{
  Follow(holdMs, aMs);
}

} // namespace gooseberrypath::entry
