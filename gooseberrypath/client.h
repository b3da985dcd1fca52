// The operators' client: apply, get, watch, delete, status and drain.
//
//   int code = RunClient(args, lookup, SendByHttp, { std::cin, std::cout, std::cerr });
//
// Exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict, 4 not reachable.

#ifndef GOOSEBERRYPATH_CLIENT_H_
#define GOOSEBERRYPATH_CLIENT_H_

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

#include "gooseberrypath/client_transport.h"
#include "gooseberrypath/settings.h"

namespace gooseberrypath {

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
