// Records of the stream "jobs", which describes queued requests, and their JSON form. Use
// EncodeRecord() and DecodeRecord() of records.h.

#ifndef GOOSEBERRYPATH_JOB_RECORDS_H_
#define GOOSEBERRYPATH_JOB_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

inline constexpr std::string_view kJobStream = "jobs";

/// A caller's queued request. It may run after the first lease, which only the daemon
/// that wrote this record can take.
struct JobRecord
{
  std::string job; // random id; a repeated append has the same one
  std::string service;
  std::string team;
  std::string body; // the chat-completions request
  std::string daemon;
  uint64_t incarnation = 0;
  int64_t deadlineMs = 0;        // after the record's log time
  int64_t windowMs = 86'400'000; // the job is forgotten this long after its end
  // The writer had read all records before this offset when it chose the id.
  Offset asOf = 0;

  bool operator==(const JobRecord&) const = default;
};

/// A daemon wants to run the job. The record's offset is the fencing token of the lease.
struct LeaseRecord
{
  std::string job;
  std::string daemon;
  uint64_t incarnation = 0;
  Offset supersedes = 0; // the lease that it replaces; 0: none

  bool operator==(const LeaseRecord&) const = default;
};

/// Tokens that the holder received. Without tokens it only shows that the holder lives.
struct CheckpointRecord
{
  std::string job;
  Offset lease = 0;
  uint64_t from = 0; // position of the first token in the answer
  std::vector<std::string> tokens;

  bool operator==(const CheckpointRecord&) const = default;
};

/// The job ended with the tokens so far and these last ones, or with an error.
struct DoneRecord
{
  std::string job;
  Offset lease = 0;
  uint64_t from = 0;
  std::vector<std::string> tokens;
  std::string finishReason;
  std::string error; // JSON error object; empty: success

  bool operator==(const DoneRecord&) const = default;
};

/// The caller cancelled the job, or its daemon gave it up before it was accepted.
struct CancelRecord
{
  std::string job;

  bool operator==(const CancelRecord&) const = default;
};

/// The holder stops and leaves the job, with its last tokens, to any other daemon.
struct ReleaseRecord
{
  std::string job;
  Offset lease = 0;
  uint64_t from = 0;
  std::vector<std::string> tokens;

  bool operator==(const ReleaseRecord&) const = default;
};

/// The state of a job, past the log's retention.
struct CarryJobRecord
{
  JobRecord proposal;
  Offset asOf = 0;     // the writer had read all records before this offset
  Offset revision = 0; // the newest record that the state includes
  std::string state;
  std::string holder;
  uint64_t holderIncarnation = 0;
  Offset lease = 0;
  std::vector<std::string> tokens;
  std::string finishReason;
  std::string error;
  int64_t createdMs = 0;
  int64_t endedMs = 0;

  bool operator==(const CarryJobRecord&) const = default;
};

using JobStreamRecord = std::variant<JobRecord, LeaseRecord, CheckpointRecord, DoneRecord,
                                     CancelRecord, ReleaseRecord, CarryJobRecord>;

class FieldReader;

nlohmann::json ToJson(const JobRecord& aRecord);
nlohmann::json ToJson(const LeaseRecord& aRecord);
nlohmann::json ToJson(const CheckpointRecord& aRecord);
nlohmann::json ToJson(const DoneRecord& aRecord);
nlohmann::json ToJson(const CancelRecord& aRecord);
nlohmann::json ToJson(const ReleaseRecord& aRecord);
nlohmann::json ToJson(const CarryJobRecord& aRecord);

/// Reads a record of this type, or returns nothing if the type is not of this stream.
/// Wrong fields are noted in the reader.
std::optional<JobStreamRecord> ReadJobRecord(std::string_view aType,
                                             FieldReader& aFields);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_JOB_RECORDS_H_
