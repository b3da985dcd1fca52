// The messages by which daemons ask the placer of a service for backends of their calls,
// and their encoding in datagrams.
//
//   std::string bytes = EncodePlacementMessage(PlaceRequest{ ... });
//   if (IsPlacementMessage(bytes)) { Result<PlacementMessage> received = ...; }

#ifndef ENTRY_PLACEMENT_MESSAGE_H_
#define ENTRY_PLACEMENT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "entry/load_report.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Asks for a backend of a service for one call. The same request may arrive more than
/// once.
struct PlaceRequest
{
  std::string process;            // name of the asking process
  uint64_t id = 0;                // grows with each request of the process
  uint32_t service = 0;           // hash of the service's name
  uint32_t priority = 0;          // 0 is the most urgent
  uint32_t team = 0;              // hash of the team's name; 0: no team
  uint32_t dataCentre = 0;        // hash of the name of the daemon's data centre
  Duration timeLeft{};            // until the deadline of the call
  Duration latencyObjective{};    // longest useful time to the response
  std::vector<uint32_t> excluded; // hashes of ids of backends at which the call failed
};

enum class PlaceOutcome : uint8_t
{
  Placed,    // at the backend of the reply
  Held,      // waits for a free slot; a second reply follows
  Refused,   // cannot start in time
  NotPlacer, // the daemon does not place calls of the service
};

/// Returns the name of the outcome for log lines.
constexpr std::string_view NameOf(PlaceOutcome aOutcome)
{
  switch (aOutcome) {
    case PlaceOutcome::Placed:
      return "placed";
    case PlaceOutcome::Held:
      return "held";
    case PlaceOutcome::Refused:
      return "refused";
    case PlaceOutcome::NotPlacer:
      return "not_placer";
  }
  return {};
}

/// Answers a request.
struct PlaceReply
{
  uint64_t id = 0;      // of the request
  uint32_t service = 0; // hash of the service's name
  PlaceOutcome outcome = PlaceOutcome::NotPlacer;
  uint32_t backend = 0; // hash of the backend's id, if Placed
  /// If Held, the second reply comes within this time. If Refused, the call should be
  /// sent again after it.
  Duration wait{};
};

/// A load report and the time since it was received.
struct AgedLoadReport
{
  LoadReport report;
  Duration age{};
};

/// Ends a placement or withdraws a request.
struct PlaceRelease
{
  std::string process;                  // name of the process that asked
  uint64_t id = 0;                      // of the request
  uint32_t service = 0;                 // hash of the service's name
  uint32_t backend = 0;                 // hash of the backend's id; 0: it was not placed
  bool wasUsed = false;                 // the call was sent to the backend
  Duration timeAtBackend{};             // if it was used
  std::optional<AgedLoadReport> report; // the newest one of the backend
};

using PlacementMessage = std::variant<PlaceRequest, PlaceReply, PlaceRelease>;

/// Returns the message as a datagram.
std::string EncodePlacementMessage(const PlacementMessage& aMessage);

/// Tells whether the datagram is a placement message and not a digest.
bool IsPlacementMessage(std::span<const char> aBytes);

/// Parses a datagram. Fails with BadRequest.
Result<PlacementMessage> DecodePlacementMessage(std::span<const char> aBytes);

} // namespace gooseberrypath::entry

#endif // ENTRY_PLACEMENT_MESSAGE_H_
