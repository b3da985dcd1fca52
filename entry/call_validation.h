// Checks a call against the configuration in force before a backend is chosen.
//
//   Result<Intake> intake = ValidateCall(world, call);

#ifndef ENTRY_CALL_VALIDATION_H_
#define ENTRY_CALL_VALIDATION_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

/// What the configuration says about a call.
struct ValidatedCall
{
  ConfigurationPtr configuration;
  const Route* route = nullptr;
  const Team* team = nullptr; // null: the route is public
  double quotaCost = 0;       // what the call takes from the team's limit
};

/// Finds the route and the team of the call. Fails with NotReady before the first
/// configuration, RouteNotFound and KeyUnknown. Takes nothing from the quota.
Result<ValidatedCall> ValidateCall(const World& aWorld, const Call& aCall);

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_VALIDATION_H_
