#include "gooseberrypath/client.h"

#include "gooseberrypath/address.h"
#include "gooseberrypath/client_command.h"
#include "gooseberrypath/client_text.h"

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <ostream>
#include <sstream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Outcome = ClientAnswer::Outcome;

enum ExitCode : int
{
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kNotReachable = 4,
};

/// The longest wait of one read of `watch`.
constexpr milliseconds kWatchWait(20'000);

/// One run of a command.
class Client
{
public:
  Client(const cxxopts::ParseResult& aParsed, const EnvironmentLookup& aLookup,
         const ClientTransport& aTransport, const ClientStreams& aStreams)
    : parsed_(aParsed)
    , transport_(aTransport)
    , streams_(aStreams)
  {
    std::string servers = "127.0.0.1:8082";
    if (parsed_.count("server") > 0) {
      servers = parsed_["server"].as<std::string>();
    } else if (const auto value = aLookup("GOOSEBERRYPATH_SERVER")) {
      servers = *value;
    }
    std::istringstream list(servers);
    for (std::string server; std::getline(list, server, ',');) {
      if (!IsAddress(server)) {
        throw UsageError("--server: value \"" + server + "\" is not IP:port");
      }
      servers_.push_back(server);
    }
    if (servers_.empty()) {
      throw UsageError("--server: an address is required");
    }
    const auto output = parsed_["output"].as<std::string>();
    if (output != "json" && output != "table") {
      throw UsageError("--output: value \"" + output + "\" is not json or table");
    }
    isJson_ = output == "json";
    const auto timeoutMs = parsed_["timeout-ms"].as<uint64_t>();
    if (timeoutMs < 1 || timeoutMs > 3'600'000) {
      throw UsageError("--timeout-ms: value \"" + std::to_string(timeoutMs) +
                       "\" is outside the allowed range: 1 to 3600000 ms");
    }
    timeout_ = milliseconds(timeoutMs);
    if (parsed_.count("args") > 0) {
      args_ = parsed_["args"].as<std::vector<std::string>>();
    }
  }

  int Run(std::string_view aCommand)
  {
    if (aCommand == "apply") {
      return Apply();
    }
    if (aCommand == "get") {
      return Get();
    }
    if (aCommand == "watch") {
      return Watch();
    }
    if (aCommand == "delete") {
      return Delete();
    }
    if (aCommand == "drain") {
      return Drain();
    }
    return PrintObject(Send(false, "/v1/status"));
  }

private:
  /// Sends to the servers in order, until one answers. A request that may have been
  /// carried out is repeated only if it is a read.
  ClientAnswer Send(bool aIsPost, const std::string& aTarget,
                    const std::string& aBody = "", Duration aWait = {})
  {
    ClientAnswer answer;
    std::string reasons;
    for (const std::string& server : servers_) {
      answer = transport_({ .server = server,
                            .isPost = aIsPost,
                            .target = aTarget,
                            .body = aBody,
                            .timeout = timeout_ + aWait });
      if (answer.outcome == Outcome::Answered) {
        const json body = json::parse(answer.body, nullptr, false);
        const bool isNotReady = body.is_object() && body.contains("error") &&
                                FieldOf(body["error"], "kind") == "not_ready";
        if (!isNotReady || aIsPost) {
          return answer;
        }
      }
      reasons += (reasons.empty() ? "" : "; ") + server + ": " +
                 (answer.reason.empty() ? "not ready" : answer.reason);
      if (answer.outcome == Outcome::Unknown && aIsPost) {
        break;
      }
    }
    answer.reason = reasons;
    return answer;
  }

  /// Returns the exit code of an answer, and reports an error.
  int Check(const ClientAnswer& aAnswer, const std::string& aSubject = "")
  {
    const std::string subject = aSubject.empty() ? "" : aSubject + ": ";
    if (aAnswer.outcome == Outcome::NotSent) {
      streams_.errors << subject << "no server is reachable: " << aAnswer.reason << '\n';
      return kNotReachable;
    }
    if (aAnswer.outcome == Outcome::Unknown) {
      streams_.errors << subject << "no answer, the request may have been carried out: "
                      << aAnswer.reason << '\n';
      return kFailed;
    }
    if (aAnswer.status >= 200 && aAnswer.status < 300) {
      return kDone;
    }
    const json body = json::parse(aAnswer.body, nullptr, false);
    const json error =
      body.is_object() && body.contains("error") ? body["error"] : json::object();
    streams_.errors << subject << FieldOf(error, "kind") << " (HTTP status "
                    << aAnswer.status << "): " << FieldOf(error, "message") << '\n';
    return FieldOf(error, "kind") == "version_conflict" ? kConflict : kFailed;
  }

  int PrintObject(const ClientAnswer& aAnswer)
  {
    if (const int code = Check(aAnswer); code != kDone) {
      return code;
    }
    const json body = json::parse(aAnswer.body, nullptr, false);
    if (isJson_ || !body.is_object()) {
      streams_.out << (body.is_discarded() ? aAnswer.body : DumpJson(body, 2)) << '\n';
      return kDone;
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto& [key, value] : body.items()) {
      rows.push_back({ key, TextOf(value) });
    }
    WriteTable(streams_.out, rows);
    return kDone;
  }

  int Apply()
  {
    const json resources = ReadResources(parsed_, streams_.in);
    const bool isDryRun = parsed_.count("dry-run") > 0;
    json results = json::array();
    std::string applied;
    int code = kDone;
    for (const json& resource : resources) {
      const std::string id = IdOf(resource);
      const ClientAnswer answer = Send(
        true, isDryRun ? "/v1/resources?dry_run=1" : "/v1/resources", DumpJson(resource));
      code = Check(answer, id);
      if (code != kDone) {
        break;
      }
      const json body = json::parse(answer.body, nullptr, false);
      applied += " " + id;
      if (isJson_) {
        results.push_back({ { "kind", FieldOf(resource, "kind") },
                            { "name", FieldOf(resource, "name") },
                            { "result", body.is_discarded() ? json() : body } });
      } else {
        const std::string version = FieldOf(body, "version");
        streams_.out << id << (isDryRun ? " is valid" : " applied")
                     << (version.empty() ? "" : ", version " + version) << std::endl;
      }
    }
    if (isJson_) {
      streams_.out << DumpJson(results, 2) << '\n';
    }
    if (code != kDone && resources.size() > 1) {
      streams_.errors << "stopped; "
                      << (applied.empty()
                            ? std::string("none was")
                            : (isDryRun ? "valid before:" : "applied before:") + applied)
                      << (applied.empty() ? (isDryRun ? " valid" : " applied") : "")
                      << '\n';
    }
    return code;
  }

  std::string ReadTarget() const
  {
    std::string target = "/v1/resources";
    constexpr std::array kKeys = { "?kind=", "&name=" };
    for (size_t i = 0; i < args_.size(); ++i) {
      target += kKeys.at(i) + EncodeUri(args_[i]);
    }
    return target;
  }

  int Get()
  {
    const ClientAnswer answer = Send(false, ReadTarget());
    if (const int code = Check(answer); code != kDone) {
      return code;
    }
    const json body = json::parse(answer.body, nullptr, false);
    const json resources = ResourcesOf(body);
    if (args_.size() == 2 && resources.empty()) {
      streams_.errors << args_[0] << "/" << args_[1] << ": not found\n";
      return kFailed;
    }
    if (isJson_) {
      streams_.out << DumpJson(body, 2) << '\n';
      return kDone;
    }
    std::vector<std::vector<std::string>> rows = { { "KIND", "NAME", "VERSION",
                                                     "SPEC" } };
    for (const json& resource : resources) {
      rows.push_back({ FieldOf(resource, "kind"), FieldOf(resource, "name"),
                       FieldOf(resource, "version"), FieldOf(resource, "spec") });
    }
    WriteTable(streams_.out, rows);
    return kDone;
  }

  static json ResourcesOf(const json& aBody)
  {
    if (aBody.is_object() && aBody.contains("resources") &&
        aBody["resources"].is_array()) {
      return aBody["resources"];
    }
    return json::array();
  }

  /// Prints one change. Returns false when enough changes were printed.
  bool PrintChange(const std::string& aChange, const json& aResource)
  {
    if (isJson_) {
      streams_.out << DumpJson({ { "change", aChange }, { "resource", aResource } });
    } else {
      streams_.out << aChange << "  " << IdOf(aResource) << "  version "
                   << FieldOf(aResource, "version") << "  " << FieldOf(aResource, "spec");
    }
    streams_.out << std::endl;
    ++changes_;
    return parsed_.count("count") == 0 || changes_ < parsed_["count"].as<uint64_t>();
  }

  int Watch()
  {
    if (parsed_.count("count") > 0 && parsed_["count"].as<uint64_t>() == 0) {
      throw UsageError("--count: value \"0\" is outside the allowed range: 1 or more");
    }
    const std::string target = ReadTarget() + (args_.empty() ? "?" : "&");
    std::map<std::string, json> known;
    std::optional<uint64_t> after;
    if (parsed_.count("after") > 0) {
      after = parsed_["after"].as<uint64_t>();
    }
    for (bool isFirst = true;; isFirst = false) {
      const milliseconds wait = isFirst ? milliseconds(0) : kWatchWait;
      const ClientAnswer answer =
        Send(false,
             target + "after=" + std::to_string(after.value_or(0)) +
               "&wait_ms=" + std::to_string(wait.count()),
             "", wait);
      if (const int code = Check(answer); code != kDone) {
        return code;
      }
      const json body = json::parse(answer.body, nullptr, false);
      const uint64_t applied = NumberOf(body, "applied");
      // Another server may have applied less than the one that answered before. Its list
      // is old and would show changes backwards.
      if (after && applied < *after) {
        continue;
      }
      std::map<std::string, json> current;
      for (const json& resource : ResourcesOf(body)) {
        const std::string id = IdOf(resource);
        current[id] = resource;
        if (after && NumberOf(resource, "version") > *after &&
            !PrintChange(known.contains(id) ? "changed" : "present", resource)) {
          return kDone;
        }
      }
      for (const auto& [id, resource] : known) {
        if (!current.contains(id) && !PrintChange("deleted", resource)) {
          return kDone;
        }
      }
      known = std::move(current);
      after = applied;
    }
  }

  int Delete()
  {
    json body = { { "kind", args_[0] }, { "name", args_[1] }, { "delete", true } };
    if (parsed_.count("base") > 0) {
      body["base"] = parsed_["base"].as<uint64_t>();
    }
    return PrintObject(Send(true, "/v1/resources", DumpJson(body)));
  }

  int Drain()
  {
    // With several servers, an unreachable first one would stop another daemon instead.
    if (servers_.size() != 1) {
      throw UsageError("drain: exactly one --server is required");
    }
    json body = json::object();
    if (parsed_.count("within-ms") > 0) {
      body["within_ms"] = parsed_["within-ms"].as<uint64_t>();
    }
    return PrintObject(Send(true, "/v1/drain", DumpJson(body)));
  }

  const cxxopts::ParseResult& parsed_;
  const ClientTransport& transport_;
  const ClientStreams& streams_;
  std::vector<std::string> servers_;
  std::vector<std::string> args_;
  bool isJson_ = false;
  Duration timeout_{};
  uint64_t changes_ = 0;
};

} // namespace

bool IsClientCommand(std::string_view aName)
{
  return FindClientCommand(aName) != nullptr;
}

int RunClient(std::span<const std::string> aArgs, const EnvironmentLookup& aLookup,
              const ClientTransport& aTransport, const ClientStreams& aStreams)
{
  std::vector<const char*> argv;
  for (const std::string& arg : aArgs) {
    argv.push_back(arg.c_str());
  }
  try {
    const ClientCommand* command =
      aArgs.empty() ? nullptr : FindClientCommand(aArgs.front());
    if (command == nullptr) {
      throw UsageError("the command is missing or unknown");
    }
    cxxopts::Options options = MakeClientOptions(*command);
    const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      aStreams.out << options.set_width(90).help({ "" }) << '\n';
      return kDone;
    }
    CheckClientArguments(*command, parsed);
    return Client(parsed, aLookup, aTransport, aStreams).Run(command->name);
  } catch (const UsageError& problem) {
    aStreams.errors << problem.what() << '\n';
  } catch (const cxxopts::exceptions::exception& problem) {
    aStreams.errors << problem.what() << '\n';
  }
  return kUsage;
}

} // namespace gooseberrypath
