// Converts durations to and from milliseconds, and formats them for log lines and
// headers.
//
//   MsText(ToMs(now - began)); // "153"
//   SecondsText(retryAfter);   // "0.400"

#ifndef ENTRY_DURATION_TEXT_H_
#define ENTRY_DURATION_TEXT_H_

#include <array>
#include <cmath>
#include <cstdio>
#include <string>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

inline Duration FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

inline double ToMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// Formats milliseconds, rounded to a whole number.
inline std::string MsText(double aMs)
{
  return std::to_string(std::lround(aMs));
}

/// Formats a duration in seconds with three decimals.
inline std::string SecondsText(Duration aDuration)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(aDuration).count());
  return text.data();
}

} // namespace gooseberrypath::entry

#endif // ENTRY_DURATION_TEXT_H_
