// The limit of one team, shared by all daemons. Each daemon keeps a copy of one token
// bucket: it takes out what it admits itself at once, and what the other daemons admitted
// when their digests arrive. What was admitted meanwhile is a debt that later calls wait
// for, so the error does not add up.
//
// While the shared bucket holds more than all daemons may admit until they hear of each
// other, it alone decides. Below that, a daemon admits from a bucket of its own, which
// fills with its share of the team's recent calls and slows down while there is a debt.
//
// A daemon that does not hear the others keeps to an even part of the limit. The even
// parts of all daemons sum up to the limit, whoever hears whom. Each one counts all that
// it admitted, also while the others were heard, so what it took beyond its part in the
// moments before it noticed the cut is paid back.
//
//   TeamQuota quota(now);
//   quota.SetLimit(now, { .rate = 1000, .burst = 1000 });
//   if (quota.TryAdmit(now, tokens)) { ... } else { quota.RefillTime(now); }
//   quota.ApplyPeerTotal(now, "d2/17", admittedByPeer, startedBefore);

#ifndef ENTRY_TEAM_QUOTA_H_
#define ENTRY_TEAM_QUOTA_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "entry/smoothed_rate.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

struct QuotaLimit
{
  double rate = 0; // units a second of all daemons; 0: no limit
  double burst = 0;

  bool operator==(const QuotaLimit&) const = default;
};

/// How far the calls of a team in any span of the window's length may go beyond its
/// limit.
struct QuotaTolerance
{
  Duration window = std::chrono::seconds(8);
  double overshoot = 0; // share of the limit
  double slack = 0;     // in the unit of the limit

  bool operator==(const QuotaTolerance&) const = default;
};

/// Returns the limit that is enforced. A refused call is lost to its caller, so a part of
/// the tolerance is given to callers; the rest covers what daemons admit before they hear
/// of each other. The longer the time between two digests is, the less callers get.
QuotaLimit EnforcedLimit(QuotaLimit aLimit, const QuotaTolerance& aTolerance,
                         Duration aDigestInterval);

/// Returns how long a peer counts as heard after its digest. One that is later than this
/// may be cut off, and then both sides would fill the bucket with the whole rate.
Duration PeerTimeout(Duration aDigestInterval);

/// Returns how many peers are heard, from the ages of their newest digests and the
/// longest time between two digests of a peer.
double EstimateLivePeers(std::span<const Duration> aAges, Duration aInterval);

/// One team's bucket as this daemon sees it.
class TeamQuota
{
public:
  /// Starts with a full bucket.
  explicit TeamQuota(TimePoint aNow)
    : lastRefill_(aNow)
  {
  }

  /// Sets the limit. A lower burst takes the surplus away.
  void SetLimit(TimePoint aNow, QuotaLimit aLimit);

  /// Sets the share of the daemons, itself included, from which this daemon hears. The
  /// others may admit too, so the bucket fills with this share of the rate.
  void SetLiveShare(TimePoint aNow, double aShare);

  /// Sets the number of daemons that may admit calls, this one included, heard or not.
  /// Before the others are heard, each admits its even part of the burst.
  void SetDaemonCount(size_t aCount) { daemonCount_ = aCount; }

  /// Sets the time between two digests of a peer. Calls that are admitted meanwhile are
  /// not in the shared bucket yet.
  void SetDigestInterval(Duration aInterval) { digestInterval_ = aInterval; }

  /// Admits the amount if a bucket allows it; what the bucket lacks becomes a debt.
  bool TryAdmit(TimePoint aNow, double aAmount);

  /// Gives back what was admitted and not used.
  void Refund(TimePoint aNow, double aAmount);

  /// Takes out what a peer admitted since its last digest. `aAdmitted` is its total since
  /// the start of the process that `aPeer` names. The first total of a peer that started
  /// before this daemon is only noted: it was admitted before this bucket was there.
  void ApplyPeerTotal(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                      bool aPeerStartedFirst);

  /// The peer is no longer heard; its next total is only noted. Meanwhile the bucket
  /// fills without its share, so what it admits is already taken out.
  void ForgetPeer(std::string_view aPeer) { peerTotals_[std::string(aPeer)].reset(); }

  /// Returns the time until a call is likely to be admitted.
  Duration RefillTime(TimePoint aNow);

  /// Returns the total that this daemon admitted.
  double TotalAdmitted() const { return admitted_; }

private:
  void Refill(TimePoint aNow);
  void RefillEqualShare(double aSeconds);

  /// Refreshes this daemon's part of what all daemons admitted recently, if it is old.
  void UpdateLocalShare(TimePoint aNow);

  /// Tells whether too few of the others are heard to know what they admit.
  bool IsIsolated() const;

  /// Returns the rate at which the shared bucket fills: the part of the heard daemons.
  double SharedRefillRate() const;

  /// Returns the rate at which the own bucket fills.
  double LocalRefillRate() const;

  /// Returns this daemon's part if all daemons admit the same.
  double EqualShare() const;
  size_t CountedPeers() const;

  /// Returns what the heard daemons are likely to admit between two digests.
  double EstimateUnreported(TimePoint aNow) const;

  QuotaLimit limit_;
  double sharedLevel_ = 0; // of the shared bucket
  double localLevel_ = 0;
  double equalShareLevel_ = 0; // of this daemon's even part; below 0: a debt
  SmoothedRate requestRate_;   // of this daemon, admitted or not
  SmoothedRate localAdmitRate_;
  SmoothedRate peerAdmitRate_;
  double localShare_ = 1; // of this daemon in what all admitted recently
  bool hasLocalShare_ = false;
  TimePoint localShareUpdated_{};
  size_t daemonCount_ = 1;
  Duration digestInterval_{};
  double liveShare_ = 1;
  double admitted_ = 0;
  TimePoint lastRefill_;
  /// Totals of the peers; nothing: the next one is only noted.
  std::unordered_map<std::string, std::optional<double>> peerTotals_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TEAM_QUOTA_H_
