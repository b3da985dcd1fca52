// gooseberrypath-standins: test-only stand-ins for the external systems.
//
//   gooseberrypath-standins engine --listen 127.0.0.1:0 --decode-us 5000

#include <csignal>
#include <iostream>
#include <string>
#include <string_view>

#include <cxxopts.hpp>

#include "standins/engine_http.h"
#include "standins/http_service.h"
#include "standins/log_http.h"
#include "standins/platform_http.h"
#include "standins/service_http.h"

namespace {

using namespace gooseberrypath::standins;
using gooseberrypath::Duration;

constexpr int kUsageError = 2;

Duration Milliseconds(const cxxopts::ParseResult& aFlags, const std::string& aName)
{
  return std::chrono::milliseconds(aFlags[aName].as<uint32_t>());
}

Duration Microseconds(const cxxopts::ParseResult& aFlags, const std::string& aName)
{
  return Duration(aFlags[aName].as<uint32_t>());
}

/// Adds the flags that all subcommands have.
cxxopts::Options MakeOptions(const std::string& aName)
{
  cxxopts::Options options("gooseberrypath-standins " + aName);
  options.add_options()("listen", "IP:PORT; port 0 picks a free port",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  return options;
}

void RunEngine(int aCount, char** aArguments)
{
  auto options = MakeOptions("engine");
  options.add_options()("max-running", "running sequences",
                        cxxopts::value<size_t>()->default_value("16"))(
    "prefill-us-per-token", "µs per prompt token that is not cached",
    cxxopts::value<uint32_t>()->default_value("50"))(
    "decode-us", "µs between tokens", cxxopts::value<uint32_t>()->default_value("10000"))(
    "cache-tokens", "memory of the prefix cache in tokens",
    cxxopts::value<size_t>()->default_value("200000"))(
    "load-lag-ms", "age of /load in ms", cxxopts::value<uint32_t>()->default_value("0"))(
    "event-lag-ms", "delay of /cache_events in ms",
    cxxopts::value<uint32_t>()->default_value("0"))(
    "event-drop-every", "every Nth cache event is lost; 0: none",
    cxxopts::value<uint64_t>()->default_value("0"))(
    "check-fencing", "refuse orders with a stale fencing token");
  const auto flags = options.parse(aCount, aArguments);
  const EngineOptions engine{ .maxRunning = flags["max-running"].as<size_t>(),
                              .prefillPerToken =
                                Microseconds(flags, "prefill-us-per-token"),
                              .decodeInterval = Microseconds(flags, "decode-us"),
                              .cacheTokens = flags["cache-tokens"].as<size_t>(),
                              .loadLag = Milliseconds(flags, "load-lag-ms"),
                              .eventLag = Milliseconds(flags, "event-lag-ms"),
                              .eventDropEvery = flags["event-drop-every"].as<uint64_t>(),
                              .checkFencing = flags.count("check-fencing") > 0 };
  RunStandin(flags["listen"].as<std::string>(),
             [&](kj::Timer& aTimer) { return kj::heap<EngineHttp>(engine, aTimer); });
}

void RunService(int aCount, char** aArguments)
{
  auto options = MakeOptions("service");
  options.add_options()("deduplicate", "answer a repeated key without running it")(
    "delay-ms", "ms between the run and the answer",
    cxxopts::value<uint32_t>()->default_value("0"));
  const auto flags = options.parse(aCount, aArguments);
  const ServiceOptions service{ .deduplicate = flags.count("deduplicate") > 0 };
  RunStandin(flags["listen"].as<std::string>(), [&](kj::Timer& aTimer) {
    return kj::heap<ServiceHttp>(service, Milliseconds(flags, "delay-ms"), aTimer);
  });
}

void RunLog(int aCount, char** aArguments)
{
  auto options = MakeOptions("log");
  options.add_options()("retain-records", "records kept per stream",
                        cxxopts::value<size_t>()->default_value("1000000"))(
    "retain-seconds", "age in s up to which records are kept",
    cxxopts::value<uint32_t>()->default_value("86400"))(
    "appends-per-second", "limit over all streams",
    cxxopts::value<size_t>()->default_value("300"));
  const auto flags = options.parse(aCount, aArguments);
  const LogOptions log{ .retainRecords = flags["retain-records"].as<size_t>(),
                        .retainSeconds = flags["retain-seconds"].as<uint32_t>(),
                        .appendsPerSecond = flags["appends-per-second"].as<size_t>() };
  RunStandin(flags["listen"].as<std::string>(),
             [&](kj::Timer& aTimer) { return kj::heap<LogHttp>(log, aTimer); });
}

void RunPlatform(int aCount, char** aArguments)
{
  auto options = MakeOptions("platform");
  options.add_options()("lag-ms", "delay of the host list in ms",
                        cxxopts::value<uint32_t>()->default_value("0"))(
    "max-hosts", "a start above this is refused; 0: no limit",
    cxxopts::value<size_t>()->default_value("0"));
  const auto flags = options.parse(aCount, aArguments);
  const PlatformOptions platform{ .lag = Milliseconds(flags, "lag-ms"),
                                  .maxHosts = flags["max-hosts"].as<size_t>() };
  RunStandin(flags["listen"].as<std::string>(),
             [&](kj::Timer& aTimer) { return kj::heap<PlatformHttp>(platform, aTimer); });
}

} // namespace

int main(int aCount, char** aArguments)
{
  // A client that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view command = aCount > 1 ? aArguments[1] : "";
  const auto run = command == "engine"     ? RunEngine
                   : command == "service"  ? RunService
                   : command == "log"      ? RunLog
                   : command == "platform" ? RunPlatform
                                           : nullptr;
  if (run == nullptr) {
    std::cerr << "usage: gooseberrypath-standins engine|service|log|platform [FLAG...]\n";
    return kUsageError;
  }
  try {
    run(aCount - 1, aArguments + 1);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kUsageError;
  } catch (const kj::Exception& error) {
    std::cerr << "cannot listen: " << error.getDescription().cStr() << '\n';
    return 1;
  }
  return 0;
}
