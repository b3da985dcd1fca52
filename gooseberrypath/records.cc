#include "gooseberrypath/records.h"

#include <limits>
#include <optional>

#include <kj/encoding.h>
#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxTimeMs = int64_t{ 1 } << 50;

std::string ToBase64(std::string_view aBytes)
{
  const kj::ArrayPtr<const kj::byte> bytes(
    reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size());
  return kj::encodeBase64(bytes, false).cStr();
}

std::optional<std::string> FromBase64(const std::string& aText)
{
  const auto bytes =
    kj::decodeBase64(kj::ArrayPtr<const char>(aText.data(), aText.size()));
  if (bytes.hadErrors) {
    return std::nullopt;
  }
  return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

// Header values are base64 like bodies: callers and backends may send any bytes above
// 127.
Json HeadersToJson(const Headers& aHeaders)
{
  Json fields = Json::array();
  for (const Header& header : aHeaders) {
    fields.push_back({ ToBase64(header.name), ToBase64(header.value) });
  }
  return fields;
}

Json ToJson(const PutRecord& aRecord)
{
  return {
    { "type", "put" },        { "kind", aRecord.kind },   { "name", aRecord.name },
    { "base", aRecord.base }, { "write", aRecord.write }, { "spec", aRecord.spec }
  };
}

Json ToJson(const DeleteRecord& aRecord)
{
  return { { "type", "delete" },
           { "kind", aRecord.kind },
           { "name", aRecord.name },
           { "base", aRecord.base },
           { "write", aRecord.write } };
}

Json ToJson(const SnapshotRecord& aRecord)
{
  Json resources = Json::array();
  for (const SnapshotResource& one : aRecord.resources) {
    resources.push_back({ { "kind", one.kind },
                          { "name", one.name },
                          { "version", one.version },
                          { "sinceMs", one.sinceMs },
                          { "spec", one.spec } });
  }
  return { { "type", "snapshot" },
           { "upTo", aRecord.upTo },
           { "resources", std::move(resources) },
           { "writes", aRecord.writes },
           { "hash", aRecord.hash } };
}

Json ToJson(const ClaimRecord& aRecord)
{
  return { { "type", "claim" },
           { "service", aRecord.service },
           { "key", aRecord.key },
           { "bodyHash", aRecord.bodyHash },
           { "claim", aRecord.claim },
           { "daemon", aRecord.daemon },
           { "incarnation", aRecord.incarnation },
           { "peerAddress", aRecord.peerAddress },
           { "windowMs", aRecord.windowMs },
           { "asOf", aRecord.asOf } };
}

Json ToJson(const OutcomeRecord& aRecord)
{
  return { { "type", "outcome" },
           { "service", aRecord.service },
           { "key", aRecord.key },
           { "claim", aRecord.claim },
           { "isKnown", aRecord.isKnown },
           { "status", aRecord.status },
           { "headers", HeadersToJson(aRecord.headers) },
           { "body", ToBase64(aRecord.body) } };
}

Json ToJson(const AbandonRecord& aRecord)
{
  return { { "type", "abandon" },
           { "service", aRecord.service },
           { "key", aRecord.key },
           { "claim", aRecord.claim } };
}

Json ToJson(const CarryRecord& aRecord)
{
  return { { "type", "carry" },
           { "claim", ToJson(aRecord.claim) },
           { "claimedMs", aRecord.claimedMs },
           { "claimOffset", aRecord.claimOffset },
           { "asOf", aRecord.asOf },
           { "hasOutcome", aRecord.hasOutcome },
           { "outcome", ToJson(aRecord.outcome) } };
}

Json ToJson(const UnknownRecord& aRecord)
{
  return { { "type", aRecord.type } };
}

/// Reads the fields of one JSON object and keeps the name of the first wrong one.
class FieldReader
{
public:
  explicit FieldReader(const Json& aObject)
    : object_(aObject)
  {
  }

  std::string Text(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_string);
    return value ? value->get_ref<const std::string&>() : std::string();
  }

  uint64_t Unsigned(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_number_unsigned);
    return value ? value->get<uint64_t>() : 0;
  }

  int64_t Integer(const char* aName, int64_t aMin, int64_t aMax)
  {
    const Json* value = Get(aName, &Json::is_number_integer);
    if (!value) {
      return aMin;
    }
    if (value->is_number_unsigned() &&
        value->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      Fail(aName);
      return aMin;
    }
    const auto number = value->get<int64_t>();
    if (number < aMin || number > aMax) {
      Fail(aName);
      return aMin;
    }
    return number;
  }

  bool Boolean(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_boolean);
    return value && value->get<bool>();
  }

  std::string Bytes(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_string);
    return value ? Decoded(aName, *value) : std::string();
  }

  Headers HeaderFields(const char* aName)
  {
    Headers headers;
    const Json* value = Get(aName, &Json::is_array);
    if (!value) {
      return headers;
    }
    for (const Json& field : *value) {
      if (!field.is_array() || field.size() != 2 || !field[0].is_string() ||
          !field[1].is_string()) {
        Fail(aName);
        return headers;
      }
      headers.push_back({ Decoded(aName, field[0]), Decoded(aName, field[1]) });
    }
    return headers;
  }

  const Json* Object(const char* aName) { return Get(aName, &Json::is_object); }

  const Json* Array(const char* aName) { return Get(aName, &Json::is_array); }

  void Fail(const std::string& aName)
  {
    if (wrong_.empty()) {
      wrong_ = aName;
    }
  }

  const std::string& Wrong() const { return wrong_; }

private:
  const Json* Get(const char* aName, bool (Json::*aIsType)() const noexcept)
  {
    const auto found = object_.find(aName);
    if (found == object_.end() || !((*found).*aIsType)()) {
      Fail(aName);
      return nullptr;
    }
    return &*found;
  }

  std::string Decoded(const char* aName, const Json& aValue)
  {
    std::optional<std::string> bytes = FromBase64(aValue.get_ref<const std::string&>());
    if (!bytes) {
      Fail(aName);
    }
    return std::move(bytes).value_or("");
  }

  const Json& object_;
  std::string wrong_;
};

ClaimRecord ReadClaim(FieldReader& aFields)
{
  return { .service = aFields.Text("service"),
           .key = aFields.Text("key"),
           .bodyHash = aFields.Text("bodyHash"),
           .claim = aFields.Text("claim"),
           .daemon = aFields.Text("daemon"),
           .incarnation = aFields.Unsigned("incarnation"),
           .peerAddress = aFields.Text("peerAddress"),
           // The bound keeps the sum with a log time far from an overflow.
           .windowMs = aFields.Integer("windowMs", 0, int64_t{ 1 } << 50),
           .asOf = aFields.Unsigned("asOf") };
}

OutcomeRecord ReadOutcome(FieldReader& aFields)
{
  return { .service = aFields.Text("service"),
           .key = aFields.Text("key"),
           .claim = aFields.Text("claim"),
           .isKnown = aFields.Boolean("isKnown"),
           .status = static_cast<int>(aFields.Integer("status", 0, 999)),
           .headers = aFields.HeaderFields("headers"),
           .body = aFields.Bytes("body") };
}

CarryRecord ReadCarry(FieldReader& aFields)
{
  CarryRecord record;
  if (const Json* claim = aFields.Object("claim")) {
    FieldReader fields(*claim);
    record.claim = ReadClaim(fields);
    if (!fields.Wrong().empty()) {
      aFields.Fail("claim." + fields.Wrong());
    }
  }
  record.claimedMs = aFields.Integer("claimedMs", 0, int64_t{ 1 } << 50);
  record.claimOffset = aFields.Unsigned("claimOffset");
  record.asOf = aFields.Unsigned("asOf");
  record.hasOutcome = aFields.Boolean("hasOutcome");
  if (const Json* outcome = aFields.Object("outcome")) {
    FieldReader fields(*outcome);
    record.outcome = ReadOutcome(fields);
    if (!fields.Wrong().empty()) {
      aFields.Fail("outcome." + fields.Wrong());
    }
  }
  return record;
}

SnapshotRecord ReadSnapshot(FieldReader& aFields)
{
  SnapshotRecord record{ .upTo = aFields.Unsigned("upTo"),
                         .resources = {},
                         .writes = {},
                         .hash = aFields.Text("hash") };
  if (const Json* resources = aFields.Array("resources")) {
    for (const Json& one : *resources) {
      FieldReader fields(one);
      record.resources.push_back({ .kind = fields.Text("kind"),
                                   .name = fields.Text("name"),
                                   .version = fields.Unsigned("version"),
                                   .sinceMs = fields.Integer("sinceMs", 0, kMaxTimeMs),
                                   .spec = fields.Text("spec") });
      if (!fields.Wrong().empty()) {
        aFields.Fail("resources." + fields.Wrong());
      }
    }
  }
  if (const Json* writes = aFields.Array("writes")) {
    for (const Json& one : *writes) {
      if (!one.is_string()) {
        aFields.Fail("writes");
        break;
      }
      record.writes.push_back(one.get<std::string>());
    }
  }
  return record;
}

Record ReadRecord(const std::string& aType, FieldReader& aFields)
{
  if (aType == "put") {
    return PutRecord{ .kind = aFields.Text("kind"),
                      .name = aFields.Text("name"),
                      .base = aFields.Unsigned("base"),
                      .write = aFields.Text("write"),
                      .spec = aFields.Text("spec") };
  }
  if (aType == "delete") {
    return DeleteRecord{ .kind = aFields.Text("kind"),
                         .name = aFields.Text("name"),
                         .base = aFields.Unsigned("base"),
                         .write = aFields.Text("write") };
  }
  if (aType == "snapshot") {
    return ReadSnapshot(aFields);
  }
  if (aType == "claim") {
    return ReadClaim(aFields);
  }
  if (aType == "outcome") {
    return ReadOutcome(aFields);
  }
  if (aType == "abandon") {
    return AbandonRecord{ .service = aFields.Text("service"),
                          .key = aFields.Text("key"),
                          .claim = aFields.Text("claim") };
  }
  if (aType == "carry") {
    return ReadCarry(aFields);
  }
  return UnknownRecord{ .type = aType };
}

} // namespace

std::string EncodeRecord(const Record& aRecord)
{
  const Json json = std::visit([](const auto& aOne) { return ToJson(aOne); }, aRecord);
  // Text fields that are not UTF-8 are rejected where they enter; replacing here only
  // keeps the encoder from throwing.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Record> DecodeRecord(std::string_view aData)
{
  const Json json = Json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    return MakeError(ErrorKind::BadRequest, "the record is not a JSON object");
  }
  FieldReader fields(json);
  const std::string type = fields.Text("type");
  if (fields.Wrong().empty()) {
    Record record = ReadRecord(type, fields);
    if (fields.Wrong().empty()) {
      return record;
    }
  }
  return MakeError(ErrorKind::BadRequest,
                   "field \"" + fields.Wrong() + "\" of the record is missing or wrong");
}

} // namespace gooseberrypath
