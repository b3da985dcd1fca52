#include "gooseberrypath/config_system.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "gooseberrypath/config_status.h"
#include "gooseberrypath/records.h"

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

/// Hand-over begins this long before the time limit of a stop, or at half of it: several
/// peers may have to be asked.
constexpr Duration kHandOverTime = std::chrono::seconds(1);
constexpr std::string_view kPart = "config";
constexpr size_t kWriteIdDigits = 16;
// Repetitions of an append are spread out up to this pause, because all daemons share a
// limit of several hundred appends per second.
constexpr Duration kLongestPause = std::chrono::seconds(1);
/// A planned stop waits for the log this long to record the last outcomes.
constexpr Duration kMaxRecordTime = std::chrono::seconds(10);

Error ConflictError(Offset aCurrent)
{
  return { ErrorKind::VersionConflict,
           "the current version is " + std::to_string(aCurrent) };
}

} // namespace

void ConfigSystem::Handle(const LogBatch& aEvent)
{
  if (aEvent.stream == kConfigStream) {
    inbox_.emplace_back(aEvent);
  }
}

void ConfigSystem::Handle(const LogReadFailed& aEvent)
{
  if (aEvent.stream == kConfigStream) {
    world_.counters.Add(Counter::LogReadFailures);
  }
}

void ConfigSystem::Run()
{
  for (const auto& event : std::exchange(inbox_, {})) {
    std::visit([this](const auto& aOne) { Process(aOne); }, event);
  }
  RunWrites();
  RunReads();
  snapshots_.Run();
  RunState();
}

void ConfigSystem::Process(const LogBatch& aBatch)
{
  StreamRow& stream = world_.streams[std::string(kConfigStream)];
  stream.lastContact = world_.Now();
  if (!stream.contacted) {
    stream.contacted = true;
    stream.targetHead = aBatch.head;
  }
  if (aBatch.start > stream.next) {
    world_.Log(LogLevel::Warning, kPart,
               "records " + std::to_string(stream.next) + " to " +
                 std::to_string(aBatch.start - 1) +
                 " were removed before they were read; a snapshot is awaited");
    stream.next = aBatch.start;
    snapshots_.Await(aBatch.start);
  }
  for (const LogEntry& entry : aBatch.entries) {
    if (entry.offset < stream.next) {
      continue;
    }
    if (entry.offset > stream.next) {
      // Applying records after a gap could lead to another state than on other daemons.
      world_.Log(LogLevel::Error, kPart,
                 "record " + std::to_string(entry.offset) + " came where record " +
                   std::to_string(stream.next) + " was expected; it is ignored");
      break;
    }
    stream.next = entry.offset + 1;
    if (world_.awaitsConfigSnapshot) {
      for (const LogEntry& one : snapshots_.Collect(entry)) {
        Apply(one);
        world_.appliedConfig = one.offset;
      }
    } else {
      Apply(entry);
      world_.appliedConfig = entry.offset;
    }
  }
  snapshots_.CheckRetention(aBatch.start, aBatch.head);
}

void ConfigSystem::Apply(const LogEntry& aEntry)
{
  const ConfigResult result = world_.configLog.Apply(world_.resources, aEntry);
  if (result.how == ConfigResult::How::Snapshot) {
    snapshots_.See(aEntry, result);
    return;
  }
  if (result.how == ConfigResult::How::Skipped) {
    world_.counters.Add(Counter::RecordsSkipped);
    world_.Log(LogLevel::Warning, kPart,
               "record " + std::to_string(aEntry.offset) +
                 " is skipped: " + result.message);
  } else if (result.how == ConfigResult::How::Accepted) {
    world_.counters.Add(Counter::RecordsApplied);
  }
  const auto found = pending_.find(result.write);
  if (found == pending_.end()) {
    return;
  }
  const WriteId request = found->second.request;
  pending_.erase(found);
  switch (result.how) {
    case ConfigResult::How::Accepted:
      // The daemon counts as having applied the record in the reply.
      world_.appliedConfig = aEntry.offset;
      world_.counters.Add(Counter::WritesAccepted);
      ReplyAccepted(request, result.id, aEntry.offset);
      break;
    case ConfigResult::How::Conflict:
      ReplyError(request, ConflictError(result.current), result.current);
      break;
    default:
      ReplyError(request, { ErrorKind::ResourceInvalid, result.message });
      break;
  }
}

Result<Offset> ConfigSystem::CheckWrite(const OperatorWrite& aWrite) const
{
  const auto stream = world_.streams.find(kConfigStream);
  if (stream == world_.streams.end() || !stream->second.contacted ||
      stream->second.next < stream->second.targetHead || world_.awaitsConfigSnapshot) {
    return MakeError(ErrorKind::NotReady, "the configuration has not been read yet");
  }
  const ResourceId id{ aWrite.kind, aWrite.name };
  if (const Result<void> name = CheckName(aWrite.name); !name) {
    return tl::unexpected<Error>(name.error());
  }
  Result<Spec> spec;
  if (!aWrite.isDelete) {
    spec = ParseSpec(aWrite.kind, aWrite.spec);
    if (!spec) {
      return tl::unexpected<Error>(spec.error());
    }
  }
  const Offset current = VersionOf(world_.resources, id);
  const Offset base = aWrite.base.value_or(current);
  // This daemon may be behind the log, so only a dry run is refused for a newer base.
  if (base < current || (aWrite.isDryRun && base != current)) {
    return tl::unexpected<Error>(ConflictError(current));
  }
  if (aWrite.isDelete && base == 0) {
    return MakeError(ErrorKind::ResourceNotFound,
                     "there is no " + aWrite.kind + " \"" + aWrite.name + "\"");
  }
  const Result<void> checked = aWrite.isDelete
                                 ? CheckDeletion(world_.resources, id)
                                 : CheckReferences(world_.resources, id, *spec);
  if (!checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return base;
}

void ConfigSystem::Process(const OperatorWrite& aWrite)
{
  const ResourceId id{ aWrite.kind, aWrite.name };
  const Result<Offset> base = CheckWrite(aWrite);
  if (!base) {
    const bool isConflict = base.error().kind == ErrorKind::VersionConflict;
    ReplyError(aWrite.write, base.error(),
               isConflict ? VersionOf(world_.resources, id) : 0);
    return;
  }
  if (aWrite.isDryRun) {
    world_.Emit(OperatorReply{ .write = aWrite.write,
                               .status = 200,
                               .body = DumpJson({ { "kind", aWrite.kind },
                                                  { "name", aWrite.name },
                                                  { "version", *base },
                                                  { "dryRun", true } }) });
    return;
  }
  if (!world_.IsLogReachable(kConfigStream)) {
    ReplyError(aWrite.write, { ErrorKind::LogUnavailable,
                               "the log is out of reach; nothing was written" });
    return;
  }
  // Daemon and incarnation keep ids apart if two daemons were given the same seed.
  const std::string write = world_.options.daemon + "-" +
                            std::to_string(world_.options.incarnation) + "-" +
                            world_.RandomHex(kWriteIdDigits);
  const Record record =
    aWrite.isDelete
      ? Record(DeleteRecord{ aWrite.kind, aWrite.name, *base, write })
      : Record(PutRecord{ aWrite.kind, aWrite.name, *base, write, aWrite.spec });
  PendingWrite pending;
  pending.request = aWrite.write;
  pending.data = EncodeRecord(record);
  pending.due = world_.Now() + world_.options.writeTimeout;
  pending.pause = world_.options.appendRetry;
  WakeAt(pending.due);
  Append(pending_.emplace(write, std::move(pending)).first->second);
}

void ConfigSystem::Append(PendingWrite& aWrite)
{
  const auto id = world_.NewId<AppendId>();
  aWrite.open.insert(id);
  aWrite.retryAt = world_.Now() + aWrite.pause;
  aWrite.pause =
    std::max(world_.options.appendRetry, std::min(aWrite.pause * 2, kLongestPause));
  WakeAt(aWrite.retryAt);
  world_.Emit(AppendRecord{
    .append = id, .stream = std::string(kConfigStream), .data = aWrite.data });
}

ConfigSystem::Pending::iterator ConfigSystem::FindAppend(AppendId aAppend)
{
  return std::ranges::find_if(
    pending_, [&](const auto& aItem) { return aItem.second.open.contains(aAppend); });
}

void ConfigSystem::Process(const AppendDone& aEvent)
{
  const auto found = FindAppend(aEvent.append);
  if (found != pending_.end()) {
    found->second.open.erase(aEvent.append);
    found->second.mayBeStored = true;
    found->second.isStored = true;
  }
}

void ConfigSystem::Process(const AppendFailed& aEvent)
{
  const auto found = FindAppend(aEvent.append);
  if (found != pending_.end()) {
    world_.counters.Add(Counter::AppendFailures);
    found->second.open.erase(aEvent.append);
    found->second.mayBeStored = found->second.mayBeStored || aEvent.mayBeStored;
  }
}

void ConfigSystem::RunWrites()
{
  const TimePoint now = world_.Now();
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingWrite& write = it->second;
    if (now < write.due) {
      if (!write.isStored && now >= write.retryAt) {
        Append(write);
      }
      ++it;
      continue;
    }
    if (write.mayBeStored || !write.open.empty()) {
      ReplyError(write.request,
                 { ErrorKind::WriteUnknown, "the log did not answer in time; write " +
                                              it->first + " may be in force later" },
                 0, it->first);
    } else {
      ReplyError(write.request,
                 { ErrorKind::LogUnavailable, "the log refused the record" });
    }
    it = pending_.erase(it);
  }
}

void ConfigSystem::Process(const OperatorRead& aRead)
{
  if (aRead.wait <= Duration::zero()) {
    ReplyRead(aRead);
    return;
  }
  reads_.push_back({ aRead, world_.Now() + aRead.wait });
  WakeAt(reads_.back().due);
}

void ConfigSystem::RunReads()
{
  const auto isDue = [this](const WaitingRead& aRead) {
    return world_.appliedConfig > aRead.read.after || world_.Now() >= aRead.due;
  };
  for (const WaitingRead& read : reads_) {
    if (isDue(read)) {
      ReplyRead(read.read);
    }
  }
  std::erase_if(reads_, isDue);
}

void ConfigSystem::Process(const OperatorStatus& aStatus)
{
  world_.Emit(OperatorReply{ .write = aStatus.write, .body = RenderStatus(world_) });
}

/// The loss of the daemon's own host is a planned stop with a time limit.
void ConfigSystem::Handle(const ReclaimNotice& aEvent)
{
  if (!world_.options.host.empty() && aEvent.host == world_.options.host) {
    inbox_.emplace_back(OperatorDrain{ .write = {}, .within = aEvent.timeLeft });
  }
}

void ConfigSystem::Process(const OperatorDrain& aDrain)
{
  if (world_.state != DaemonState::Draining) {
    world_.state = DaemonState::Draining;
    world_.drainStarted = world_.Now();
    WakeAt(world_.Now() + world_.options.drainDelay);
    world_.Log(LogLevel::Info, kPart, "the planned stop began");
  }
  if (aDrain.within) {
    const TimePoint due =
      world_.Now() + *aDrain.within - std::min(kHandOverTime, *aDrain.within / 2);
    world_.handOverAt = std::min(due, world_.handOverAt.value_or(due));
    WakeAt(*world_.handOverAt);
  }
  if (aDrain.write.value != 0) {
    world_.Emit(OperatorReply{
      .write = aDrain.write, .status = 202, .body = R"({"state":"draining"})" });
  }
}

/// Tells whether the outcomes of this daemon's actions are in the log, or have been
/// waited for long enough. An outcome that is lost with the daemon stays unknown for
/// ever.
bool ConfigSystem::AreOutcomesRecorded()
{
  if (world_.claimEnds.empty() && world_.unrecordedEnds == 0) {
    return true;
  }
  if (!idleSince_) {
    idleSince_ = world_.Now();
    world_.timers.SubscribeAt(world_.Now() + kMaxRecordTime, [](TimePoint) {});
  }
  return world_.Now() >= *idleSince_ + kMaxRecordTime;
}

void ConfigSystem::RunState()
{
  const bool isCaughtUp = world_.IsCaughtUp();
  if (world_.state == DaemonState::Starting && (isCaughtUp || world_.usesPeerConfig)) {
    world_.state = DaemonState::Serving;
    world_.Log(LogLevel::Info, kPart, "the daemon is ready");
  }
  world_.usesPeerConfig = world_.usesPeerConfig && !isCaughtUp;
  if (world_.state != DaemonState::Draining) {
    return;
  }
  if (world_.Now() >= world_.drainStarted + world_.options.drainDelay ||
      world_.IsHandOverDue()) {
    world_.refusesRequests = true;
  }
  // Operators' writes are requests too: their fate is told before the exit.
  if (!world_.refusesRequests || isExitSent_ || !world_.requests.IsEmpty() ||
      !world_.streamReaders.IsEmpty() || !world_.endedStreams.IsEmpty() ||
      world_.heldJobs > 0 || !pending_.empty()) {
    return;
  }
  if (!AreOutcomesRecorded()) {
    return;
  }
  for (const WaitingRead& read : std::exchange(reads_, {})) {
    ReplyRead(read.read);
  }
  isExitSent_ = true;
  world_.Emit(ExitProcess{});
}

void ConfigSystem::WakeAt(TimePoint aTime)
{
  world_.timers.SubscribeAt(aTime, [](TimePoint) {});
}

} // namespace gooseberrypath
