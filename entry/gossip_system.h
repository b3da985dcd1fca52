// Tells the other daemons what this one has running and admitted, and takes in what they
// tell.

#ifndef ENTRY_GOSSIP_SYSTEM_H_
#define ENTRY_GOSSIP_SYSTEM_H_

#include <optional>

#include "entry/world.h"

namespace gooseberrypath::entry {

class GossipSystem
{
public:
  explicit GossipSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  void Start();

  /// Sends a digest if one is due.
  void Run();

  void Handle(const DigestReceived& aEvent);
  void Handle(const PeersListed& aEvent);

private:
  void Learn(const std::string& aAddress);
  void TakeUse(PeerRow& aPeer, const PeerDigest& aDigest);

  /// Leaves the totals of the peer's process out of the teams' quotas.
  void ForgetUse(const PeerRow& aPeer);

  /// Notices peers that fell silent.
  void CheckSilence();
  void UpdateShares();
  void Send();
  PeerDigest MakeDigest(bool aIsFull);

  /// Returns the address of the peer that holds the duties, or nothing.
  std::string HolderAddress() const;

  /// Returns the time between two digests, so that they stay within the byte budget.
  Duration Interval() const;

  /// Returns the time from the last digest to the next one.
  Duration SendPause() const;

  World& world_;
  TimePoint lastSent_{};
  TimePoint lastFull_{};
  uint64_t sequence_ = 0;
  size_t lastSize_ = 0;              // estimated bytes of the last digest
  double spread_ = 1;                // of the pause after the last digest
  std::optional<TimePoint> wakesAt_; // of the earliest timer
  size_t toldReaders_ = 1;           // the count of the last SetReaders
};

} // namespace gooseberrypath::entry

#endif // ENTRY_GOSSIP_SYSTEM_H_
