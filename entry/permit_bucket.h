// Issues the permits of one limited backend at the daemon that grants them, at the rate
// that the backend takes.
//
//   PermitBucket bucket(now);
//   bucket.SetRate(now, 5);
//   PermitGrant grant = bucket.Grant(now, { .process = "d2/17", .id = 4, .wanted = 1 });

#ifndef ENTRY_PERMIT_BUCKET_H_
#define ENTRY_PERMIT_BUCKET_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// A request for permits of the bucket's backend.
struct PermitDemand
{
  std::string process; // that asks
  uint64_t id = 0;     // grows with each request of the process
  uint32_t wanted = 1;
};

struct PermitGrant
{
  uint32_t permits = 0;
  Duration askAgainAfter{}; // the process gets no further permits before this time
};

class PermitBucket
{
public:
  /// The bucket is empty at first, because another daemon may have granted until now.
  explicit PermitBucket(TimePoint aNow)
    : refilledAt_(aNow)
  {
  }

  /// Sets the permits per second.
  void SetRate(TimePoint aNow, double aPerSecond);

  /// Takes all permits out.
  void Empty(TimePoint aNow);

  /// Grants permits. A repeated request gets the same answer again and takes nothing out;
  /// an older one gets nothing.
  PermitGrant Grant(TimePoint aNow, const PermitDemand& aDemand);

private:
  struct Asker
  {
    uint64_t lastId = 0;
    PermitGrant lastGrant;
    TimePoint askedAt{};
  };

  void Refill(TimePoint aNow);
  void ForgetSilentAskers(TimePoint aNow);

  /// Returns the time between two requests of a process with which the requests of all
  /// processes together stay within what one daemon answers.
  Duration AskInterval() const;

  /// Returns the permits that one process may get at once, so that a few processes do not
  /// take all and let them expire.
  double MaxPermits() const;

  double perSecond_ = 0;
  double level_ = 0;
  TimePoint refilledAt_;
  TimePoint forgotAt_{};
  std::unordered_map<std::string, Asker> askers_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PERMIT_BUCKET_H_
