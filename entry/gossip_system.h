// Gossips the load and the admitted calls of this daemon in digests to the other daemons,
// and applies the digests that they send.
//
//   GossipSystem gossip(world);
//   gossip.Start();
//   gossip.Run(); // in each tick

#ifndef ENTRY_GOSSIP_SYSTEM_H_
#define ENTRY_GOSSIP_SYSTEM_H_

#include <optional>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Sends and applies digests, and tracks which peers are alive.
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
  void Handle(const PeerAddressesRead& aEvent);

private:
  /// Adds the address of a peer unless it is known, is this daemon's own or exceeds the
  /// limit.
  void AddPeerAddress(const std::string& aAddress);

  /// Replaces the peer's part in the sums of calls that peers run at backends.
  void UpdateBackendUse(PeerRow& aPeer, const PeerDigest& aDigest);

  /// Makes the teams' quotas forget the admitted totals of the peer's process.
  void ForgetTeamTotals(const PeerRow& aPeer);

  /// Detects peers whose digests have stopped, and forgets those that stay away.
  void CheckPeerTimeouts();

  /// Updates the teams' quotas and the number of store readers for the live peers.
  void UpdateQuotaShares();

  /// Sends a digest to all known addresses; a full one also brings usage counts to the
  /// holder.
  void SendDigests();

  /// Returns a digest of the current state. A full one has a sample of peer addresses.
  PeerDigest MakeDigest(bool aIsFull);

  /// Returns the address of the live peer that holds the duties, or an empty text.
  std::string HolderAddress() const;

  /// Returns the time between two digests that keeps to the byte budget.
  Duration DigestInterval() const;

  /// Returns the time from the last digest to the next one.
  Duration NextSendDelay() const;

  World& world_;
  TimePoint lastSent_{};
  TimePoint lastFullSent_{};
  uint64_t sequence_ = 0;
  size_t lastDigestBytes_ = 0;          // estimated
  double jitter_ = 1;                   // factor of the delay after the last digest
  std::optional<TimePoint> nextWakeUp_; // earliest timer that is pending
  size_t lastReaderCount_ = 1;          // in the last SetReaderCount
};

} // namespace gooseberrypath::entry

#endif // ENTRY_GOSSIP_SYSTEM_H_
