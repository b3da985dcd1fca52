#include "gooseberrypath/client_command.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <istream>
#include <iterator>
#include <string>

namespace gooseberrypath {

namespace {

const std::array kCommands = {
  ClientCommand{ "apply", "", 0, 0, { "file", "dry-run" } },
  ClientCommand{ "get", "[KIND [NAME]]", 0, 2, {} },
  ClientCommand{ "watch", "[KIND [NAME]]", 0, 2, { "count", "after" } },
  ClientCommand{ "delete", "KIND NAME", 2, 2, { "base" } },
  ClientCommand{ "status", "", 0, 0, {} },
  ClientCommand{ "drain", "", 0, 0, { "within-ms" } },
};

bool Takes(const ClientCommand& aCommand, std::string_view aOption)
{
  return std::ranges::find(aCommand.options, aOption) != aCommand.options.end();
}

} // namespace

cxxopts::Options MakeClientOptions(const ClientCommand& aCommand)
{
  cxxopts::Options options("gooseberrypath " + std::string(aCommand.name));
  auto add = options.add_options();
  add("server",
      "operators' addresses, comma-separated IP:port, tried in order (default: "
      "GOOSEBERRYPATH_SERVER or 127.0.0.1:8082)",
      cxxopts::value<std::string>());
  add("o,output", "json or table", cxxopts::value<std::string>()->default_value("table"));
  add("timeout-ms", "time to connect, and for the answer (1 to 3600000 ms)",
      cxxopts::value<uint64_t>()->default_value("10000"));
  if (Takes(aCommand, "file")) {
    add("f,file", "file with one resource or an array of them; -: standard input",
        cxxopts::value<std::string>());
  }
  if (Takes(aCommand, "dry-run")) {
    add("dry-run", "check without writing");
  }
  if (Takes(aCommand, "base")) {
    add("base", "version that the change is based on", cxxopts::value<uint64_t>());
  }
  if (Takes(aCommand, "count")) {
    add("count", "end after this many changes", cxxopts::value<uint64_t>());
  }
  if (Takes(aCommand, "after")) {
    add("after", "print changes after this offset; default: the current one",
        cxxopts::value<uint64_t>());
  }
  if (Takes(aCommand, "within-ms")) {
    add("within-ms",
        "time after which streams that still run are at a peer (0 to 86400000 ms); "
        "default: they run to their end",
        cxxopts::value<uint64_t>());
  }
  add("help", "print this text and exit");
  options.add_options("positional")("args", "",
                                    cxxopts::value<std::vector<std::string>>());
  options.parse_positional("args");
  options.positional_help(std::string(aCommand.positional));
  return options;
}

const ClientCommand* FindClientCommand(std::string_view aName)
{
  const auto found = std::ranges::find(kCommands, aName, &ClientCommand::name);
  return found == kCommands.end() ? nullptr : &*found;
}

void CheckClientArguments(const ClientCommand& aCommand,
                          const cxxopts::ParseResult& aParsed)
{
  const size_t count =
    aParsed.count("args") > 0 ? aParsed["args"].as<std::vector<std::string>>().size() : 0;
  if (count < aCommand.leastArgs || count > aCommand.mostArgs) {
    throw UsageError("usage: gooseberrypath " + std::string(aCommand.name) +
                     " [OPTION...] " + std::string(aCommand.positional));
  }
}

nlohmann::json ReadResources(const cxxopts::ParseResult& aParsed, std::istream& aIn)
{
  using nlohmann::json;
  if (aParsed.count("file") == 0) {
    throw UsageError("apply: -f FILE is required");
  }
  const auto name = aParsed["file"].as<std::string>();
  std::ifstream file;
  if (name != "-") {
    file.open(name);
    if (!file) {
      throw UsageError("file \"" + name + "\" cannot be read");
    }
  }
  std::istream& in = name == "-" ? aIn : file;
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  json resources = json::parse(text, nullptr, false);
  if (resources.is_object()) {
    resources = json::array({ resources });
  }
  const bool isValid =
    resources.is_array() &&
    std::ranges::all_of(resources, [](const json& aOne) { return aOne.is_object(); });
  if (!isValid) {
    throw UsageError("file \"" + name +
                     "\" is neither a JSON object nor an array of objects");
  }
  return resources;
}

} // namespace gooseberrypath
