// Sends one request of the operators' client to one daemon.
//
//   ClientAnswer answer = SendByHttp({ .server = "127.0.0.1:8082",
//                                      .target = "/v1/status",
//                                      .timeout = std::chrono::seconds(10) });

#ifndef GOOSEBERRYPATH_CLIENT_TRANSPORT_H_
#define GOOSEBERRYPATH_CLIENT_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

struct ClientRequest
{
  std::string server; // "IP:port"
  bool isPost = false;
  std::string target; // path and query
  std::string body{}; // JSON of a POST
  Duration timeout{}; // for connecting, and again for the answer
};

struct ClientAnswer
{
  enum class Outcome : uint8_t
  {
    Answered,
    NotSent, // no connection: the server did not see the request
    Unknown, // no answer: the server may have carried out the request
  };
  Outcome outcome = Outcome::NotSent;
  int status = 0;
  std::string body{};
  std::string reason{}; // when not answered
};

/// Sends one request to one server.
using ClientTransport = std::function<ClientAnswer(const ClientRequest&)>;

/// Sends the request by kj-http on a new connection and waits for the whole answer. The
/// calling thread must have no kj event loop.
ClientAnswer SendByHttp(const ClientRequest& aRequest);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLIENT_TRANSPORT_H_
