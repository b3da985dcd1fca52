#include "entry/call_validation.h"

namespace gooseberrypath::entry {

namespace {

double QuotaAmount(const Team& aTeam, const Call& aCall)
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
  ValidatedCall intake{ .configuration = aWorld.configuration,
                        .route = aWorld.routes.Find(aCall.host, aCall.target) };
  if (intake.route == nullptr) {
    return MakeError(ErrorKind::RouteNotFound, "no route matches");
  }
  if (!configuration.requiresKeys) {
    return intake;
  }
  const auto found = configuration.teamOfKey.find(aCall.key);
  if (found == configuration.teamOfKey.end()) {
    if (intake.route->isPublic) {
      return intake;
    }
    return MakeError(ErrorKind::KeyUnknown, "the key is missing or unknown");
  }
  intake.team = &configuration.teams[found->second];
  intake.quotaCost = QuotaAmount(*intake.team, aCall);
  return intake;
}

} // namespace gooseberrypath::entry
