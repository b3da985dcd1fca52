// The program `gooseberrypath`: dispatch of its subcommands.

#include <exception>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/client.h"
#include "gooseberrypath/serve.h"
#include "gooseberrypath/settings.h"
#include "gooseberrypath/tracing.h"

namespace {

using namespace gooseberrypath;

constexpr std::string_view kVersion = "gooseberrypath 0.1.0\n";

constexpr std::string_view kUsage =
  R"(usage: gooseberrypath COMMAND [OPTION...]

  serve                         run a daemon with the product's own interface
  apply -f FILE|-               create or replace resources
  get [KIND [NAME]]             print resources
  watch [KIND [NAME]]           print changes of resources
  delete KIND NAME              delete a resource
  status                        print the state of the daemons
  drain                         start a planned stop of one daemon
  trace FILE... REQUEST         print the spans of a request as a tree

Each command has --help.
)";

int Serve(std::span<const std::string> aArgs)
{
  const auto settings = ParseSettings(aArgs, LookUpEnvironment);
  if (!settings) {
    std::cerr << settings.error().message << '\n';
    return 2;
  }
  switch (settings->mode) {
    case ServeMode::Help:
      std::cout << SettingsHelp() << '\n';
      return 0;
    case ServeMode::Version:
      std::cout << kVersion;
      return 0;
    case ServeMode::Check:
      std::cout << "the settings are valid\n";
      return 0;
    case ServeMode::Run:
      break;
  }
  return RunServe(*settings);
}

int Run(std::span<const std::string> aArgs)
{
  if (aArgs.empty()) {
    std::cerr << kUsage;
    return 2;
  }
  const std::string& command = aArgs.front();
  if (command == "--help") {
    std::cout << kUsage;
    return 0;
  }
  if (command == "--version") {
    std::cout << kVersion;
    return 0;
  }
  if (command == "serve") {
    return Serve(aArgs.subspan(1));
  }
  if (command == "trace") {
    return RunTrace(aArgs.subspan(1), std::cout, std::cerr);
  }
  if (IsClientCommand(command)) {
    return RunClient(aArgs, LookUpEnvironment, SendByHttp,
                     { std::cin, std::cout, std::cerr });
  }
  std::cerr << "command \"" << command << "\" is unknown\n" << kUsage;
  return 2;
}

} // namespace

int main(int aCount, char** aValues)
{
  try {
    return Run(std::vector<std::string>(aValues + 1, aValues + aCount));
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << '\n';
    return 1;
  }
}
