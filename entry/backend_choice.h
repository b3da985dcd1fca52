// Chooses the backend for a call from the tables of the World.
//
//   std::optional<BackendChoice> choice = ChooseBackend(world, row);

#ifndef ENTRY_BACKEND_CHOICE_H_
#define ENTRY_BACKEND_CHOICE_H_

#include <optional>
#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

struct BackendChoice
{
  std::string id;
  double expectedMs = 0;       // to the first event
  uint32_t uncachedTokens = 0; // of the prompt, that the engine must read
  uint32_t kvTokens = 0;       // memory that the call needs
  uint32_t inFlight = 0;       // of all daemons before this call
  double waitingTokens = 0;    // before this call
};

/// Returns the usable backend of the call's service with the lowest expected cost, or
/// nothing. Backends that failed this call are only taken if there is no other one.
std::optional<BackendChoice> ChooseBackend(World& aWorld, const RequestRow& aRow);

/// Returns the time after which the first backend of the call's service that is only
/// passed over for a while may get calls again, or nothing if there is no such backend.
std::optional<Duration> TimeUntilUsable(const World& aWorld, const RequestRow& aRow);

/// Picks the service of a call among those of its route, by weight and the id of the
/// call.
std::string PickService(const Route& aRoute, std::string_view aRequestId);

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_CHOICE_H_
