#include "gooseberrypath/config_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>

#include <xxhash.h>

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

Result<Change> ToChange(Result<Record>& aRecord)
{
  if (!aRecord) {
    return tl::unexpected<Error>(aRecord.error());
  }
  if (auto* put = std::get_if<PutRecord>(&*aRecord)) {
    return Change{ .id = { put->kind, put->name },
                   .base = put->base,
                   .write = put->write,
                   .spec = std::move(put->spec) };
  }
  if (auto* del = std::get_if<DeleteRecord>(&*aRecord)) {
    return Change{ .id = { del->kind, del->name },
                   .base = del->base,
                   .write = del->write,
                   .spec = {},
                   .isDelete = true };
  }
  return MakeError(ErrorKind::BadRequest, "the type is not known in stream config");
}

uint64_t HashOf(const ResourceId& aId, const ResourceRow& aRow)
{
  // Lengths keep the parts apart.
  std::string text;
  for (const std::string& part : { aId.first, aId.second, std::to_string(aRow.version),
                                   std::to_string(aRow.sinceMs), aRow.json }) {
    text += std::to_string(part.size()) + ':' + part;
  }
  return XXH3_64bits(text.data(), text.size());
}

std::string ToHex(uint64_t aHash)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(aHash));
  return text.data();
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
  Result<Record> record = DecodeRecord(aEntry.data);
  if (record && std::holds_alternative<SnapshotRecord>(*record)) {
    return CheckSnapshot(std::get<SnapshotRecord>(*record));
  }
  Result<Change> change = ToChange(record);
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
  const auto old = aResources.find(change->id);
  const uint64_t removed = old == aResources.end() ? 0 : HashOf(old->first, old->second);
  uint64_t added = 0;
  if (change->isDelete) {
    aResources.erase(change->id);
  } else {
    const auto placed = aResources.insert_or_assign(
      change->id, ResourceRow{ .version = aEntry.offset,
                               .sinceMs = aEntry.timeMs,
                               .json = std::move(change->spec),
                               .spec = std::move(spec) });
    added = HashOf(change->id, placed.first->second);
  }
  Rehash(aEntry.offset, removed, added);
  result.current = VersionOf(aResources, change->id);
  result.how = How::Accepted;
  return result;
}

void ConfigLog::Rehash(Offset aOffset, uint64_t aRemoved, uint64_t aAdded)
{
  hash_ = hash_ - aRemoved + aAdded;
  hashes_.emplace_back(aOffset, hash_);
  if (hashes_.size() > kKeptHashes) {
    hashes_.pop_front();
  }
}

std::optional<std::string> ConfigLog::HashAt(Offset aOffset) const
{
  const auto after =
    std::ranges::upper_bound(hashes_, aOffset, {}, &std::pair<Offset, uint64_t>::first);
  if (after == hashes_.begin()) {
    return std::nullopt;
  }
  return ToHex(std::prev(after)->second);
}

ConfigResult ConfigLog::CheckSnapshot(const SnapshotRecord& aSnapshot) const
{
  const std::optional<std::string> own = HashAt(aSnapshot.upTo);
  ConfigResult result;
  result.how = ConfigResult::How::Snapshot;
  result.current = aSnapshot.upTo;
  result.differs = own && *own != aSnapshot.hash;
  return result;
}

SnapshotRecord ConfigLog::MakeSnapshot(const ResourceTable& aResources,
                                       Offset aUpTo) const
{
  SnapshotRecord snapshot{
    .upTo = aUpTo, .resources = {}, .writes = {}, .hash = ToHex(hash_)
  };
  for (const auto& [id, row] : aResources) {
    snapshot.resources.push_back({ .kind = id.first,
                                   .name = id.second,
                                   .version = row.version,
                                   .sinceMs = row.sinceMs,
                                   .spec = row.json });
  }
  const size_t count = std::min(order_.size(), kSnapshotWrites);
  snapshot.writes.assign(order_.end() - static_cast<std::ptrdiff_t>(count), order_.end());
  return snapshot;
}

Result<void> ConfigLog::Restore(ResourceTable& aResources,
                                const SnapshotRecord& aSnapshot)
{
  ResourceTable resources;
  uint64_t hash = 0;
  for (const SnapshotResource& one : aSnapshot.resources) {
    Result<Spec> spec = ParseSpec(one.kind, one.spec);
    if (!spec) {
      return MakeError(ErrorKind::BadRequest, one.kind + " \"" + one.name + "\" of the " +
                                                "snapshot: " + spec.error().message);
    }
    const ResourceId id{ one.kind, one.name };
    const auto placed =
      resources.insert_or_assign(id, ResourceRow{ .version = one.version,
                                                  .sinceMs = one.sinceMs,
                                                  .json = one.spec,
                                                  .spec = std::move(*spec) });
    hash += HashOf(id, placed.first->second);
  }
  if (ToHex(hash) != aSnapshot.hash) {
    return MakeError(ErrorKind::BadRequest, "the hash of the snapshot is wrong");
  }
  aResources = std::move(resources);
  writes_.clear();
  order_.clear();
  for (const std::string& write : aSnapshot.writes) {
    Remember(write);
  }
  hash_ = hash;
  hashes_ = { { aSnapshot.upTo, hash } };
  return {};
}

} // namespace gooseberrypath
