// The logic of the service stand-in: it runs actions and counts the runs of each key.

#ifndef STANDINS_SERVICE_MODEL_H_
#define STANDINS_SERVICE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace gooseberrypath::standins {

struct ServiceOptions
{
  bool deduplicate = false; // a repeated key gets the first answer and does not run
};

/// A shop backend whose actions only count.
class ServiceModel
{
public:
  explicit ServiceModel(ServiceOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Counts a request, whether or not it runs an action.
  void CountRequest() { ++requests_; }

  /// Runs an action and returns the body of the answer. Requests without a key are
  /// counted together under the empty key and are never deduplicated.
  nlohmann::json Run(const std::string& aMethod, const std::string& aPath,
                     const std::string& aKey, const std::string& aBody);

  /// Returns the body of GET /stats.
  nlohmann::json Stats() const;

private:
  ServiceOptions options_;
  uint64_t requests_ = 0;
  std::map<std::string, uint64_t> runs_;
  std::map<std::string, nlohmann::json> firstAnswers_; // when deduplicating
};

} // namespace gooseberrypath::standins

#endif // STANDINS_SERVICE_MODEL_H_
