// Keeps the configuration fresh: decides when this daemon reads it again besides its long
// poll, which says nothing while nothing changes and therefore cannot show that it still
// works. Daemons tell each other as of when the configuration is known, so that one read
// serves all of them.
//
//   ConfigurationWatch watch(world);
//   watch.Handle(TopicConfirmed{ ... });

#ifndef ENTRY_CONFIGURATION_WATCH_H_
#define ENTRY_CONFIGURATION_WATCH_H_

#include <optional>

#include "entry/world.h"

namespace gooseberrypath::entry {

class ConfigurationWatch
{
public:
  explicit ConfigurationWatch(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();
  void Run() {}

  void Handle(const TopicConfirmed& aEvent);
  void Handle(const TopicReadFailed& aEvent);

  /// Takes over what a peer knows, or arranges a read of the newer version that it has.
  void Handle(const DigestReceived& aEvent);

private:
  /// Returns when the configuration must be read, if it is not confirmed before.
  TimePoint CheckDue() const;

  /// Wakes this system when the check is due.
  void Schedule();
  void CheckIfDue();
  void NoteConfirmed();

  World& world_;
  TimerId timer_;
  bool isChecking_ = false;          // a read was ordered and has not ended
  int failures_ = 0;                 // of checks, in a row
  std::optional<TimePoint> retryAt_; // of the next check after a failure
  uint64_t peerVersion_ = 0;         // a newer version that a peer has
  std::optional<TimePoint> fetchAt_; // when to read that version
  TimePoint lastFetch_{};
  Duration lateTurn_{};     // of this daemon, if many take their turn before it
  bool isReported_ = false; // the log says that the configuration may be old
};

} // namespace gooseberrypath::entry

#endif // ENTRY_CONFIGURATION_WATCH_H_
