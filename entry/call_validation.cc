#include "entry/call_validation.h"

namespace gooseberrypath::entry {

namespace {

/// Returns the cost of the call in the unit of the team's limit.
double QuotaCost(const Team& aTeam, const Call& aCall)
{
  if (!aTeam.countsTokens) {
    return 1;
  }
  if (!aCall.model) {
    return aTeam.defaultTokens;
  }
  return static_cast<double>(aCall.model->promptTokens) + aCall.model->maxOutputTokens;
}

} // namespace

Result<ValidatedCall> ValidateCall(const World& aWorld, const Call& aCall)
{
  if (!aWorld.configuration) {
    return MakeError(ErrorKind::NotReady, "no configuration has been read yet");
  }
  const Configuration& configuration = *aWorld.configuration;
  ValidatedCall validated{ .configuration = aWorld.configuration,
                           .route = aWorld.routes.Find(aCall.host, aCall.target) };
  if (validated.route == nullptr) {
    return MakeError(ErrorKind::RouteNotFound, "no route matches");
  }
  if (!configuration.requiresKeys) {
    return validated;
  }
  const auto found = configuration.teamOfKey.find(aCall.key);
  if (found == configuration.teamOfKey.end()) {
    if (validated.route->isPublic) {
      return validated;
    }
    return MakeError(ErrorKind::KeyUnknown, "the key is missing or unknown");
  }
  validated.team = &configuration.teams[found->second];
  validated.quotaCost = QuotaCost(*validated.team, aCall);
  return validated;
}

} // namespace gooseberrypath::entry
