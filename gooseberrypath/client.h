// The operators' client: apply, get, watch, delete, status and drain.
//
//   int code = RunClient(args, lookup, SendByHttp, { std::cin, std::cout, std::cerr });
//
// Exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict, 4 not reachable.

#ifndef GOOSEBERRYPATH_CLIENT_H_
#define GOOSEBERRYPATH_CLIENT_H_

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

#include "gooseberrypath/settings.h"
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

struct ClientStreams
{
  std::istream& in;
  std::ostream& out;
  std::ostream& errors;
};

/// Tells whether the client has a command of this name.
bool IsClientCommand(std::string_view aName);

/// Runs a command. The first argument is its name. Returns the exit code.
int RunClient(std::span<const std::string> aArgs, const EnvironmentLookup& aLookup,
              const ClientTransport& aTransport, const ClientStreams& aStreams);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLIENT_H_
