#include "gooseberrypath/settings.h"

#include <map>

#include <catch2/catch.hpp>

using namespace gooseberrypath;
using namespace std::chrono_literals;

namespace {

using Environment = std::map<std::string, std::string>;

Result<Settings> Parse(std::vector<std::string> aArgs,
                       const Environment& aEnvironment = {})
{
  aArgs.insert(aArgs.begin(), { "--daemon", "d1", "--log", "127.0.0.1:9000" });
  return ParseSettings(aArgs, [&](const std::string& aName) {
    const auto found = aEnvironment.find(aName);
    return found == aEnvironment.end() ? std::nullopt : std::optional(found->second);
  });
}

std::string MessageOf(const Result<Settings>& aSettings)
{
  return aSettings ? "no error" : aSettings.error().message;
}

} // namespace

TEST_CASE("Settings have defaults and reach the core", "[settings]")
{
  // Guards against a field that is not carried over to CoreOptions.
  const auto settings = Parse({ "--peers=127.0.0.1:1,[::1]:2", "--seed=7" });
  REQUIRE(settings);
  CHECK(settings->maxBodyBytes == 4'194'304);
  CHECK(settings->peerAdvertise == settings->peerListen);
  const CoreOptions options = ToCoreOptions(*settings, 42);
  CHECK(options.daemon == "d1");
  CHECK(options.incarnation == 42);
  CHECK(options.seedPeers == std::vector<std::string>{ "127.0.0.1:1", "[::1]:2" });
  CHECK(options.seed == 7);
  const CoreOptions defaults;
  CHECK(options.claimTimeout == defaults.claimTimeout);
  CHECK(options.jobLeaseTime == defaults.jobLeaseTime);
  CHECK(options.jobCheckpointInterval == defaults.jobCheckpointInterval);
  CHECK(options.jobWindow == defaults.jobWindow);
  CHECK(options.hostReturn == defaults.hostReturn);
  CHECK(options.maxRequests == defaults.maxRequests);
}

TEST_CASE("A flag wins over the environment", "[settings]")
{
  // Guards against a deployment-wide variable that overrides a flag.
  const Environment environment = { { "GOOSEBERRYPATH_GOSSIP_INTERVAL_MS", "100" },
                                    { "GOOSEBERRYPATH_LOG_LEVEL", "debug" } };
  const auto settings = Parse({ "--gossip-interval-ms=200" }, environment);
  REQUIRE(settings);
  CHECK(settings->gossipInterval == 200ms);
  CHECK(settings->logLevel == LogLevel::Debug);
}

TEST_CASE("A setting outside its range is refused", "[settings]")
{
  // Guards against a daemon that starts with a value that it cannot work with, and
  // against an error that does not tell how to correct it.
  const auto [argument, value, range] =
    GENERATE(table<std::string, std::string, std::string>({
      { "--max-requests", "0", "1 to 1000000 requests" },
      { "--max-requests", "12x", "1 to 1000000 requests" },
      { "--max-requests", "-1", "1 to 1000000 requests" },
      { "--max-requests", "", "1 to 1000000 requests" },
      { "--max-header-bytes", "131073", "1024 to 131072 bytes" },
      { "--listen", "localhost:80", "IP:port" },
      { "--listen", "127.0.0.1:65536", "IP:port" },
      { "--listen", "::1:80", "IP:port" },
      { "--listen", "127.0.0.1:8081", "another address" },
      { "--peers", "127.0.0.1:1,", "comma-separated" },
      { "--zone", "A b", "a-z" },
      { "--log-level", "loud", "debug, info, warning, error" },
      { "--suspicion-ms", "999", "twice --gossip-interval-ms, 1000 ms" },
      { "--claim-timeout-ms", "200", "above --append-retry-ms" },
      { "--job-lease-ms", "9999", "twice --job-checkpoint-ms, 10000 ms" },
      { "--peer-advertise", "0.0.0.0:1", "can connect to" },
    }));
  const std::string message = MessageOf(Parse({ argument + "=" + value }));
  CAPTURE(message);
  CHECK(message.find(argument == "--listen" && range == "another address"
                       ? "--peer-listen"
                       : argument) != std::string::npos);
  CHECK(message.find("\"" + value + "\"") != std::string::npos);
  CHECK(message.find(range) != std::string::npos);
}

TEST_CASE("Unknown, stray and missing settings are refused", "[settings]")
{
  // Guards against a misspelt flag that silently leaves the default in force.
  CHECK(MessageOf(Parse({ "--max-request=5" })).find("max-request") != std::string::npos);
  CHECK(MessageOf(Parse({ "stray" })).find("stray") != std::string::npos);
  const auto nothing = [](const std::string&) { return std::optional<std::string>(); };
  CHECK(MessageOf(ParseSettings({}, nothing)).find("--daemon") != std::string::npos);
  const std::vector<std::string> help = { "--help" };
  CHECK(ParseSettings(help, nothing)->mode == ServeMode::Help);
  CHECK(SettingsHelp().find("GOOSEBERRYPATH_MAX_BODY_BYTES") != std::string::npos);
}
