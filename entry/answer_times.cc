#include "entry/answer_times.h"

namespace gooseberrypath::entry {

namespace {

// Answers are remembered for this time, in which all daemons hear of the attempts that
// broke before them.
constexpr Duration kRetention = std::chrono::seconds(15);

constexpr size_t kMaxAnswers = 4096;

} // namespace

void AnswerTimes::Record(TimePoint aNow, uint32_t aKey)
{
  times_[aKey] = aNow;
  if (times_.size() <= kMaxAnswers) {
    return;
  }
  for (Duration age = kRetention; times_.size() > kMaxAnswers / 2; age /= 2) {
    std::erase_if(times_, [&](const auto& aItem) { return aItem.second + age <= aNow; });
  }
}

bool AnswerTimes::WasAnswered(uint32_t aKey, TimePoint aSince) const
{
  const auto found = times_.find(aKey);
  return found != times_.end() && found->second > aSince;
}

void AnswerTimes::ForgetOld(TimePoint aNow)
{
  std::erase_if(times_,
                [&](const auto& aItem) { return aItem.second + kRetention <= aNow; });
}

} // namespace gooseberrypath::entry
