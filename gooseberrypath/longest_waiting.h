// The choice of the connection that gives way when memory or connections run short: the
// one that has waited longest for its caller.
//
//   LongestWaiting<Connection> longest(now);
//   for (Connection& connection : connections) {
//     longest.Offer(connection, connection.WaitsSince());
//   }
//   if (Connection* found = longest.Get()) { ... }

#ifndef GOOSEBERRYPATH_LONGEST_WAITING_H_
#define GOOSEBERRYPATH_LONGEST_WAITING_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// A connection gives way only after it waited for this time, which is longer than a lost
/// packet usually delays a request.
inline constexpr Duration kMinWait = std::chrono::milliseconds(500);

/// While memory runs short, a response is dropped if its caller has taken nothing for
/// this time. A slow mobile connection takes something more often.
inline constexpr Duration kMaxUntakenTime = std::chrono::seconds(10);

/// A request makes progress when this much of its body has arrived, so that single bytes
/// do not count.
inline constexpr size_t kProgressBytes = size_t{ 16 } * 1024;

/// Requests that take up less are not dropped, because that would make no room.
inline constexpr size_t kMinDroppedBytes = size_t{ 4 } * 1024;

template<typename Connection>
class LongestWaiting
{
public:
  explicit LongestWaiting(TimePoint aNow, Duration aMinWait = kMinWait)
    : since_(aNow - aMinWait)
  {
  }

  /// Considers a connection that waits since this time. Empty: it does not wait.
  void Offer(Connection& aConnection, std::optional<TimePoint> aSince)
  {
    if (aSince && *aSince <= since_) {
      found_ = &aConnection;
      since_ = *aSince;
    }
  }

  /// Returns the connection that waits longest, or null.
  Connection* Get() const { return found_; }

private:
  TimePoint since_;
  Connection* found_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_LONGEST_WAITING_H_
