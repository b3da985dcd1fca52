// How fresh a daemon's knowledge of the topics of the store is. A topic is known as of a
// time if this daemon has all records that the store had acknowledged until then.
//
//   TopicFreshness freshness;
//   freshness.Confirm(StoreTopic::Configuration, asOf);
//   std::optional<Duration> age = freshness.AgeOf(StoreTopic::Configuration, now);

#ifndef ENTRY_TOPIC_FRESHNESS_H_
#define ENTRY_TOPIC_FRESHNESS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The topics of the store that a daemon follows.
enum class StoreTopic : uint8_t
{
  Configuration,
  Fleet,
};

inline constexpr std::array kStoreTopics = { StoreTopic::Configuration,
                                             StoreTopic::Fleet };

/// Returns the name of the topic for log lines, metrics and the status.
constexpr std::string_view NameOf(StoreTopic aTopic)
{
  return aTopic == StoreTopic::Configuration ? "configuration" : "fleet";
}

class TopicFreshness
{
public:
  /// Records that the topic is known as of this time. An earlier time changes nothing.
  void Confirm(StoreTopic aTopic, TimePoint aAsOf)
  {
    auto& known = asOf_.at(static_cast<size_t>(aTopic));
    known = known ? std::max(*known, aAsOf) : aAsOf;
  }

  /// Returns the time as of which the topic is known; no value before the first read.
  std::optional<TimePoint> AsOf(StoreTopic aTopic) const
  {
    return asOf_.at(static_cast<size_t>(aTopic));
  }

  /// Returns how long ago that was.
  std::optional<Duration> AgeOf(StoreTopic aTopic, TimePoint aNow) const
  {
    const std::optional<TimePoint> asOf = AsOf(aTopic);
    return asOf ? std::optional(std::max(aNow - *asOf, Duration::zero())) : std::nullopt;
  }

private:
  std::array<std::optional<TimePoint>, kStoreTopics.size()> asOf_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TOPIC_FRESHNESS_H_
