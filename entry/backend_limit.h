// The limit on the rate of requests that a backend takes from all daemons together, as
// the backend states it in its responses. Responses arrive in another order than the
// backend made them, and daemons pass its statements on to each other.
//
//   BackendLimit limit;
//   limit.Apply({ .perSecond = 5, .sentAt = sent, .receivedAt = now });
//   if (limit.InForce()) { ... }

#ifndef ENTRY_BACKEND_LIMIT_H_
#define ENTRY_BACKEND_LIMIT_H_

#include <optional>
#include <string>

#include "entry/usage_count.h"

namespace gooseberrypath::entry {

/// What one response of a backend says about its limit. The backend made the statement
/// between the two times.
struct LimitStatement
{
  std::optional<double> perSecond; // requests per second; empty: no limit
  WallTime sentAt{};               // when the call of this response was sent
  WallTime receivedAt{};           // when the head of the response was received

  bool operator==(const LimitStatement&) const = default;
};

/// Tells whether a statement from outside can be one: its limit is finite and not
/// negative, and its times are in order.
bool IsValid(const LimitStatement& aStatement);

/// Formats a limit for log lines: "1.2", or "none".
std::string LimitText(const std::optional<double>& aPerSecond);

class BackendLimit
{
public:
  /// Applies a statement and returns whether the limit in force changed. A statement that
  /// is certainly later than the known one replaces it. Of two whose order is unknown,
  /// the lower limit holds, so that a delayed response neither lifts nor raises a limit.
  bool Apply(const LimitStatement& aStatement);

  /// Returns the requests per second that the backend takes, or nothing.
  std::optional<double> InForce() const { return latest_.perSecond; }

  /// Returns the requests per second that the daemons together send, or nothing if no
  /// limit has to be kept. A limit below one request in four seconds is kept at that
  /// rate: without any response, a daemon would never learn that the limit has ended.
  std::optional<double> Enforced() const;

  /// Returns the statement that is in force.
  const LimitStatement& Latest() const { return latest_; }

private:
  LimitStatement latest_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_LIMIT_H_
