// Validates a call against the configuration in force, before a backend is selected.
//
//   Result<Intake> intake = ValidateCall(world, call);

#ifndef ENTRY_CALL_VALIDATION_H_
#define ENTRY_CALL_VALIDATION_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

/// The configuration that applies to a call.
struct ValidatedCall
{
  ConfigurationPtr configuration;
  const Route* route = nullptr;
  const Team* team = nullptr; // null: no team applies
  double quotaCost = 0;       // in the unit of the team's limit
};

/// Finds the route and the team of the call. Fails with NotReady before the first
/// configuration was read, with RouteNotFound or with KeyUnknown. Does not charge the
/// quota.
Result<ValidatedCall> ValidateCall(const World& aWorld, const Call& aCall);

} // namespace gooseberrypath::entry

#endif // ENTRY_CALL_VALIDATION_H_
