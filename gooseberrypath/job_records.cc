#include "gooseberrypath/job_records.h"

#include "gooseberrypath/record_fields.h"

namespace gooseberrypath {

namespace {

/// Bounds times, so that sums of them are far from an overflow.
constexpr int64_t kMaxMs = int64_t{ 1 } << 50;

JobRecord ReadProposal(FieldReader& aFields)
{
  return { .job = aFields.Text("job"),
           .service = aFields.Text("service"),
           .team = aFields.Text("team"),
           .body = aFields.Bytes("body"),
           .daemon = aFields.Text("daemon"),
           .incarnation = aFields.Unsigned("incarnation"),
           .deadlineMs = aFields.Integer("deadlineMs", 0, kMaxMs),
           .windowMs = aFields.Integer("windowMs", 0, kMaxMs),
           .asOf = aFields.Unsigned("asOf") };
}

CarryJobRecord ReadCarry(FieldReader& aFields)
{
  CarryJobRecord record;
  if (const Json* proposal = aFields.Object("proposal")) {
    FieldReader fields(*proposal);
    record.proposal = ReadProposal(fields);
    if (!fields.Wrong().empty()) {
      aFields.Fail("proposal." + fields.Wrong());
    }
  }
  record.asOf = aFields.Unsigned("asOf");
  record.revision = aFields.Unsigned("revision");
  record.state = aFields.Text("state");
  record.holder = aFields.Text("holder");
  record.holderIncarnation = aFields.Unsigned("holderIncarnation");
  record.lease = aFields.Unsigned("lease");
  record.tokens = aFields.Texts("tokens");
  record.finishReason = aFields.Text("finishReason");
  record.error = aFields.Text("error");
  record.createdMs = aFields.Integer("createdMs", 0, kMaxMs);
  record.endedMs = aFields.Integer("endedMs", 0, kMaxMs);
  return record;
}

} // namespace

Json ToJson(const JobRecord& aRecord)
{
  return { { "type", "job" },
           { "job", aRecord.job },
           { "service", aRecord.service },
           { "team", aRecord.team },
           { "body", ToBase64(aRecord.body) },
           { "daemon", aRecord.daemon },
           { "incarnation", aRecord.incarnation },
           { "deadlineMs", aRecord.deadlineMs },
           { "windowMs", aRecord.windowMs },
           { "asOf", aRecord.asOf } };
}

Json ToJson(const LeaseRecord& aRecord)
{
  return { { "type", "lease" },
           { "job", aRecord.job },
           { "daemon", aRecord.daemon },
           { "incarnation", aRecord.incarnation },
           { "supersedes", aRecord.supersedes } };
}

Json ToJson(const CheckpointRecord& aRecord)
{
  return { { "type", "checkpoint" },
           { "job", aRecord.job },
           { "lease", aRecord.lease },
           { "from", aRecord.from },
           { "tokens", aRecord.tokens } };
}

Json ToJson(const DoneRecord& aRecord)
{
  return { { "type", "done" },           { "job", aRecord.job },
           { "lease", aRecord.lease },   { "from", aRecord.from },
           { "tokens", aRecord.tokens }, { "finishReason", aRecord.finishReason },
           { "error", aRecord.error } };
}

Json ToJson(const CancelRecord& aRecord)
{
  return { { "type", "cancel" }, { "job", aRecord.job } };
}

Json ToJson(const ReleaseRecord& aRecord)
{
  return { { "type", "release" },
           { "job", aRecord.job },
           { "lease", aRecord.lease },
           { "from", aRecord.from },
           { "tokens", aRecord.tokens } };
}

Json ToJson(const CarryJobRecord& aRecord)
{
  return { { "type", "carryJob" },
           { "proposal", ToJson(aRecord.proposal) },
           { "asOf", aRecord.asOf },
           { "revision", aRecord.revision },
           { "state", aRecord.state },
           { "holder", aRecord.holder },
           { "holderIncarnation", aRecord.holderIncarnation },
           { "lease", aRecord.lease },
           { "tokens", aRecord.tokens },
           { "finishReason", aRecord.finishReason },
           { "error", aRecord.error },
           { "createdMs", aRecord.createdMs },
           { "endedMs", aRecord.endedMs } };
}

std::optional<JobStreamRecord> ReadJobRecord(std::string_view aType, FieldReader& aFields)
{
  if (aType == "job") {
    return ReadProposal(aFields);
  }
  if (aType == "carryJob") {
    return ReadCarry(aFields);
  }
  if (aType == "lease") {
    return LeaseRecord{ .job = aFields.Text("job"),
                        .daemon = aFields.Text("daemon"),
                        .incarnation = aFields.Unsigned("incarnation"),
                        .supersedes = aFields.Unsigned("supersedes") };
  }
  if (aType == "checkpoint") {
    return CheckpointRecord{ .job = aFields.Text("job"),
                             .lease = aFields.Unsigned("lease"),
                             .from = aFields.Unsigned("from"),
                             .tokens = aFields.Texts("tokens") };
  }
  if (aType == "done") {
    return DoneRecord{ .job = aFields.Text("job"),
                       .lease = aFields.Unsigned("lease"),
                       .from = aFields.Unsigned("from"),
                       .tokens = aFields.Texts("tokens"),
                       .finishReason = aFields.Text("finishReason"),
                       .error = aFields.Text("error") };
  }
  if (aType == "cancel") {
    return CancelRecord{ .job = aFields.Text("job") };
  }
  if (aType == "release") {
    return ReleaseRecord{ .job = aFields.Text("job"),
                          .lease = aFields.Unsigned("lease"),
                          .from = aFields.Unsigned("from"),
                          .tokens = aFields.Texts("tokens") };
  }
  return std::nullopt;
}

} // namespace gooseberrypath
