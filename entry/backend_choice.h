// Selects the backend for a call by its expected cost, from the load, health and prompt
// cache contents that this daemon knows of.
//
//   std::optional<BackendChoice> choice = ChooseBackend(world, row);

#ifndef ENTRY_BACKEND_CHOICE_H_
#define ENTRY_BACKEND_CHOICE_H_

#include <optional>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

// With up to this many daemons, the load reported by peers is recent enough to compare
// all backends. With more, all daemons would pick the same backend until the next digests
// arrive, so each daemon compares a few random ones and the prompt's affinity engine.
constexpr size_t kMaxDaemonsForFullScan = 16;

struct BackendChoice
{
  std::string id;
  double expectedMs = 0;       // until the first event of the response
  uint32_t uncachedTokens = 0; // prompt tokens that the engine has to compute
  uint32_t kvTokens = 0;       // KV cache memory that the call needs
  uint32_t inFlight = 0;       // calls of all daemons, without this one
  double waitingTokens = 0;    // prompt tokens queued ahead of this call
  bool avoidsLimit = false;    // another backend was passed over because of its limit
};

/// Returns the usable backend of the call's service with the lowest expected cost, or
/// nothing if no backend is usable. A backend that already failed this call is only
/// chosen if there is no other one, and one that is at its limit is not chosen.
std::optional<BackendChoice> ChooseBackend(World& aWorld, const RequestRow& aRow);

/// Returns the choice of a backend that was made by the placer of a service.
BackendChoice PlacedChoice(const World& aWorld, const RequestRow& aRow,
                           const BackendRow& aBackend);

/// Returns the backends that the call could be sent to now if they were not at their
/// limits, with the limits, as text; empty if there is none.
std::string DescribeLimits(const World& aWorld, const RequestRow& aRow);

/// Returns the time until a backend of the call's service may receive calls: zero if one
/// can now, else the shortest remaining back-off or time at its limit. Returns nothing if
/// all of them are leaving or removed.
std::optional<Duration> TimeUntilUsable(const World& aWorld, const RequestRow& aRow);

/// Picks one of the route's services in proportion to their weights. The same request id
/// always gets the same service of a route.
std::string PickService(const Route& aRoute, std::string_view aRequestId);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_CHOICE_H_
