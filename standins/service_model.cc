#include "standins/service_model.h"

namespace gooseberrypath::standins {

using nlohmann::json;

json ServiceModel::Run(const std::string& aMethod, const std::string& aPath,
                       const std::string& aKey, const std::string& aBody)
{
  const bool deduplicates = options_.deduplicate && !aKey.empty();
  if (deduplicates) {
    const auto found = firstAnswers_.find(aKey);
    if (found != firstAnswers_.end()) {
      return found->second;
    }
  }
  json echo = json::parse(aBody, nullptr, false);
  if (echo.is_discarded()) {
    echo = aBody;
  }
  json answer = { { "ran", ++runs_[aKey] },
                  { "method", aMethod },
                  { "path", aPath },
                  { "key", aKey },
                  { "echo", std::move(echo) } };
  if (deduplicates) {
    firstAnswers_[aKey] = answer;
  }
  return answer;
}

json ServiceModel::Stats() const
{
  return { { "runs", runs_ }, { "requests", requests_ } };
}

} // namespace gooseberrypath::standins
