// The digest that each daemon sends to the other daemons several times a second, in one
// datagram. All values are totals or current values, so the next digest makes up for a
// lost one. Only the fleet delta is sent once; a daemon that misses it reads the store.
//
//   std::string bytes = EncodeDigest(digest);
//   Result<PeerDigest> received = DecodeDigest(bytes);

#ifndef ENTRY_PEER_DIGEST_H_
#define ENTRY_PEER_DIGEST_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "entry/backend_limit.h"
#include "entry/model.h"
#include "entry/part_evidence.h"
#include "entry/usage_count.h"
#include "gooseberrypath/errors.h"

namespace gooseberrypath::entry {

/// The load of the sender's running calls at one backend.
struct BackendUse
{
  uint32_t backend = 0; // hash of the backend's id
  uint32_t inFlight = 0;
  uint32_t waitingTokens = 0; // prompt tokens of calls without a first event
  uint32_t kvTokens = 0;      // KV cache tokens that the calls are expected to need
};

/// The total that the sender has admitted for a team since its start.
struct TeamUse
{
  uint32_t team = 0;     // hash of the team's name
  uint64_t admitted = 0; // in the unit of the team's limit
};

/// The rate at which the sender gives prompt tokens to the engines of a service.
struct ServiceDemand
{
  uint32_t service = 0; // hash of the service's name
  float promptTokensPerSecond = 0;
};

/// A backend that gets no new calls from the sender.
struct LeavingBackend
{
  std::string id;
  uint64_t startedMs = 0;     // Unix ms; identifies the start that is meant
  bool isRemoved = false;     // its entry is gone from the store, but may come back
  uint64_t removedBefore = 0; // if removed: store offset up to which the sender had read

  bool operator==(const LeavingBackend&) const = default;
};

/// What the sender knows of a backend's limit.
struct GossipedLimit
{
  uint32_t backend = 0; // hash of the backend's id
  LimitStatement statement;
};

/// The newest load report of a backend that the sender received since its last digest.
struct GossipedLoad
{
  uint32_t backend = 0; // hash of the backend's id
  Duration age{};       // when the digest was sent
  LoadReport report;
};

/// An attempt that broke before its answer was whole, as the sender knows of it.
struct GossipedStart
{
  BrokenStartId id;
  uint32_t team = 0; // hash of the team's name
  uint32_t ageMs = 0;
  std::vector<uint64_t> parts; // that may have ended the backend
  bool isPartial = false;      // other digests tell of other parts of it
  bool isCleared = false;      // the request itself is not suspected
};

/// The trials of a blocked part, as the sender knows of them.
struct GossipedTrials
{
  uint64_t part = 0;
  uint32_t count = 0;
  uint32_t lastAgeMs = 0;   // since the last trial
  uint32_t wantedAgeMs = 0; // since the last call with the part
};

/// Evidence about prompt parts.
struct GossipedParts
{
  std::vector<uint32_t> answered; // PartEvidence::KeyOf()
  std::vector<GossipedStart> starts;
  std::vector<GossipedTrials> trials;
};

/// The state that a daemon shares with its peers.
struct PeerDigest
{
  std::string daemon;         // name of the sender's host
  uint64_t incarnation = 0;   // start of the sender in ms since 1970
  uint64_t sequence = 0;      // grows with each digest
  bool isStopping = false;    // the sender accepts no more calls
  bool canReachStore = false; // the platform's store responds to the sender
  uint64_t configVersion = 0;
  /// Time since which the sender may lack a newer version; no value: it has read none.
  std::optional<Duration> configurationAge;
  /// Time since the store answered any daemon, as far as the sender knows.
  std::optional<Duration> storeAnswerAge;
  std::optional<Duration> fleetAge; // time since which the sender may lack changes
  uint64_t fleetChangesEnd = 0; // store offset behind the last change that it knows of
  uint64_t storeEra = 0;        // newest known one; offsets are valid in it; 0: none
  uint64_t fleetOffset = 0;     // store offset of the last backend that joined or left
  uint64_t dutyToken = 0;   // the sender holds the duties with this token; 0: it does not
  uint64_t dutyRenewal = 0; // number of the sender's newest renewal
  std::vector<ServiceDemand> demands;
  std::vector<BackendUse> backends;
  std::vector<TeamUse> teams;
  std::vector<UsageRow> usage;          // calls that the sender itself counted
  std::vector<std::string> peers;       // addresses of other daemons
  std::vector<LeavingBackend> leaving;  // includes backends that were just removed
  std::vector<GossipedLimit> limits;    // some of the known ones, at first the newest
  std::vector<GossipedLoad> loads;      // some reports, may be invalid
  bool grantsPermits = false;           // for the limited backends that it is chosen for
  GossipedParts parts;                  // some of the known evidence, at first the newest
  std::optional<FleetDelta> fleetDelta; // changes that the sender has just read
};

/// Returns the digest as a packed Cap'n Proto message.
std::string EncodeDigest(const PeerDigest& aDigest);

/// Parses a datagram. Fails with BadRequest.
Result<PeerDigest> DecodeDigest(std::span<const char> aBytes);

/// Returns the hash that identifies a backend, team or service in digests.
uint32_t DigestKey(std::string_view aName);

} // namespace gooseberrypath::entry

#endif // ENTRY_PEER_DIGEST_H_
