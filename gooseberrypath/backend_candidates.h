// The backends that a request may go to, in order of preference.
//
//   const Candidates candidates = CandidatesFor(world, row);
//   size_t index = chooser.Choose(candidates.backends, now, random);

#ifndef GOOSEBERRYPATH_BACKEND_CANDIDATES_H_
#define GOOSEBERRYPATH_BACKEND_CANDIDATES_H_

#include <string>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// This many hosts of a zone with a sign of leaving within kZoneReclaimTime tell that the
/// whole zone is being reclaimed: the platform takes a zone back at once, its notices
/// arrive one by one, and two unrelated departures in that time are rare (9 host failures
/// a day over all zones).
inline constexpr size_t kZoneReclaimHosts = 2;
inline constexpr Duration kZoneReclaimTime = std::chrono::seconds(30);

/// A new request that may generate this many tokens, or any number, is a long stream. At
/// 29 ms a token it runs for 7 s, longer than a zone's notices are apart.
inline constexpr uint64_t kLongStreamTokens = 256;

/// The usable backends of the first preference that has any.
struct Candidates
{
  std::vector<const BackendRow*> backends;
  std::string reason; // why others were left out; empty: none were
};

/// Returns the usable backends of the request's service. Backends that have not failed
/// the request come first. Among these, a moved or long stream goes to a zone that is not
/// being reclaimed, because it would soon be moved again.
Candidates CandidatesFor(const World& aWorld, const RequestRow& aRow);

/// Tells whether a backend of the service may become usable soon: one that only refused a
/// connection is tried again after its pause.
bool MayBackendReturnSoon(const World& aWorld, const RequestRow& aRow);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_BACKEND_CANDIDATES_H_
