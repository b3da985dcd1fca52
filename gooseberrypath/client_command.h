// The commands of the operators' client and their options.
//
//   const ClientCommand* command = FindClientCommand("apply");
//   cxxopts::Options options = MakeClientOptions(*command);
//   const auto parsed = options.parse(argc, argv);
//   CheckClientArguments(*command, parsed);

#ifndef GOOSEBERRYPATH_CLIENT_COMMAND_H_
#define GOOSEBERRYPATH_CLIENT_COMMAND_H_

#include <cstddef>
#include <iosfwd>
#include <stdexcept>
#include <string_view>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

/// One command with its positional arguments and the options that it takes beside those
/// of all commands.
struct ClientCommand
{
  std::string_view name;
  std::string_view positional;
  size_t leastArgs;
  size_t mostArgs;
  std::vector<std::string_view> options;
};

/// Thrown for wrong usage, with a message for people.
struct UsageError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// Returns the command of this name, or null.
const ClientCommand* FindClientCommand(std::string_view aName);

/// Returns the options of a command; others are refused by the parser.
cxxopts::Options MakeClientOptions(const ClientCommand& aCommand);

/// Refuses a number of arguments that the command does not take, by a UsageError.
void CheckClientArguments(const ClientCommand& aCommand,
                          const cxxopts::ParseResult& aParsed);

/// Reads the array of resources of `apply` from the file of -f, or from aIn for "-". A
/// single resource becomes an array. Throws UsageError when it is not readable.
nlohmann::json ReadResources(const cxxopts::ParseResult& aParsed, std::istream& aIn);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLIENT_COMMAND_H_
