// Main function of the program `gooseberrypath-entry`. The libraries of the product's own
// interface are not linked: log4cplus starts threads when it is loaded and joins them at
// exit, which costs memory and delays the exit.

#include <exception>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "entry/serve_entry.h"
#include "platform/settings_file.h"

namespace {

using namespace gooseberrypath;

constexpr const char* kVersion = "gooseberrypath-entry 0.1.0\n";

int Run(int aArgc, char** aArgv)
{
  cxxopts::Options options("gooseberrypath-entry",
                           "Runs an entry daemon on the platform.");
  options.positional_help("[SETTINGS]");
  options.add_options()("help", "print this text")("version", "print the version")(
    "check", "check the settings file and exit")(
    "settings", "path of the platform's settings file",
    cxxopts::value<std::string>()->default_value(platform::SettingsPath()));
  options.parse_positional({ "settings" });
  const auto parsed = options.parse(aArgc, aArgv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << kVersion;
    return 0;
  }
  const auto path = parsed["settings"].as<std::string>();
  return parsed.count("check") > 0 ? entry::CheckEntrySettings(path)
                                   : entry::RunEntry(path);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    return Run(aArgc, aArgv);
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << problem.what() << '\n';
    return 2;
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << '\n';
    return 1;
  }
}
