// Decides which daemon grants the permits of a limited backend: the one that rendezvous
// hashing ranks first among the daemons that are alive and serve. Each daemon decides for
// itself, so views may differ for a while. What makes this daemon grant more therefore
// takes effect only after the others have heard of it, what makes it grant less at once:
//
// - A daemon that becomes the granter waits for the settle time, in which the earlier one
//   hears of it and stops.
// - Daemons that do not hear some of the others grant only the share of the limit that
//   belongs to those they hear, as the others may have a granter of their own.
//
//   GranterChoice choice(now);
//   choice.SetEligible(now, "d1", true);
//   choice.SetAliveShare(now, 1, settleTime);
//   const Granter& granter = choice.GranterOf(backendKey);

#ifndef ENTRY_GRANTER_CHOICE_H_
#define ENTRY_GRANTER_CHOICE_H_

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// The daemon that grants the permits of a backend.
struct Granter
{
  std::string host; // empty: none
  TimePoint since{};
};

class GranterChoice
{
public:
  explicit GranterChoice(TimePoint aNow)
    : changedAt_(aNow)
  {
  }

  /// Sets whether the daemon of a host may grant.
  void SetEligible(TimePoint aNow, const std::string& aHost, bool aIsEligible);

  /// Sets the share of all daemons that are alive, this one included, from 0 to 1, and
  /// the settle time, in which a change reaches the other daemons.
  void SetAliveShare(TimePoint aNow, double aShare, Duration aSettleTime);

  /// Begins the settle time anew for all backends: this process was suspended, and
  /// another daemon may grant by now.
  void Restart(TimePoint aNow);

  /// Returns the granter of a backend.
  const Granter& GranterOf(uint32_t aBackendKey);

  /// Returns when the granter may begin to grant.
  TimePoint GrantsFrom(const Granter& aGranter) const;

  /// Returns the share of the limit that the granter may grant, from 0 to 1.
  double Share() const { return share_; }

  /// Forgets the granter of a backend that has no limit any more.
  void Forget(uint32_t aBackendKey) { granters_.erase(aBackendKey); }

private:
  struct Cached
  {
    Granter granter;
    uint64_t view = 0; // for which it was chosen
  };

  std::set<std::string> eligible_; // hosts
  uint64_t viewNumber_ = 1;        // grows with each change of the eligible hosts
  TimePoint changedAt_;            // when they changed last
  Duration settleTime_{};
  TimePoint restartedAt_{};
  double share_ = 0;
  double lowestShare_ = 0; // since `higherSince_`
  TimePoint higherSince_{};
  bool isHigher_ = false; // the alive share is above `share_`
  std::unordered_map<uint32_t, Cached> granters_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_GRANTER_CHOICE_H_
