// Enforces the rate limit of one team across all daemons, without a message per call.
// Each daemon keeps three token buckets:
//
// - The shared bucket approximates the team's global bucket. What this daemon admits is
//   taken out at once, what the peers admit is taken out when their digests arrive. The
//   bucket may go below zero; later calls wait until this debt is repaid, so the error
//   does not accumulate. While the bucket holds more than all daemons may admit between
//   two digests, it alone decides.
// - The local bucket decides otherwise. It fills with this daemon's share of the team's
//   recent calls, and more slowly while the shared bucket is in debt.
// - The equal-share bucket decides while the daemon is isolated: it receives digests from
//   too few peers. The bucket fills with the limit divided by the number of daemons, so
//   all daemons together keep the limit under any partition. It also counts what was
//   admitted while peers were live, so a daemon repays what it admitted beyond its equal
//   share before it detected a partition.
//
// A peer is live while its digests arrive in time.
//
//   TeamQuota quota(now);
//   quota.SetLimit(now, { .rate = 1000, .burst = 1000 });
//   if (quota.TryAdmit(now, tokens)) { ... } else { quota.RefillTime(now); }
//   if (quota.TryAdmit(now, tokens, neededByMoreUrgentCalls)) { ... }
//   quota.ApplyPeerTotal(now, "d2/17", admittedByPeer, peerStartedFirst);

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
  double rate = 0;  // units per second for all daemons together; 0: unlimited
  double burst = 0; // capacity of the bucket in units

  bool operator==(const QuotaLimit&) const = default;
};

/// How far a team may exceed its limit within any time span of the window's length.
struct QuotaTolerance
{
  Duration window = std::chrono::seconds(8);
  double overshoot = 0; // as a share of the limit
  double slack = 0;     // in units, added to the overshoot

  bool operator==(const QuotaTolerance&) const = default;
};

/// Returns the limit to enforce. Part of the tolerance is added to the configured limit,
/// because a refused call is lost to its caller. The rest of the tolerance covers what
/// daemons admit before they receive each other's digests, so the added part shrinks as
/// the digest interval grows.
QuotaLimit EnforcedLimit(QuotaLimit aLimit, const QuotaTolerance& aTolerance,
                         Duration aDigestInterval);

/// Returns how long a peer counts as live after its last digest. A peer whose digest is
/// later may be behind a partition. If it still counted as live, both sides of the
/// partition would fill the shared bucket at the full rate.
Duration PeerTimeout(Duration aDigestInterval);

/// Estimates the number of live peers from the ages of their newest digests. `aInterval`
/// is the longest time between two digests of a peer.
double EstimateLivePeers(std::span<const Duration> aAges, Duration aInterval);

/// The quota of one team at this daemon.
class TeamQuota
{
public:
  /// The buckets are full when the first limit is set.
  explicit TeamQuota(TimePoint aNow)
    : lastRefill_(aNow)
  {
  }

  /// Sets the limit. Tokens above the new burst are discarded.
  void SetLimit(TimePoint aNow, QuotaLimit aLimit);

  /// Sets the share of all daemons that are live, this one included, from 0 to 1. The
  /// other daemons may admit calls too, so the shared bucket fills with this share of the
  /// rate.
  void SetLiveShare(TimePoint aNow, double aShare);

  /// Sets the number of daemons that may admit calls, this one included, whether they are
  /// live or not. Until peers are live, each daemon admits its equal share of the burst.
  void SetDaemonCount(size_t aCount) { daemonCount_ = aCount; }

  /// Sets the time between two digests of a peer. The shared bucket does not include yet
  /// what peers admitted since their last digest.
  void SetDigestInterval(Duration aInterval) { digestInterval_ = aInterval; }

  /// Admits the amount if the buckets allow it. A bucket that holds less than the amount
  /// goes below zero. A call that is less urgent than others of the team is admitted only
  /// if `aReserve` units at this daemon are left for these, but a tenth of the limit
  /// stays open to such calls. The reserve never leads to an admission that would be
  /// refused without it.
  bool TryAdmit(TimePoint aNow, double aAmount, double aReserve = 0);

  /// Returns an admitted but unused amount to the buckets.
  void Refund(TimePoint aNow, double aAmount);

  /// Takes out what a peer admitted since its last digest. `aAdmitted` is the total since
  /// the start of the process that `aPeer` names. If the peer started before this daemon,
  /// its first total is only the baseline for later ones, because it was admitted before
  /// this bucket existed.
  void ApplyPeerTotal(TimePoint aNow, std::string_view aPeer, double aAdmitted,
                      bool aPeerStartedFirst);

  /// Makes the next total of a peer that is no longer live a new baseline. The shared
  /// bucket fills without the peer's share until then, which accounts for what it admits.
  void ForgetPeer(std::string_view aPeer);

  /// Returns the estimated time until a call can be admitted, with amount and reserve as
  /// for TryAdmit().
  Duration RefillTime(TimePoint aNow, double aAmount = 0, double aReserve = 0);

  /// Returns the total amount that this daemon admitted, less refunds.
  double TotalAdmitted() const { return admitted_; }

  /// Returns the total amount that all daemons admitted, as far as the peers' digests
  /// tell.
  double TotalAdmittedByAll() const { return admitted_ + peersAdmitted_; }

private:
  /// What the buckets must hold for a call to be admitted.
  struct NeededLevels
  {
    double shared = 0;
    double local = 0; // also of the equal-share bucket
  };

  /// Returns the levels for a call that leaves the reserve to others.
  NeededLevels LevelsFor(double aAmount, double aReserve) const;

  void Refill(TimePoint aNow);
  void RefillEqualShare(double aSeconds);

  /// Recomputes `localShare_` if it is out of date.
  void UpdateLocalShare(TimePoint aNow);

  /// Returns whether too few peers are live to know what the other daemons admit.
  bool IsIsolated() const;

  /// Returns the rate at which the shared bucket fills, in units per second: the part of
  /// the limit that belongs to the live daemons.
  double SharedRefillRate() const;

  /// Returns the rate at which the local bucket fills, in units per second.
  double LocalRefillRate() const;

  /// Returns this daemon's share if all daemons have the same one.
  double EqualShare() const;

  /// Estimates what all live daemons admit between two digests, which the shared bucket
  /// does not include yet.
  double EstimateUnreported(TimePoint aNow) const;

  QuotaLimit limit_;
  double sharedLevel_ = 0; // below 0: a debt
  double localLevel_ = 0;
  double equalShareLevel_ = 0; // below 0: a debt
  double openLevel_ = 0;       // what calls may take without leaving a reserve
  SmoothedRate requestRate_;   // at this daemon, admitted or refused
  SmoothedRate localAdmitRate_;
  SmoothedRate peerAdmitRate_;
  double localShare_ = 1; // this daemon's share of what all daemons admitted recently
  bool hasLocalShare_ = false;
  TimePoint localShareUpdated_{};
  size_t daemonCount_ = 1;
  Duration digestInterval_{};
  double liveShare_ = 1;
  double admitted_ = 0;
  double peersAdmitted_ = 0;
  TimePoint lastRefill_;
  /// The last total of each peer; empty if the next total is a new baseline.
  std::unordered_map<std::string, std::optional<double>> peerTotals_;
  size_t countedPeers_ = 0; // with a last total
};

} // namespace gooseberrypath::entry

#endif // ENTRY_TEAM_QUOTA_H_
