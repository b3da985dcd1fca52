#include "gooseberrypath/records.h"

#include <utility>

#include "gooseberrypath/record_fields.h"

namespace gooseberrypath {

namespace {

constexpr int64_t kMaxTimeMs = int64_t{ 1 } << 50;

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
  if (auto job = ReadJobRecord(aType, aFields)) {
    return std::visit([](auto& aOne) { return Record(std::move(aOne)); }, *job);
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
