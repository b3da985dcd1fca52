// What a daemon tells the other daemons several times a second in one datagram. All
// values are totals or current values, so that a lost datagram is repaired by the next
// one.

#ifndef ENTRY_PEER_DIGEST_H_
#define ENTRY_PEER_DIGEST_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "entry/model.h"
#include "entry/usage_count.h"
#include "gooseberrypath/errors.h"

namespace gooseberrypath::entry {

/// What the sender has running at one backend.
struct BackendUse
{
  uint32_t backend = 0; // hash of the backend's id
  uint32_t inFlight = 0;
  uint32_t waitingTokens = 0; // prompt tokens of calls without a first event
  uint32_t kvTokens = 0;      // memory that the calls are expected to need
};

/// What the sender has admitted for a team since its start.
struct TeamUse
{
  uint32_t team = 0;     // hash of the team's name
  uint64_t admitted = 0; // in the unit of the team's limit
};

/// Prompt tokens a second that the sender gives the engines of a service to read.
struct ServiceDemand
{
  uint32_t service = 0; // hash of the service's name
  float promptTokensPerSecond = 0;
};

/// A backend that gets no new calls from the sender.
struct LeavingBackend
{
  std::string id;
  uint64_t startedMs = 0; // of the start that is meant
  bool isRemoved = false; // its entry is gone from the store; it may come back

  bool operator==(const LeavingBackend&) const = default;
};

struct PeerDigest
{
  std::string daemon;         // name of the sender's host
  uint64_t incarnation = 0;   // start of the sender in ms since 1970
  uint64_t sequence = 0;      // grows with each digest
  bool isStopping = false;    // it takes no more calls
  bool canReachStore = false; // the platform's store answers it
  uint64_t configVersion = 0;
  uint64_t fleetOffset = 0; // in the store, of the last backend that came or left
  uint64_t dutyToken = 0;   // the sender holds the duties with this token; 0: it does not
  uint64_t dutyRenewal = 0; // its newest renewal
  std::vector<ServiceDemand> demands;
  std::vector<BackendUse> backends;
  std::vector<TeamUse> teams;
  std::vector<UsageRow> usage;          // of the sender itself
  std::vector<std::string> peers;       // addresses of other daemons
  std::vector<LeavingBackend> leaving;  // or just removed
  std::optional<FleetDelta> fleetDelta; // of a reading that was just made
};

/// Returns the Cap'n Proto message.
std::string EncodeDigest(const PeerDigest& aDigest);

/// Parses a datagram. Fails with BadRequest.
Result<PeerDigest> DecodeDigest(std::span<const char> aBytes);

/// Returns the hash by which digests name backends and teams.
uint32_t DigestKey(std::string_view aName);

} // namespace gooseberrypath::entry

#endif // ENTRY_PEER_DIGEST_H_
