// Serves a stand-in over HTTP.
//
//   RunStandin("127.0.0.1:0", [&](kj::Timer& aTimer) {
//     return kj::heap<EngineHttp>(options, aTimer);
//   });

#ifndef STANDINS_HTTP_SERVICE_H_
#define STANDINS_HTTP_SERVICE_H_

#include <concepts>
#include <cstdlib>
#include <iostream>
#include <string>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <nlohmann/json.hpp>

#include "standins/http_call.h"

namespace gooseberrypath::standins {

/// A stand-in: it handles calls, and Control() applies an object of POST /control and
/// returns the state. Control() may throw nlohmann::json::exception.
template<typename S>
concept Standin = requires(S aStandin, HttpCall& aCall, const nlohmann::json& aControl)
{
  {
    aStandin.Handle(aCall)
    } -> std::same_as<kj::Promise<void>>;
  {
    aStandin.Control(aControl)
    } -> std::same_as<nlohmann::json>;
};

/// Handles the requests of one connection: reads the body, applies POST /control and
/// passes all other calls to the stand-in.
template<Standin S>
class StandinService final : public kj::HttpService
{
public:
  StandinService(S& aStandin, CallContext aContext)
    : standin_(aStandin)
    , context_(aContext)
  {
  }

  kj::Promise<void> request(kj::HttpMethod aMethod, kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aRequestBody,
                            kj::HttpService::Response& aResponse) override
  {
    auto call = kj::heap<HttpCall>(context_, aMethod, aUrl, aHeaders, aResponse);
    HttpCall& reference = *call;
    return aRequestBody.readAllText(kMaxBody)
      .then([this, &reference](kj::String aBody) {
        reference.SetBody(aBody);
        return reference.Is(kj::HttpMethod::POST, "control") ? Control(reference)
                                                             : standin_.Handle(reference);
      })
      .attach(kj::mv(call));
  }

private:
  static constexpr uint64_t kMaxBody = 64ULL << 20U;

  kj::Promise<void> Control(HttpCall& aCall)
  {
    const nlohmann::json control = aCall.JsonBody();
    if (!control.is_object()) {
      return aCall.SendError(400, "the body is not a JSON object");
    }
    try {
      if (control.value("die", false)) {
        std::_Exit(1);
      }
      return aCall.SendJson(200, standin_.Control(control));
    } catch (const nlohmann::json::exception& error) {
      return aCall.SendError(400, error.what());
    }
  }

  S& standin_;
  CallContext context_;
};

/// Serves a stand-in to the connections of a receiver. All arguments outlive it.
template<Standin S>
class StandinServer final : private kj::TaskSet::ErrorHandler
{
public:
  StandinServer(S& aStandin, kj::Timer& aTimer, kj::ConnectionReceiver& aReceiver)
    : receiver_(aReceiver)
    , server_(
        aTimer, table_,
        [this, &aStandin,
         &aTimer](kj::AsyncIoStream& aStream) -> kj::Own<kj::HttpService> {
          return kj::heap<StandinService<S>>(
            aStandin, CallContext{ .table = table_,
                                   .timer = aTimer,
                                   .close = close_,
                                   .fd = aStream.getFd().orDefault(-1) });
        },
        MakeSettings())
    , tasks_(*this)
  {
  }

  /// Accepts connections until that fails.
  kj::Promise<void> Run()
  {
    return receiver_.accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
      tasks_.add(server_.listenHttp(kj::mv(aStream)));
      return Run();
    });
  }

private:
  kj::HttpServerSettings MakeSettings()
  {
    kj::HttpServerSettings settings;
    // Clients keep idle connections; closing one early would look like a fault.
    settings.pipelineTimeout = 1 * kj::HOURS;
    settings.callbacks = close_;
    return settings;
  }

  /// Clients that leave and cut connections are expected here, so they are not reported.
  void taskFailed(
    kj::Exception&& aError) override // NOLINT(readability-identifier-naming)
  {
    if (aError.getType() != kj::Exception::Type::DISCONNECTED) {
      std::cerr << "connection failed: " << aError.getDescription().cStr() << '\n';
    }
  }

  kj::ConnectionReceiver& receiver_;
  kj::HttpHeaderTable table_;
  CloseDecision close_;
  kj::HttpServer server_;
  kj::TaskSet tasks_;
};

/// Listens on "IP:PORT" and serves the stand-in that aMake(kj::Timer&) returns. Does not
/// return.
template<typename Make>
void RunStandin(const std::string& aListen, Make aMake)
{
  auto io = kj::setupAsyncIo();
  kj::Timer& timer = io.provider->getTimer();
  auto standin = aMake(timer);
  auto address =
    io.provider->getNetwork().parseAddress(aListen.c_str()).wait(io.waitScope);
  auto receiver = address->listen();
  StandinServer server(*standin, timer, *receiver);
  const std::string ip = aListen.substr(0, aListen.rfind(':'));
  std::cout << "listening on " << ip << ':' << receiver->getPort() << std::endl;
  server.Run().wait(io.waitScope);
}

} // namespace gooseberrypath::standins

#endif // STANDINS_HTTP_SERVICE_H_
