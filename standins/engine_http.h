// The engine stand-in over HTTP (docs/design.md, section 5.2), with its faults.

#ifndef STANDINS_ENGINE_HTTP_H_
#define STANDINS_ENGINE_HTTP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <kj/async.h>
#include <nlohmann/json.hpp>

#include "standins/engine_model.h"
#include "standins/http_call.h"
#include "standins/signal.h"

namespace gooseberrypath::standins {

/// Serves an EngineModel on the steady clock.
class EngineHttp
{
public:
  EngineHttp(const EngineOptions& aOptions, kj::Timer& aTimer);

  EngineHttp(const EngineHttp&) = delete;
  EngineHttp& operator=(const EngineHttp&) = delete;

  /// Handles one call.
  kj::Promise<void> Handle(HttpCall& aCall);

  /// Switches faults; returns their state.
  nlohmann::json Control(const nlohmann::json& aControl);

private:
  class Answer;

  kj::Promise<void> Drive();
  kj::Promise<void> Route(HttpCall& aCall);
  kj::Promise<void> Chat(HttpCall& aCall);
  kj::Promise<void> SendWhole(Answer& aAnswer);
  kj::Promise<void> SendStream(Answer& aAnswer);
  std::string Render(Answer& aAnswer, const EngineOutput& aOutput, bool& aCut);
  kj::Promise<void> Export(HttpCall& aCall);
  kj::Promise<void> Order(HttpCall& aCall);

  kj::Timer& timer_;
  EngineModel model_;
  std::map<SequenceId, Answer*> answers_;
  Signal wake_; // the next due time may have changed

  bool refuse_ = false;
  Duration delay_{};
  std::optional<uint64_t> breakAfter_; // tokens until a connection is cut
  uint64_t crossEvery_ = 0;
  uint64_t chunks_ = 0;

  kj::Promise<void> driver_; // last, so that it stops first
};

} // namespace gooseberrypath::standins

#endif // STANDINS_ENGINE_HTTP_H_
