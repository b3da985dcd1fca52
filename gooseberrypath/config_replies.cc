// The replies of ConfigSystem to operators.

#include <nlohmann/json.hpp>

#include "gooseberrypath/config_status.h"
#include "gooseberrypath/config_system.h"

namespace gooseberrypath {

using Json = nlohmann::json;

void ConfigSystem::ReplyError(WriteId aRequest, const Error& aError, Offset aCurrent,
                              const std::string& aWrite)
{
  world_.counters.Add(Counter::WritesRefused);
  Json body = Json::parse(ErrorBody(aError), nullptr, false);
  if (aError.kind == ErrorKind::VersionConflict) {
    body["error"]["version"] = aCurrent;
  }
  if (!aWrite.empty()) {
    body["error"]["write"] = aWrite;
  }
  world_.Emit(OperatorReply{
    .write = aRequest, .status = InfoOf(aError.kind).status, .body = DumpJson(body) });
}

void ConfigSystem::ReplyAccepted(WriteId aRequest, const ResourceId& aId, Offset aVersion)
{
  const InForce inForce = CountInForce(world_, aVersion);
  world_.Emit(
    OperatorReply{ .write = aRequest,
                   .status = 200,
                   .body = DumpJson({ { "kind", aId.first },
                                      { "name", aId.second },
                                      { "version", aVersion },
                                      { "inForce",
                                        { { "applied", inForce.applied },
                                          { "daemons", inForce.daemons },
                                          { "missing", inForce.missing } } } }) });
}

void ConfigSystem::ReplyRead(const OperatorRead& aRead)
{
  Json resources = Json::array();
  for (const auto& [id, row] : world_.resources) {
    if ((!aRead.kind.empty() && aRead.kind != id.first) ||
        (!aRead.name.empty() && aRead.name != id.second)) {
      continue;
    }
    const InForce inForce = CountInForce(world_, row.version);
    resources.push_back({ { "kind", id.first },
                          { "name", id.second },
                          { "version", row.version },
                          { "spec", Json::parse(row.json, nullptr, false) },
                          { "status",
                            { { "inForceOn", inForce.applied },
                              { "daemons", inForce.daemons },
                              { "missing", inForce.missing },
                              { "since", FormatTime(row.sinceMs) } } } });
  }
  if (resources.empty() && !aRead.name.empty() && aRead.wait <= Duration::zero()) {
    const Error error{ ErrorKind::ResourceNotFound,
                       "there is no " + aRead.kind + " \"" + aRead.name + "\"" };
    world_.Emit(OperatorReply{ .write = aRead.write,
                               .status = InfoOf(error.kind).status,
                               .body = ErrorBody(error) });
    return;
  }
  world_.Emit(
    OperatorReply{ .write = aRead.write,
                   .status = 200,
                   .body = DumpJson({ { "applied", world_.appliedConfig },
                                      { "resources", std::move(resources) } }) });
}

} // namespace gooseberrypath
