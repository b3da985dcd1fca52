#include "gooseberrypath/team_limits.h"

#include <algorithm>
#include <cmath>

#include "gooseberrypath/membership_system.h"

namespace gooseberrypath {

namespace {

/// A team may save up its share of this many seconds, so that a burst is not refused
/// while the average is within the limit.
constexpr double kBurstSeconds = 1;

size_t CountRunning(const World& aWorld, const std::string& aTeam)
{
  return static_cast<size_t>(
    std::ranges::count_if(aWorld.requests, [&](const auto& aItem) {
      return aItem.second.team == aTeam && !aItem.second.callerGone;
    }));
}

/// Returns the team's bucket, filled up to the present time.
TeamBucket& FillBucket(World& aWorld, const std::string& aTeam, double aRate)
{
  // A share below one request would never admit anything.
  const double capacity = std::max(1.0, aRate * kBurstSeconds);
  TeamBucket* bucket = aWorld.teamBuckets.Find(aTeam);
  if (!bucket) {
    return aWorld.teamBuckets.Insert(aTeam,
                                     { .requests = capacity, .filled = aWorld.Now() });
  }
  const double seconds =
    std::chrono::duration<double>(aWorld.Now() - bucket->filled).count();
  bucket->requests = std::min(capacity, bucket->requests + aRate * seconds);
  bucket->filled = aWorld.Now();
  return *bucket;
}

} // namespace

size_t CountServingDaemons(const World& aWorld)
{
  const auto others = std::ranges::count_if(aWorld.members, [&](const auto& aItem) {
    return aItem.second.digest.state == DaemonState::Serving &&
           IsReachable(aWorld, aItem.second);
  });
  return static_cast<size_t>(others) + 1;
}

Result<void> AdmitTeam(World& aWorld, const std::string& aTeam)
{
  const auto found = aWorld.resources.find({ "team", aTeam });
  if (found == aWorld.resources.end()) {
    return {};
  }
  const auto& team = std::get<TeamSpec>(found->second.spec);
  const auto daemons = static_cast<double>(CountServingDaemons(aWorld));
  if (team.maxConcurrent > 0) {
    const auto share = static_cast<size_t>(std::ceil(team.maxConcurrent / daemons));
    if (CountRunning(aWorld, aTeam) >= share) {
      return MakeError(ErrorKind::RateLimited,
                       "team " + aTeam + " has " + std::to_string(share) +
                         " requests running at this daemon, its share of maxConcurrent " +
                         std::to_string(team.maxConcurrent));
    }
  }
  if (team.requestsPerSecond > 0) {
    TeamBucket& bucket = FillBucket(aWorld, aTeam, team.requestsPerSecond / daemons);
    if (bucket.requests < 1) {
      return MakeError(ErrorKind::RateLimited,
                       "team " + aTeam + " is over its share of requestsPerSecond");
    }
    bucket.requests -= 1;
  }
  return {};
}

} // namespace gooseberrypath
