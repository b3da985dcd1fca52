// Messages between daemons, independent of their wire form (peer.capnp).

#ifndef GOOSEBERRYPATH_MESSAGES_H_
#define GOOSEBERRYPATH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// Life cycle of a daemon as told to its peers.
enum class DaemonState : uint8_t
{
  Starting,
  Serving,
  Draining,
};

/// One row of the membership table as sent to peers.
struct MemberDigest
{
  std::string daemon;       // unique name from the settings
  uint64_t incarnation = 0; // start time in ms since 1970; grows with each restart
  uint64_t heartbeat = 0;   // grows while the daemon runs
  std::string peerAddress;  // "IP:port" of its peer port
  std::string zone;
  Offset appliedConfig = 0; // highest offset of stream "config" applied
  DaemonState state = DaemonState::Starting;

  bool operator==(const MemberDigest&) const = default;
};

/// The news that a host is leaving, or that it is back.
struct HostNews
{
  std::string host;
  uint64_t sequence = 0; // ms since 1970 of the sign; the larger one wins
  bool leaving = true;

  bool operator==(const HostNews&) const = default;
};

/// One gossip message.
struct GossipMessage
{
  std::string fromAddress; // where a reply goes
  bool wantsReply = false;
  std::vector<MemberDigest> members;
  std::vector<HostNews> hosts;
};

/// What a daemon says about a claim.
enum class ClaimWord : uint8_t
{
  Running,     // it holds the claim and the action is running or being recorded
  GaveUp,      // it held the claim, has not dispatched it and never will
  NotHeld,     // it does not know the claim, for example after a restart
  Unreachable, // the daemon could not be asked
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MESSAGES_H_
