// The platform stand-in over HTTP (docs/design.md, section 5.4), with its faults.

#ifndef STANDINS_PLATFORM_HTTP_H_
#define STANDINS_PLATFORM_HTTP_H_

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"
#include "standins/http_call.h"
#include "standins/platform_model.h"
#include "standins/signal.h"

namespace gooseberrypath::standins {

/// Serves a PlatformModel on the steady clock.
class PlatformHttp
{
public:
  PlatformHttp(PlatformOptions aOptions, kj::Timer& aTimer)
    : timer_(aTimer)
    , model_(aOptions)
  {
  }

  /// Handles one call.
  kj::Promise<void> Handle(HttpCall& aCall);

  /// Changes hosts and notices and switches faults; returns the state.
  nlohmann::json Control(const nlohmann::json& aControl);

private:
  kj::Promise<void> Notices(HttpCall& aCall, TimePoint aUntil);
  kj::Promise<void> Start(HttpCall& aCall);

  kj::Timer& timer_;
  PlatformModel model_;
  Signal changed_; // a notice was added or a fault was switched
  bool outage_ = false;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_PLATFORM_HTTP_H_
