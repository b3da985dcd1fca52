#include "gooseberrypath/config_system.h"

#include <algorithm>
#include <array>
#include <ctime>

#include <nlohmann/json.hpp>

#include "gooseberrypath/membership_system.h"
#include "gooseberrypath/records.h"

namespace gooseberrypath {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPart = "config";
constexpr size_t kWriteIdDigits = 16;
// Repetitions of an append are spread out up to this pause, because all daemons share a
// limit of several hundred appends per second.
constexpr Duration kLongestPause = std::chrono::seconds(1);

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FormatTime(int64_t aMs)
{
  const std::time_t seconds = aMs / 1000;
  std::tm parts{};
  if (aMs < 0 || gmtime_r(&seconds, &parts) == nullptr) {
    return {};
  }
  std::array<char, 64> text{};
  const size_t size =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(1000 + aMs % 1000);
  fraction.front() = '.';
  return std::string(text.data(), size) + fraction + "Z";
}

/// Which daemons have applied a version. A daemon that is out of reach counts as missing
/// unless it said before that it has applied the version: it may still serve.
struct InForce
{
  size_t applied = 0;
  size_t daemons = 0;
  std::vector<std::string> missing;
};

InForce CountInForce(const World& aWorld, Offset aVersion)
{
  InForce result;
  const auto add = [&](const std::string& aDaemon, Offset aApplied) {
    ++result.daemons;
    if (aApplied >= aVersion) {
      ++result.applied;
    } else {
      result.missing.push_back(aDaemon);
    }
  };
  add(aWorld.options.daemon, aWorld.appliedConfig);
  for (const auto& [daemon, row] : aWorld.members) {
    add(daemon, row.digest.appliedConfig);
  }
  return result;
}

std::string_view NameOf(DaemonState aState)
{
  switch (aState) {
    case DaemonState::Starting:
      return "starting";
    case DaemonState::Serving:
      return "serving";
    case DaemonState::Draining:
      break;
  }
  return "draining";
}

std::string_view StateName(const World& aWorld, const BackendRow& aRow)
{
  if (aRow.gone) {
    return "gone";
  }
  if (aRow.leaving) {
    return "leaving";
  }
  return aRow.refusedUntil > aWorld.Now() ? "refusing" : "live";
}

Json StatusJson(const World& aWorld)
{
  Json daemons = Json::array();
  daemons.push_back({ { "daemon", aWorld.options.daemon },
                      { "state", NameOf(aWorld.state) },
                      { "appliedConfig", aWorld.appliedConfig },
                      { "reachable", true } });
  for (const auto& [daemon, row] : aWorld.members) {
    daemons.push_back({ { "daemon", daemon },
                        { "state", NameOf(row.digest.state) },
                        { "appliedConfig", row.digest.appliedConfig },
                        { "reachable", IsReachable(aWorld, row) } });
  }
  Json backends = Json::array();
  for (const auto& [id, row] : aWorld.backends) {
    backends.push_back({ { "id", id },
                         { "address", row.spec.address },
                         { "state", StateName(aWorld, row) },
                         { "inFlight", row.inFlight } });
  }
  const auto stream = aWorld.streams.find(kConfigStream);
  const StreamRow config = stream == aWorld.streams.end() ? StreamRow{} : stream->second;
  const auto count = [&](Counter aCounter) { return aWorld.counters.Get(aCounter); };
  return { { "daemon", aWorld.options.daemon },
           { "state", NameOf(aWorld.state) },
           { "appliedConfig", aWorld.appliedConfig },
           { "log",
             { { "reachable", aWorld.IsLogReachable(kConfigStream) },
               { "caughtUp", aWorld.IsCaughtUp() },
               { "next", config.next } } },
           { "daemons", std::move(daemons) },
           { "backends", std::move(backends) },
           { "counters",
             { { "recordsApplied", count(Counter::RecordsApplied) },
               { "recordsSkipped", count(Counter::RecordsSkipped) },
               { "writesAccepted", count(Counter::WritesAccepted) },
               { "writesRefused", count(Counter::WritesRefused) },
               { "appendFailures", count(Counter::AppendFailures) },
               { "logReadFailures", count(Counter::LogReadFailures) } } } };
}

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
    if (stream.next > 1) {
      world_.Log(LogLevel::Error, kPart,
                 "records " + std::to_string(stream.next) + " to " +
                   std::to_string(aBatch.start - 1) +
                   " were removed from the log before they were read");
    }
    stream.next = aBatch.start;
    world_.appliedConfig = stream.next - 1;
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
    Apply(entry);
    stream.next = entry.offset + 1;
    world_.appliedConfig = entry.offset;
  }
}

void ConfigSystem::Apply(const LogEntry& aEntry)
{
  const ConfigResult result = log_.Apply(world_.resources, aEntry);
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
      stream->second.next < stream->second.targetHead) {
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
                               .body = Dump({ { "kind", aWrite.kind },
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
  world_.Emit(OperatorReply{ .write = aStatus.write, .body = Dump(StatusJson(world_)) });
}

void ConfigSystem::Process(const OperatorDrain& aDrain)
{
  if (world_.state != DaemonState::Draining) {
    world_.state = DaemonState::Draining;
    world_.drainStarted = world_.Now();
    WakeAt(world_.Now() + world_.options.drainDelay);
    world_.Log(LogLevel::Info, kPart, "the planned stop began");
  }
  if (aDrain.write.value != 0) {
    world_.Emit(OperatorReply{
      .write = aDrain.write, .status = 202, .body = R"({"state":"draining"})" });
  }
}

void ConfigSystem::RunState()
{
  if (world_.state == DaemonState::Starting && world_.IsCaughtUp()) {
    world_.state = DaemonState::Serving;
    world_.Log(LogLevel::Info, kPart, "the daemon is ready");
  }
  if (world_.state != DaemonState::Draining) {
    return;
  }
  if (world_.Now() >= world_.drainStarted + world_.options.drainDelay) {
    world_.refusesRequests = true;
  }
  // Operators' writes are requests too: their fate is told before the exit.
  if (!world_.refusesRequests || isExitSent_ || !world_.requests.IsEmpty() ||
      world_.heldJobs > 0 || !pending_.empty()) {
    return;
  }
  for (const WaitingRead& read : std::exchange(reads_, {})) {
    ReplyRead(read.read);
  }
  isExitSent_ = true;
  world_.Emit(ExitProcess{});
}

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
    .write = aRequest, .status = InfoOf(aError.kind).status, .body = Dump(body) });
}

void ConfigSystem::ReplyAccepted(WriteId aRequest, const ResourceId& aId, Offset aVersion)
{
  const InForce inForce = CountInForce(world_, aVersion);
  world_.Emit(OperatorReply{ .write = aRequest,
                             .status = 200,
                             .body = Dump({ { "kind", aId.first },
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
  world_.Emit(OperatorReply{ .write = aRead.write,
                             .status = 200,
                             .body = Dump({ { "applied", world_.appliedConfig },
                                            { "resources", std::move(resources) } }) });
}

void ConfigSystem::WakeAt(TimePoint aTime)
{
  world_.timers.SubscribeAt(aTime, [](TimePoint) {});
}

} // namespace gooseberrypath
