// One HTTP request to a stand-in and the means to answer it.
//
//   if (call.Is(kj::HttpMethod::GET, "health")) {
//     return call.SendJson(200, nlohmann::json::object());
//   }

#ifndef STANDINS_HTTP_CALL_H_
#define STANDINS_HTTP_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <kj/compat/http.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"

namespace gooseberrypath::standins {

/// Decides for the next response head whether it carries "Connection: close".
class CloseDecision final : public kj::HttpServerCallbacks
{
public:
  bool shouldClose() override // NOLINT(readability-identifier-naming): kj's name
  {
    return closeNext;
  }

  bool closeNext = false;
};

/// The parts of a call's surroundings that outlive it.
struct CallContext
{
  kj::HttpHeaderTable& table;
  kj::Timer& timer;
  CloseDecision& close;
  int fd = -1; // of the connection
};

/// A request whose body was read. It lives until its handler's promise ends.
class HttpCall
{
public:
  HttpCall(const CallContext& aContext, kj::HttpMethod aMethod, kj::StringPtr aTarget,
           const kj::HttpHeaders& aHeaders, kj::HttpService::Response& aResponse);

  /// Sets the body; called once before the handler.
  void SetBody(kj::StringPtr aBody) { body_.assign(aBody.begin(), aBody.size()); }

  /// Tells whether method and path (without the leading "/") match.
  bool Is(kj::HttpMethod aMethod, std::string_view aPath) const;

  kj::HttpMethod Method() const { return method_; }
  const std::string& Target() const { return target_; }
  const std::string& Body() const { return body_; }
  const std::vector<std::string>& Path() const { return path_; }
  kj::Timer& Timer() const { return context_.timer; }

  /// Returns the value of a request header, or an empty view.
  std::string_view Header(std::string_view aName) const;

  /// Returns a number from the query, or the default if it is missing or malformed.
  uint64_t QueryNumber(std::string_view aName, uint64_t aDefault) const;

  /// Returns the body as JSON; a discarded value if it does not parse.
  nlohmann::json JsonBody() const;

  /// Sends a whole answer.
  kj::Promise<void> SendJson(int aStatus, const nlohmann::json& aBody,
                             const Headers& aHeaders = {}, bool aClose = false);

  /// Sends {"error":{"message"}}.
  kj::Promise<void> SendError(int aStatus, const std::string& aMessage,
                              bool aClose = false);

  /// Sends the head of an event stream and returns its body.
  kj::Own<kj::AsyncOutputStream> SendStreamHead();

  /// Closes the connection at once, without an answer or in its middle, and fails, which
  /// ends the handler.
  kj::Promise<void> Cut();

  /// Fails when the client has closed its side of the connection. kj notices only a
  /// reset, which does not come before something is written.
  kj::Promise<void> WatchClient() const;

private:
  CallContext context_;
  kj::HttpMethod method_;
  std::string target_;
  std::vector<std::string> path_;
  std::vector<std::pair<std::string, std::string>> query_;
  Headers headers_;
  std::string body_;
  kj::HttpService::Response& response_;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_HTTP_CALL_H_
