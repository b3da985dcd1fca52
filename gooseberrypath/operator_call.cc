#include "gooseberrypath/operator_call.h"

#include <algorithm>
#include <charconv>

#include <cxxtools/query_params.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

Result<uint64_t> ParseCount(const std::string& aName, const std::string& aText)
{
  uint64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto [position, problem] = std::from_chars(aText.data(), end, count);
  if (problem != std::errc{} || position != end) {
    return MakeError(ErrorKind::BadRequest, "query parameter " + aName + ": value \"" +
                                              aText + "\" is not a whole number from 0");
  }
  return count;
}

Result<Event> ParseRead(const cxxtools::QueryParams& aQuery, WriteId aWrite,
                        Duration aMaxWait)
{
  const auto after = ParseCount("after", aQuery.param("after", "0"));
  if (!after) {
    return tl::unexpected(after.error());
  }
  const auto waitMs = ParseCount("wait_ms", aQuery.param("wait_ms", "0"));
  if (!waitMs) {
    return tl::unexpected(waitMs.error());
  }
  const auto maxMs = static_cast<uint64_t>(aMaxWait / milliseconds(1));
  return OperatorRead{ .write = aWrite,
                       .kind = aQuery.param("kind", ""),
                       .name = aQuery.param("name", ""),
                       .after = *after,
                       .wait = milliseconds(std::min(*waitMs, maxMs)) };
}

tl::unexpected<Error> BadBody(const std::string& aMessage)
{
  return MakeError(ErrorKind::BadRequest, "body: " + aMessage);
}

Result<Event> ParseWrite(const std::string& aBody, const cxxtools::QueryParams& aQuery,
                         WriteId aWrite)
{
  const std::string dryRun = aQuery.param("dry_run", "0");
  if (dryRun != "0" && dryRun != "1") {
    return MakeError(ErrorKind::BadRequest,
                     "query parameter dry_run: value \"" + dryRun + "\" is not 0 or 1");
  }
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return BadBody("not a JSON object");
  }
  OperatorWrite write;
  write.write = aWrite;
  write.isDryRun = dryRun == "1";
  bool hasSpec = false;
  for (const auto& [key, value] : body.items()) {
    if ((key == "kind" || key == "name") && value.is_string()) {
      (key == "kind" ? write.kind : write.name) = value.get<std::string>();
    } else if (key == "base" && value.is_number_unsigned()) {
      write.base = value.get<Offset>();
    } else if (key == "delete" && value.is_boolean()) {
      write.isDelete = value.get<bool>();
    } else if (key == "spec" && value.is_object()) {
      write.spec = value.dump();
      hasSpec = true;
    } else {
      return BadBody("field \"" + key + "\" is unknown or has the wrong type");
    }
  }
  if (write.kind.empty() || write.name.empty()) {
    return BadBody("\"kind\" and \"name\" are required");
  }
  if (hasSpec == write.isDelete) {
    return BadBody("either \"spec\" or \"delete\": true is required");
  }
  return write;
}

Result<Event> ParseDrain(const std::string& aBody, WriteId aWrite)
{
  constexpr uint64_t kMaxWithinMs = 86'400'000;
  if (aBody.empty()) {
    return OperatorDrain{ .write = aWrite };
  }
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return BadBody("not a JSON object");
  }
  OperatorDrain drain{ .write = aWrite };
  for (const auto& [name, value] : body.items()) {
    if (name != "within_ms") {
      return BadBody("field \"" + name + "\" is not known");
    }
    if (!value.is_number_unsigned() || value.get<uint64_t>() > kMaxWithinMs) {
      return BadBody("\"within_ms\" must be a number from 0 to 86400000");
    }
    drain.within = std::chrono::milliseconds(value.get<int64_t>());
  }
  return drain;
}

} // namespace

Result<Event> ParseOperatorCall(const OperatorCall& aCall, WriteId aWrite,
                                Duration aMaxWait)
{
  const bool isGet = aCall.method == "GET";
  const bool isPost = aCall.method == "POST";
  const cxxtools::QueryParams query(aCall.query);
  if (aCall.path == "/v1/resources" && isGet) {
    return ParseRead(query, aWrite, aMaxWait);
  }
  if (aCall.path == "/v1/resources" && isPost) {
    return ParseWrite(aCall.body, query, aWrite);
  }
  if (aCall.path == "/v1/status" && isGet) {
    return OperatorStatus{ .write = aWrite };
  }
  if (aCall.path == "/v1/drain" && isPost) {
    return ParseDrain(aCall.body, aWrite);
  }
  if (aCall.path == "/v1/resources" || aCall.path == "/v1/status" ||
      aCall.path == "/v1/drain") {
    return MakeError(ErrorKind::MethodNotAllowed,
                     "method " + aCall.method + " is not allowed on " + aCall.path);
  }
  return MakeError(ErrorKind::RouteNotFound, "no such path: " + aCall.path);
}

} // namespace gooseberrypath
