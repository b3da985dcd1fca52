// Remembers for some seconds when requests or prompt parts were answered, under 32-bit
// keys. A hash of two that collide only makes one of them count as answered.
//
//   AnswerTimes answers;
//   answers.Record(now, key);
//   if (answers.WasAnswered(key, since)) { ... }

#ifndef ENTRY_ANSWER_TIMES_H_
#define ENTRY_ANSWER_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

class AnswerTimes
{
public:
  /// Records an answer. If there are too many, the oldest ones are forgotten.
  void Record(TimePoint aNow, uint32_t aKey);

  /// Tells whether there was an answer after this time.
  bool WasAnswered(uint32_t aKey, TimePoint aSince) const;

  /// Tells whether any answer is remembered.
  bool Contains(uint32_t aKey) const { return times_.contains(aKey); }

  /// Forgets the answers that are too old to matter.
  void ForgetOld(TimePoint aNow);

private:
  std::unordered_map<uint32_t, TimePoint> times_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_ANSWER_TIMES_H_
