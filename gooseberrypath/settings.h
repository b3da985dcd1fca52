// Settings of `gooseberrypath serve`: flags, environment variables and their checks.
//
//   Result<Settings> settings = ParseSettings(args, lookup);
//   CoreOptions options = ToCoreOptions(*settings, incarnation);

#ifndef GOOSEBERRYPATH_SETTINGS_H_
#define GOOSEBERRYPATH_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/errors.h"
#include "gooseberrypath/types.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// What `serve` was asked to do.
enum class ServeMode : uint8_t
{
  Run,
  Check,   // --check: check the settings and exit
  Help,    // --help: the other settings were not checked
  Version, // --version: the other settings were not checked
};

/// Checked settings. Defaults and ranges stand in the table in settings.cc.
struct Settings
{
  ServeMode mode = ServeMode::Run;
  std::string daemon;
  std::string zone;
  std::string region;
  std::string listen; // callers, "IP:port", as all addresses
  std::string peerListen;
  std::string peerAdvertise; // the address in gossip; default: peerListen
  std::string operatorListen;
  std::vector<std::string> peers;
  std::string log;
  std::string platform; // empty: no host list and no notices
  uint64_t maxBodyBytes = 0;
  uint64_t maxHeaderBytes = 0;
  Duration requestReadTimeout{};
  uint64_t maxRequests = 0;
  uint64_t maxConnections = 0;
  uint64_t memoryMb = 0;       // MiB of the host; 0: unknown
  uint64_t maxDescriptors = 0; // 0: the process's limit
  Duration gossipInterval{};
  Duration suspicionTime{};
  Duration logDownAfter{};
  Duration claimTimeout{};
  Duration writeTimeout{};
  Duration appendRetry{};
  Duration jobLeaseTime{};
  Duration jobCheckpointInterval{};
  Duration jobWindow{};
  Duration refusedPause{};
  Duration drainDelay{};
  Duration hostReturn{};
  std::string host; // of this daemon, as the platform names it
  Duration reattachTime{};
  uint64_t maxKeptStreams = 0;
  uint64_t maxKeptStreamBytes = 0;
  Duration loadInterval{};
  Duration hostListInterval{};
  LogLevel logLevel = LogLevel::Info;
  std::string logFile;  // empty: standard error
  std::string spanFile; // empty: spans are not written
  uint64_t seed = 0;    // 0: random
};

/// Returns the value of an environment variable, or nothing when it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string&)>;

/// Looks up a variable of the process's environment.
std::optional<std::string> LookUpEnvironment(const std::string& aName);

/// Parses the arguments after `serve`. A flag wins over its environment variable. The
/// error (BadRequest) names the setting, the value and the allowed range.
Result<Settings> ParseSettings(std::span<const std::string> aArgs,
                               const EnvironmentLookup& aLookup);

/// Returns the text of `serve --help`, with units, defaults and ranges.
std::string SettingsHelp();

/// Returns the name of the environment variable of a flag without its dashes.
std::string EnvironmentName(std::string_view aFlag);

/// Returns the options of the core. The incarnation is the start time in ms since 1970. A
/// seed of 0 is replaced by a random one.
CoreOptions ToCoreOptions(const Settings& aSettings, uint64_t aIncarnation);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SETTINGS_H_
