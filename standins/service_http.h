// The service stand-in over HTTP, with its faults.

#ifndef STANDINS_SERVICE_HTTP_H_
#define STANDINS_SERVICE_HTTP_H_

#include <cstdint>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"
#include "standins/http_call.h"
#include "standins/service_model.h"

namespace gooseberrypath::standins {

/// Serves a ServiceModel. An action runs when its request was read; delays and freezes
/// come between the run and the answer, so that a caller that leaves does not undo the
/// run.
class ServiceHttp
{
public:
  ServiceHttp(ServiceOptions aOptions, Duration aDelay, kj::Timer& aTimer)
    : timer_(aTimer)
    , model_(aOptions)
    , delay_(aDelay)
  {
  }

  /// Handles one call.
  kj::Promise<void> Handle(HttpCall& aCall);

  /// Switches faults; returns their state.
  nlohmann::json Control(const nlohmann::json& aControl);

private:
  kj::Promise<void> Answer(HttpCall& aCall, const nlohmann::json& aAnswer);

  kj::Timer& timer_;
  ServiceModel model_;
  Duration delay_; // of each answer
  TimePoint frozenUntil_{};
  bool refuse_ = false;
  bool breakBeforeRun_ = false;
  uint64_t breakAfter_ = 0; // so many answers are replaced by a cut connection
};

} // namespace gooseberrypath::standins

#endif // STANDINS_SERVICE_HTTP_H_
