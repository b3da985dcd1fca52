// Records in the platform's log and their JSON form.
//
//   std::string data = EncodeRecord(ClaimRecord{ ... });
//   Result<Record> record = DecodeRecord(entry.data);
//
// Streams: kConfigStream has PutRecord, DeleteRecord and SnapshotRecord; kActionStream
// has ClaimRecord, OutcomeRecord, AbandonRecord and CarryRecord; kJobStream has
// JobRecord, LeaseRecord, CheckpointRecord, DoneRecord, CancelRecord, ReleaseRecord and
// CarryJobRecord. A record of an unknown type decodes to UnknownRecord, so that an older
// daemon can skip what a newer one wrote.

#ifndef GOOSEBERRYPATH_RECORDS_H_
#define GOOSEBERRYPATH_RECORDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/job_records.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

inline constexpr std::string_view kConfigStream = "config";
inline constexpr std::string_view kActionStream = "actions";

/// Creates or replaces a resource if its version is still `base` (0: none exists).
struct PutRecord
{
  std::string kind;
  std::string name;
  Offset base = 0;
  std::string write; // random id; a repeated append has the same one
  std::string spec;  // JSON object

  bool operator==(const PutRecord&) const = default;
};

/// Deletes a resource if its version is still `base`.
struct DeleteRecord
{
  std::string kind;
  std::string name;
  Offset base = 0;
  std::string write;

  bool operator==(const DeleteRecord&) const = default;
};

/// One resource of a SnapshotRecord.
struct SnapshotResource
{
  std::string kind;
  std::string name;
  Offset version = 0;
  int64_t sinceMs = 0;
  std::string spec; // JSON object

  bool operator==(const SnapshotResource&) const = default;
};

/// The whole configuration after the record at offset `upTo`, for daemons that start when
/// older records have been removed.
struct SnapshotRecord
{
  Offset upTo = 0;
  std::vector<SnapshotResource> resources;
  std::vector<std::string> writes; // the last write ids, in log order
  std::string hash;                // ConfigLog::HashAt(upTo)

  bool operator==(const SnapshotRecord&) const = default;
};

/// A daemon wants to run the action with this key.
struct ClaimRecord
{
  std::string service;
  std::string key;
  std::string bodyHash; // of method, target and body, hexadecimal
  std::string claim;    // random id; a repeated append has the same one
  std::string daemon;
  uint64_t incarnation = 0;
  std::string peerAddress; // where the holder can be asked
  // How long the claim is remembered after its log time. It stands in the record so that
  // all daemons forget a claim at the same position, whatever configuration they have.
  int64_t windowMs = 86'400'000;
  // The writer had read all records before this offset and the key had no claim.
  Offset asOf = 0;

  bool operator==(const ClaimRecord&) const = default;
};

/// The claim's action finished, or its outcome cannot be known.
struct OutcomeRecord
{
  std::string service;
  std::string key;
  std::string claim;
  bool isKnown = true; // false: the action may have run
  int status = 0;
  Headers headers;
  std::string body; // any bytes

  bool operator==(const OutcomeRecord&) const = default;
};

/// The claim was given up before its action was dispatched.
struct AbandonRecord
{
  std::string service;
  std::string key;
  std::string claim;

  bool operator==(const AbandonRecord&) const = default;
};

/// Carries an admitted claim and its outcome, if any, past the log's retention.
struct CarryRecord
{
  ClaimRecord claim;
  int64_t claimedMs = 0;  // log time of the first claim record
  Offset claimOffset = 0; // offset of the first claim record
  Offset asOf = 0;        // the writer had read all records before this offset
  bool hasOutcome = false;
  OutcomeRecord outcome;

  bool operator==(const CarryRecord&) const = default;
};

/// A record of a type that this version does not know.
struct UnknownRecord
{
  std::string type;

  bool operator==(const UnknownRecord&) const = default;
};

using Record =
  std::variant<PutRecord, DeleteRecord, SnapshotRecord, ClaimRecord, OutcomeRecord,
               AbandonRecord, CarryRecord, JobRecord, LeaseRecord, CheckpointRecord,
               DoneRecord, CancelRecord, ReleaseRecord, CarryJobRecord, UnknownRecord>;

/// Returns the record as one JSON object without line breaks.
std::string EncodeRecord(const Record& aRecord);

/// Parses a record. Fails with BadRequest and the name of the wrong field.
Result<Record> DecodeRecord(std::string_view aData);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_RECORDS_H_
