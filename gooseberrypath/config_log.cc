#include "gooseberrypath/config_log.h"

#include "gooseberrypath/records.h"

namespace gooseberrypath {

namespace {

constexpr size_t kMaxWriteId = 256;

/// The parts that both types of record have.
struct Change
{
  ResourceId id;
  Offset base = 0;
  std::string write;
  std::string spec;
  bool isDelete = false;
};

Result<Change> DecodeChange(std::string_view aData)
{
  Result<Record> record = DecodeRecord(aData);
  if (!record) {
    return tl::unexpected<Error>(record.error());
  }
  if (auto* put = std::get_if<PutRecord>(&*record)) {
    return Change{ .id = { put->kind, put->name },
                   .base = put->base,
                   .write = put->write,
                   .spec = std::move(put->spec) };
  }
  if (auto* del = std::get_if<DeleteRecord>(&*record)) {
    return Change{ .id = { del->kind, del->name },
                   .base = del->base,
                   .write = del->write,
                   .spec = {},
                   .isDelete = true };
  }
  return MakeError(ErrorKind::BadRequest, "the type is not known in stream config");
}

} // namespace

Offset VersionOf(const ResourceTable& aResources, const ResourceId& aId)
{
  const auto found = aResources.find(aId);
  return found == aResources.end() ? 0 : found->second.version;
}

bool ConfigLog::Remember(const std::string& aWrite)
{
  if (!writes_.insert(aWrite).second) {
    return false;
  }
  order_.push_back(aWrite);
  if (order_.size() > kKeptWrites) {
    writes_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

ConfigResult ConfigLog::Apply(ResourceTable& aResources, const LogEntry& aEntry)
{
  using How = ConfigResult::How;
  ConfigResult result;
  Result<Change> change = DecodeChange(aEntry.data);
  if (!change) {
    result.message = change.error().message;
    return result;
  }
  if (change->write.empty() || change->write.size() > kMaxWriteId) {
    result.message = "write: allowed are 1 to 256 bytes";
    return result;
  }
  result.write = change->write;
  result.id = change->id;
  result.current = VersionOf(aResources, change->id);
  const auto skip = [&](const Error& aError) {
    result.message = aError.message;
    return result;
  };

  // The id of a refused or skipped record is remembered too: its writer was told that it
  // is not in force, and a late repetition must not put it in force.
  if (!Remember(change->write)) {
    result.how = How::Repeated;
    result.message = "the write id was used before";
    return result;
  }
  Spec spec;
  if (!change->isDelete) {
    if (const Result<void> name = CheckName(change->id.second); !name) {
      return skip(name.error());
    }
    Result<Spec> parsed = ParseSpec(change->id.first, change->spec);
    if (!parsed) {
      return skip(parsed.error());
    }
    spec = std::move(*parsed);
  }
  if (change->base != result.current) {
    result.how = How::Conflict;
    return result;
  }
  if (change->isDelete && result.current == 0) {
    return skip({ ErrorKind::ResourceNotFound, "there is no such resource" });
  }
  const Result<void> checked = change->isDelete
                                 ? CheckDeletion(aResources, change->id)
                                 : CheckReferences(aResources, change->id, spec);
  if (!checked) {
    return skip(checked.error());
  }
  if (change->isDelete) {
    aResources.erase(change->id);
  } else {
    aResources.insert_or_assign(change->id, ResourceRow{ .version = aEntry.offset,
                                                         .sinceMs = aEntry.timeMs,
                                                         .json = std::move(change->spec),
                                                         .spec = std::move(spec) });
  }
  result.current = VersionOf(aResources, change->id);
  result.how = How::Accepted;
  return result;
}

} // namespace gooseberrypath
