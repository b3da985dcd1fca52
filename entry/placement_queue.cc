#include "entry/placement_queue.h"

#include <algorithm>
#include <iterator>

namespace gooseberrypath::entry {

namespace {

// The weight of the most urgent priority that waits. The next ones get half of the one
// before, and from the fourth on 1, so that the least urgent one gets slots in each
// second.
constexpr double kFirstWeight = 8;

// Bounds of the time after which a refused request should be sent again. A queue changes
// completely within the longer one.
constexpr double kMinRetrySeconds = 0.03;
constexpr double kMaxRetrySeconds = 2;

// Retry times vary by up to this share, so that callers that were refused together do not
// return together.
constexpr double kRetryJitter = 0.2;

// A wait depends on what arrives meanwhile, which depends on the wait. The estimate
// changes little after this number of rounds.
constexpr int kEstimateRounds = 4;

// Requests arrive and end unevenly. With this margin of the estimate, few of those that
// wait in a surge expire.
constexpr double kWaitMargin = 1.1;

// Teams without waiting requests are removed when there are more than this number.
constexpr size_t kMaxIdleTeams = 64;

size_t ClampPriority(uint32_t aPriority, size_t aPriorities)
{
  return std::min<size_t>(aPriority, aPriorities - 1);
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

PlacementQueue::PlacementQueue(PlacementQueueOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed)
{
}

std::optional<Duration> PlacementQueue::Add(TimePoint aNow,
                                            const QueuedPlacement& aRequest,
                                            double aSlotsPerSecond)
{
  RefuseExpired(aNow);
  slotsPerSecond_ = aSlotsPerSecond;
  const size_t priority = ClampPriority(aRequest.priority, kPriorities);
  const double timeLeft = ToSeconds(aRequest.latestStart - aNow);
  const double wait =
    EstimateWait(aNow, priority, aRequest.team, aRequest.latestStart, aSlotsPerSecond);
  const bool isInTime = wait <= timeLeft;
  const bool isFull = places_.size() >= options_.maxEntries;
  if (!isInTime || (isFull && !Displace(aNow, priority, aRequest.team))) {
    return RetryAfter(aNow, priority, aRequest.team, isInTime ? wait : wait - timeLeft);
  }
  PriorityTurn& turn = priorities_.at(priority);
  const StartKey key{ aRequest.latestStart, ++arrivals_ };
  turn.teams[aRequest.team].waiting.emplace(key, aRequest.id);
  turn.waiting += 1;
  turn.arrivals.Add(aNow, 1);
  places_[aRequest.id] = { .priority = priority, .team = aRequest.team, .key = key };
  return std::nullopt;
}

std::optional<uint64_t> PlacementQueue::PopNext(TimePoint aNow)
{
  RefuseExpired(aNow);
  if (IsEmpty()) {
    return std::nullopt;
  }
  const PriorityTurn* next = nullptr;
  for (const PriorityTurn& turn : priorities_) {
    const double start = std::max(turn.next, current_);
    if (turn.waiting > 0 && (next == nullptr || start < std::max(next->next, current_))) {
      next = &turn;
    }
  }
  const auto rank = [&](const TeamTurn& aTeam) {
    return std::pair(std::max(aTeam.next, next->current), aTeam.waiting.begin()->first);
  };
  const TeamTurn* first = nullptr;
  for (const auto& [key, team] : next->teams) {
    if (!team.waiting.empty() && (first == nullptr || rank(team) < rank(*first))) {
      first = &team;
    }
  }
  const uint64_t id = first->waiting.begin()->second;
  const Place place = places_.at(id);
  CountService(aNow, place.priority, place.team);
  Remove(id);
  return id;
}

std::vector<QueueRefusal> PlacementQueue::TakeExpired(TimePoint aNow)
{
  RefuseExpired(aNow);
  return std::exchange(refusals_, {});
}

bool PlacementQueue::Remove(uint64_t aId)
{
  const auto found = places_.find(aId);
  if (found == places_.end()) {
    return false;
  }
  PriorityTurn& turn = priorities_.at(found->second.priority);
  turn.teams.at(found->second.team).waiting.erase(found->second.key);
  turn.waiting -= 1;
  places_.erase(found);
  return true;
}

void PlacementQueue::RecordService(TimePoint aNow, uint32_t aPriority, uint32_t aTeam)
{
  const size_t priority = ClampPriority(aPriority, kPriorities);
  priorities_.at(priority).arrivals.Add(aNow, 1);
  CountService(aNow, priority, aTeam);
  RemoveIdleTeams(aNow, priorities_.at(priority));
}

bool PlacementQueue::IsEmpty() const
{
  return places_.empty();
}

size_t PlacementQueue::Size() const
{
  return places_.size();
}

PlacementQueue::Weights PlacementQueue::WeightsUntil(TimePoint aNow, size_t aPriority,
                                                     TimePoint aUntil) const
{
  Weights weights{};
  double weight = kFirstWeight;
  const double seconds = std::max(ToSeconds(aUntil - aNow), 0.0);
  for (size_t i = 0; i < kPriorities; ++i) {
    const PriorityTurn& turn = priorities_.at(i);
    const bool arrivesSoon = turn.arrivals.PerSecond(aNow) * seconds >= 1;
    if (i == aPriority || turn.waiting > 0 || arrivesSoon) {
      weights.at(i) = weight;
      weight = std::max(weight / 2, 1.0);
    }
  }
  return weights;
}

double PlacementQueue::EstimateWait(TimePoint aNow, size_t aPriority, uint32_t aTeam,
                                    TimePoint aLatestStart, double aSlotsPerSecond) const
{
  if (aSlotsPerSecond <= 0) {
    return ToSeconds(aLatestStart - aNow) + kMaxRetrySeconds;
  }
  const PriorityTurn& own = priorities_.at(aPriority);
  // The turn of its team in which the request starts. Until then, each other team of the
  // priority has as many turns.
  size_t teamTurn = 1;
  if (const auto team = own.teams.find(aTeam); team != own.teams.end()) {
    const auto& waiting = team->second.waiting;
    const auto behind = waiting.upper_bound({ aLatestStart, arrivals_ });
    teamTurn += static_cast<size_t>(std::distance(waiting.begin(), behind));
  }
  size_t turns = teamTurn;
  for (const auto& [key, team] : own.teams) {
    turns += key == aTeam ? 0 : std::min(team.waiting.size(), teamTurn);
  }
  // Until then, each other priority has turns by weight, if it has enough requests.
  const Weights weights = WeightsUntil(aNow, aPriority, aLatestStart);
  double wait = 0;
  for (int round = 0; round < kEstimateRounds; ++round) {
    auto starts = static_cast<double>(turns);
    for (size_t i = 0; i < kPriorities; ++i) {
      const PriorityTurn& other = priorities_.at(i);
      const double demand =
        static_cast<double>(other.waiting) + other.arrivals.PerSecond(aNow) * wait;
      const double share =
        static_cast<double>(turns) * weights.at(i) / weights.at(aPriority);
      starts += i == aPriority ? 0 : std::min(demand, share);
    }
    wait = kWaitMargin * starts / aSlotsPerSecond;
  }
  return wait;
}

Duration PlacementQueue::RetryAfter(TimePoint aNow, size_t aPriority, uint32_t aTeam,
                                    double aSeconds)
{
  const Weights weights = WeightsUntil(aNow, aPriority, aNow);
  double total = 0;
  double earlier = 0; // priorities that are more urgent
  for (size_t i = 0; i < kPriorities; ++i) {
    total += weights.at(i);
    earlier += i < aPriority && weights.at(i) > 0 ? 1 : 0;
  }
  PriorityTurn& turn = priorities_.at(aPriority);
  TeamTurn& team = turn.teams[aTeam];
  const auto teams = std::ranges::count_if(
    turn.teams, [](const auto& aEntry) { return !aEntry.second.waiting.empty(); });
  // Each refused request of a team is told a later time than the one before, by the time
  // that the team's share of the slots needs for one. They return one after the other,
  // and to send again at once only results in a later time.
  const double share = weights.at(aPriority) / total /
                       static_cast<double>(std::max<std::ptrdiff_t>(teams, 1));
  const double step =
    slotsPerSecond_ > 0 ? 1 / (slotsPerSecond_ * share) : kMaxRetrySeconds;
  const double afterOthers = ToSeconds(team.toldUntil - aNow) + step;
  const double least = kMinRetrySeconds * (1 + earlier);
  const double seconds =
    std::clamp(std::max(aSeconds, afterOthers), least, kMaxRetrySeconds);
  const auto toDuration = [](double aValue) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aValue));
  };
  team.toldUntil = aNow + toDuration(seconds);
  RemoveIdleTeams(aNow, turn);
  return toDuration(seconds * std::uniform_real_distribution<double>(
                                1 - kRetryJitter, 1 + kRetryJitter)(random_));
}

bool PlacementQueue::Displace(TimePoint aNow, size_t aPriority, uint32_t aTeam)
{
  size_t last = kPriorities - 1;
  while (last > aPriority && priorities_.at(last).waiting == 0) {
    --last;
  }
  const PriorityTurn& turn = priorities_.at(last);
  const auto size = [](const auto& aEntry) { return aEntry.second.waiting.size(); };
  const auto largest = std::ranges::max_element(turn.teams, {}, size);
  if (turn.waiting == 0) {
    return false;
  }
  const auto own = turn.teams.find(aTeam);
  const size_t ownSize = own == turn.teams.end() ? 0 : size(*own);
  if (last == aPriority && size(*largest) <= ownSize + 1) {
    return false;
  }
  Refuse(aNow, largest->second.waiting.rbegin()->second);
  return true;
}

void PlacementQueue::Refuse(TimePoint aNow, uint64_t aId)
{
  const Place place = places_.at(aId);
  Remove(aId);
  const auto waiting = static_cast<double>(priorities_.at(place.priority).waiting + 1);
  const double seconds =
    slotsPerSecond_ > 0 ? waiting / slotsPerSecond_ : kMaxRetrySeconds;
  refusals_.push_back(
    { .id = aId, .retryAfter = RetryAfter(aNow, place.priority, place.team, seconds) });
}

void PlacementQueue::RefuseExpired(TimePoint aNow)
{
  std::vector<uint64_t> expired;
  for (const PriorityTurn& turn : priorities_) {
    for (const auto& [key, team] : turn.teams) {
      const auto end = team.waiting.lower_bound({ aNow, 0 });
      for (auto request = team.waiting.begin(); request != end; ++request) {
        expired.push_back(request->second);
      }
    }
  }
  for (const uint64_t id : expired) {
    Refuse(aNow, id);
  }
}

void PlacementQueue::CountService(TimePoint aNow, size_t aPriority, uint32_t aTeam)
{
  PriorityTurn& turn = priorities_.at(aPriority);
  const Weights weights = WeightsUntil(aNow, aPriority, aNow);
  current_ = std::max(turn.next, current_);
  turn.next = current_ + 1 / weights.at(aPriority);
  TeamTurn& team = turn.teams[aTeam];
  turn.current = std::max(team.next, turn.current);
  team.next = turn.current + 1;
}

void PlacementQueue::RemoveIdleTeams(TimePoint aNow, PriorityTurn& aPriority) const
{
  if (aPriority.teams.size() <= kMaxIdleTeams) {
    return;
  }
  std::erase_if(aPriority.teams, [&](const auto& aEntry) {
    const TeamTurn& team = aEntry.second;
    return team.waiting.empty() && team.next <= aPriority.current &&
           team.toldUntil <= aNow;
  });
}

} // namespace gooseberrypath::entry
