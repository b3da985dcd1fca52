#include "gooseberrypath/records.h"

#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string EncodeRecord(const Record& aRecord)
{
  if (const auto* put = std::get_if<PutRecord>(&aRecord)) {
    return Dump(Json{ { "type", "put" },
                      { "kind", put->kind },
                      { "name", put->name },
                      { "base", put->base },
                      { "write", put->write },
                      { "spec", put->spec } });
  }
  if (const auto* del = std::get_if<DeleteRecord>(&aRecord)) {
    return Dump(Json{ { "type", "delete" },
                      { "kind", del->kind },
                      { "name", del->name },
                      { "base", del->base },
                      { "write", del->write } });
  }
  return "{}";
}

Result<Record> DecodeRecord(std::string_view aData)
{
  const Json json = Json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    return MakeError(ErrorKind::BadRequest, "the record is not a JSON object");
  }
  std::string wrong;
  const auto text = [&](const char* aName) {
    const auto found = json.find(aName);
    if (found == json.end() || !found->is_string()) {
      wrong = aName;
      return std::string();
    }
    return found->get<std::string>();
  };
  const std::string type = text("type");
  if (!wrong.empty()) {
    return MakeError(ErrorKind::BadRequest, "type: a string is needed");
  }
  if (type != "put" && type != "delete") {
    return UnknownRecord{ type };
  }
  PutRecord put;
  put.kind = text("kind");
  put.name = text("name");
  put.write = text("write");
  const auto base = json.find("base");
  if (base == json.end() || !base->is_number_unsigned()) {
    wrong = "base";
  } else {
    put.base = base->get<Offset>();
  }
  if (type == "put") {
    put.spec = text("spec");
  }
  if (!wrong.empty()) {
    return MakeError(ErrorKind::BadRequest, wrong + ": missing or of a wrong type");
  }
  if (type == "put") {
    return put;
  }
  return DeleteRecord{ put.kind, put.name, put.base, put.write };
}

} // namespace gooseberrypath
