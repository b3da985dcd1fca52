// The log stand-in over HTTP (docs/design.md, section 5.3), with its faults.

#ifndef STANDINS_LOG_HTTP_H_
#define STANDINS_LOG_HTTP_H_

#include <cstdint>
#include <string>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"
#include "standins/http_call.h"
#include "standins/log_model.h"
#include "standins/signal.h"

namespace gooseberrypath::standins {

/// Serves a LogModel. A slow append takes effect when it was read and is answered late.
class LogHttp
{
public:
  LogHttp(LogOptions aOptions, kj::Timer& aTimer)
    : timer_(aTimer)
    , model_(aOptions)
  {
  }

  /// Handles one call.
  kj::Promise<void> Handle(HttpCall& aCall);

  /// Switches faults; returns their state.
  nlohmann::json Control(const nlohmann::json& aControl);

private:
  kj::Promise<void> Append(HttpCall& aCall, const std::string& aStream);
  kj::Promise<void> Read(HttpCall& aCall, const std::string& aStream, TimePoint aUntil);

  /// Returns a promise that ends after the time that a slow log takes.
  kj::Promise<void> Slowness();

  kj::Timer& timer_;
  LogModel model_;
  Signal changed_; // records were appended or a fault was switched
  bool outage_ = false;
  bool cut_ = false;
  Duration slow_{};
  uint64_t loseAppendAnswers_ = 0;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_LOG_HTTP_H_
