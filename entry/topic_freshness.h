// How fresh a daemon's knowledge of the topics of the store is. A topic is known as of a
// time if this daemon has all records that the store had acknowledged until then.
//
//   TopicFreshness freshness;
//   freshness.Confirm(StoreTopic::Configuration, asOf);
//   std::optional<Duration> age = freshness.AgeOf(StoreTopic::Configuration, now);
//
// Daemons tell each other these times, so a time in which none of them advances is an
// outage of the store itself and not of the way to it from one daemon.

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
  /// Records that the topic is known as of this time, because the store answered this
  /// daemon or another one. An earlier time changes nothing.
  void Confirm(StoreTopic aTopic, TimePoint aAsOf)
  {
    NoteAnswer(aAsOf);
    Known& known = known_.at(static_cast<size_t>(aTopic));
    if (!known.asOf || aAsOf - *known.asOf >= kMinOutage) {
      known.unbrokenSince = aAsOf;
    }
    known.asOf = known.asOf ? std::max(*known.asOf, aAsOf) : aAsOf;
  }

  /// Forgets as of when the topic is known, because the store went back.
  void Forget(StoreTopic aTopic) { known_.at(static_cast<size_t>(aTopic)) = {}; }

  /// Records that the store has answered a daemon at this time, whatever it said.
  void NoteAnswer(TimePoint aAt)
  {
    if (storeSeen_ && aAt - *storeSeen_ >= kMinOutage) {
      outageEnd_ = aAt;
    }
    storeSeen_ = storeSeen_ ? std::max(*storeSeen_, aAt) : aAt;
  }

  /// Returns how long ago the store last answered a daemon; no value if it never did.
  std::optional<Duration> AnswerAge(TimePoint aNow) const
  {
    return storeSeen_ ? std::optional(std::max(aNow - *storeSeen_, Duration::zero()))
                      : std::nullopt;
  }

  /// Returns the time as of which the topic is known; no value before the first read.
  std::optional<TimePoint> AsOf(StoreTopic aTopic) const
  {
    return known_.at(static_cast<size_t>(aTopic)).asOf;
  }

  /// Returns how long ago that was.
  std::optional<Duration> AgeOf(StoreTopic aTopic, TimePoint aNow) const
  {
    const std::optional<TimePoint> asOf = AsOf(aTopic);
    return asOf ? std::optional(std::max(aNow - *asOf, Duration::zero())) : std::nullopt;
  }

  /// Tells whether the topic was known all through this time, with no gap in which the
  /// store may have been away.
  bool IsUnbroken(StoreTopic aTopic, TimePoint aNow, Duration aTime) const
  {
    const Known& known = known_.at(static_cast<size_t>(aTopic));
    return known.asOf && aNow - *known.asOf < kMinOutage &&
           aNow - known.unbrokenSince >= aTime;
  }

  /// Tells whether the store has answered no daemon for the time of an outage.
  bool IsStoreAway(TimePoint aNow) const
  {
    return storeSeen_ && aNow - *storeSeen_ >= kMinOutage;
  }

  /// Tells whether the store has ever answered.
  bool IsStoreKnown() const { return storeSeen_.has_value(); }

  /// Returns when the store answered a daemon again after its last outage.
  std::optional<TimePoint> OutageEnd() const { return outageEnd_; }

private:
  // The store answers some daemon more often than this. Entries of backends lapse in
  // longer outages only.
  static constexpr Duration kMinOutage = std::chrono::milliseconds(2000);

  /// Since when a topic is known.
  struct Known
  {
    std::optional<TimePoint> asOf;
    TimePoint unbrokenSince{}; // no later gap was as long as an outage
  };

  std::optional<TimePoint> storeSeen_;
  std::optional<TimePoint> outageEnd_;
  std::array<Known, kStoreTopics.size()> known_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TOPIC_FRESHNESS_H_
