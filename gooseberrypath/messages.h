// Messages between daemons, independent of their wire form (peer.capnp).

#ifndef GOOSEBERRYPATH_MESSAGES_H_
#define GOOSEBERRYPATH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrypath/errors.h"
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

/// The part of a row that changes often. The receiver finds the rest by the id.
struct MemberBeat
{
  uint64_t id = 0; // MemberId() of the row
  uint64_t heartbeat = 0;
  Offset appliedConfig = 0;

  bool operator==(const MemberBeat&) const = default;
};

/// Returns a hash of the fields of a row that MemberBeat leaves out.
uint64_t MemberId(const MemberDigest& aDigest);

/// One gossip message.
struct GossipMessage
{
  std::string fromAddress; // where a reply goes
  bool wantsReply = false;
  std::vector<MemberDigest> members;
  std::vector<HostNews> hosts;
  std::vector<MemberBeat> beats;
  std::vector<uint64_t> wanted; // ids whose whole rows the sender asks for
  uint32_t daemons = 0;         // number of daemons that the sender knows of
  /// Which daemons have applied `appliedUpTo`, in the order of their names, 64 to a word.
  /// It holds for a receiver whose daemons have the same hash.
  std::vector<uint64_t> applied;
  Offset appliedUpTo = 0;
  uint64_t membersHash = 0; // of names and incarnations
};

/// What a daemon says about a claim.
enum class ClaimWord : uint8_t
{
  Running,     // it holds the claim and the action is running or being recorded
  GaveUp,      // it held the claim, has not dispatched it and never will
  NotHeld,     // it does not know the claim, for example after a restart
  Unreachable, // the daemon could not be asked
};

/// How a model request ended.
struct StreamEnd
{
  std::string finishReason; // of a whole answer
  std::optional<Error> error;
};

/// A model request that its daemon hands over, with all that was received for it.
struct StreamState
{
  std::string id; // public id of the request
  std::string service;
  std::string team;
  std::string chat; // JSON body of the caller; empty if it ended
  std::string model;
  std::string trace;
  std::string span;           // of the request at the daemon that hands it over
  int64_t createdSeconds = 0; // since 1970
  Duration timeLeft{};        // to the deadline
  std::vector<std::string> tokens;
  std::optional<StreamEnd> end; // none: running
};

/// A peer's answer to a hand-over.
enum class HandOverWord : uint8_t
{
  Accepted, // the peer has the stream
  Refused,  // the peer does not have it
  Unreachable,
};

/// A peer's answer to a read of a stream.
struct StreamPart
{
  enum class State : uint8_t
  {
    Found,
    NotFound,
    Unreachable,
  };
  State state = State::Unreachable;
  std::string model;
  int64_t createdSeconds = 0;      // since 1970
  uint64_t total = 0;              // tokens that the peer has
  std::vector<std::string> tokens; // from the offset that was asked for
  std::optional<StreamEnd> end;    // none: running
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MESSAGES_H_
