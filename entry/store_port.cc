#include "entry/store_port.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "entry/store_polling.h"
#include "gooseberrypath/http_io.h"
#include "platform/resource_format.h"

namespace gooseberrypath::entry {

namespace {

// One failed call may be a lost answer; the store is out of reach after this many in a
// row.
constexpr int kFailuresUntilLost = 2;

} // namespace

StorePort::StorePort(StorePortOptions aOptions)
  : options_(std::move(aOptions))
  , config_({ options_.network, options_.timer, options_.address })
  , fleet_({ options_.network, options_.timer, options_.address })
  , calls_({ options_.network, options_.timer, options_.address })
  , tasks_(errors_)
{
}

void StorePort::Start()
{
  tasks_.add(FollowConfig());
  tasks_.add(FollowFleet());
  tasks_.add(Announce());
}

kj::Promise<void> StorePort::Pause(Duration aTime)
{
  return options_.timer.afterDelay(Jittered(aTime));
}

kj::Promise<void> StorePort::PauseFailed()
{
  return Pause(StoreRetryDelay(readers_));
}

kj::Promise<void> StorePort::FollowConfig()
{
  if (!configNext_) {
    return config_.Newest(platform::kConfigTopic)
      .then([this](Result<platform::NewestRecords> aNewest) {
        NoteAnswer(aNewest ? "" : aNewest.error().message);
        if (!aNewest) {
          return PauseFailed();
        }
        configNext_ = aNewest->end;
        TakeConfig(aNewest->records);
        return kj::Promise<void>(kj::READY_NOW);
      })
      .catch_([this](kj::Exception&& aError) { return PauseUnexpected(kj::mv(aError)); })
      .then([this] { return FollowConfig(); });
  }
  return config_.Read(platform::kConfigTopic, *configNext_, options_.configWait)
    .then([this](Result<platform::ReadRecords> aRead) {
      NoteAnswer(aRead ? "" : aRead.error().message);
      if (!aRead) {
        return PauseFailed();
      }
      if (aRead->isTooOld) {
        configNext_.reset();
        return kj::Promise<void>(kj::READY_NOW);
      }
      configNext_ = aRead->next;
      TakeConfig(aRead->records);
      return aRead->records.empty() ? kj::Promise<void>(kj::READY_NOW)
                                    : Pause(options_.configPause);
    })
    .catch_([this](kj::Exception&& aError) { return PauseUnexpected(kj::mv(aError)); })
    .then([this] { return FollowConfig(); });
}

kj::Promise<void> StorePort::PauseUnexpected(kj::Exception&& aError)
{
  Warn("store_reading_failed", {}, aError.getDescription().cStr());
  return PauseFailed();
}

kj::Promise<void> StorePort::PauseFleet()
{
  auto asked = kj::newPromiseAndFulfiller<void>();
  fleetAsked_ = kj::mv(asked.fulfiller);
  return Pause(FleetPollInterval(readers_)).exclusiveJoin(asked.promise.then([this] {
    return Pause(FleetBatchDelay(readers_));
  }));
}

void StorePort::Execute(const ReadFleet& aAction)
{
  const bool isKnown = fleetNext_ && *fleetNext_ >= aAction.offset;
  if (!isKnown && fleetAsked_.get() != nullptr) {
    fleetAsked_->fulfill();
  }
}

void StorePort::Execute(const SkipFleetRecords& aAction)
{
  if (fleetNext_) {
    fleetNext_ = std::max(*fleetNext_, aAction.next);
  }
}

void StorePort::Execute(const SetReaderCount& aAction)
{
  // A daemon that no longer hears most others must not wait for them.
  const bool isAlone = isReadersKnown_ && 2 * aAction.count < readers_;
  isReadersKnown_ = true;
  readers_ = aAction.count;
  if (isAlone && fleetAsked_.get() != nullptr) {
    fleetAsked_->fulfill();
  }
}

void StorePort::Execute(const ReadConfiguration& aAction)
{
  // The long read should have brought it; its connection may be silent.
  if (aAction.version <= configVersion_ || isReadingNewest_) {
    return;
  }
  isReadingNewest_ = true;
  tasks_.add(Pause(options_.configPause)
               .then([this] { return calls_.Newest(platform::kConfigTopic); })
               .then([this](const Result<platform::NewestRecords>& aNewest) {
                 isReadingNewest_ = false;
                 if (aNewest) {
                   TakeConfig(aNewest->records);
                 }
               }));
}

kj::Promise<void> StorePort::FollowFleet()
{
  if (!fleetNext_) {
    return fleet_.Newest(platform::kFleetTopic)
      .then([this](Result<platform::NewestRecords> aNewest) {
        NoteAnswer(aNewest ? "" : aNewest.error().message);
        if (!aNewest) {
          return PauseFailed();
        }
        fleetNext_ = aNewest->end;
        TakeFleet(aNewest->records, { .isSnapshot = true, .next = aNewest->end });
        return PauseFleet();
      })
      .catch_([this](kj::Exception&& aError) { return PauseUnexpected(kj::mv(aError)); })
      .then([this] { return FollowFleet(); });
  }
  return fleet_.Read(platform::kFleetTopic, *fleetNext_, Duration::zero())
    .then([this](Result<platform::ReadRecords> aRead) {
      NoteAnswer(aRead ? "" : aRead.error().message);
      if (!aRead) {
        return PauseFailed();
      }
      if (aRead->isTooOld) {
        fleetNext_.reset();
        return kj::Promise<void>(kj::READY_NOW);
      }
      fleetNext_ = std::max(*fleetNext_, aRead->next);
      TakeFleet(aRead->records, { .next = aRead->next });
      return PauseFleet();
    })
    .catch_([this](kj::Exception&& aError) { return PauseUnexpected(kj::mv(aError)); })
    .then([this] { return FollowFleet(); });
}

kj::Promise<void> StorePort::Announce()
{
  return calls_
    .Append(platform::kDaemonsTopic, { options_.host, options_.peerAddress },
            std::nullopt)
    .then([this](const Result<platform::AppendResult>& aWritten) -> kj::Promise<void> {
      if (!aWritten) {
        return Pause(5 * StoreRetryDelay(readers_)).then([this] { return Announce(); });
      }
      return calls_.Newest(platform::kDaemonsTopic)
        .then([this](Result<platform::NewestRecords> aNewest) -> kj::Promise<void> {
          if (!aNewest) {
            return Pause(5 * StoreRetryDelay(readers_)).then([this] {
              return Announce();
            });
          }
          PeersListed listed;
          for (const platform::KeyedRecord& record : aNewest->records) {
            if (record.value) {
              listed.addresses.push_back(*record.value);
            }
          }
          options_.sink(std::move(listed));
          return kj::READY_NOW;
        });
    });
}

void StorePort::TakeConfig(const std::vector<platform::KeyedRecord>& aRecords)
{
  // Only the last version matters; the ones before it were in force for no time.
  for (size_t i = aRecords.size(); i-- > 0;) {
    const platform::KeyedRecord& record = aRecords[i];
    if (record.key != platform::kConfigKey || !record.value) {
      continue;
    }
    auto configuration = platform::DecodeConfiguration(*record.value);
    if (!configuration) {
      Warn("configuration_malformed", record.key, configuration.error().message);
      continue;
    }
    configVersion_ = std::max(configVersion_, configuration->version);
    options_.sink(ConfigurationRead{
      std::make_shared<const Configuration>(*std::move(configuration)) });
    return;
  }
}

void StorePort::TakeFleet(const std::vector<platform::KeyedRecord>& aRecords,
                          FleetRead aRead)
{
  for (const platform::KeyedRecord& record : aRecords) {
    if (!record.value) {
      aRead.changes.emplace_back(BackendRemoved{ record.key });
      continue;
    }
    auto entry = platform::DecodeBackendEntry(record.key, *record.value);
    if (entry) {
      aRead.changes.emplace_back(*std::move(entry));
    } else {
      Warn("backend_entry_malformed", record.key, entry.error().message);
    }
  }
  if (aRead.isSnapshot || !aRead.changes.empty()) {
    options_.sink(std::move(aRead));
  }
}

void StorePort::NoteAnswer(const std::string& aError)
{
  failures_ = aError.empty() ? 0 : failures_ + 1;
  if (!aError.empty() && failures_ < kFailuresUntilLost) {
    return;
  }
  const bool isReachable = aError.empty();
  if (isReachable_ == isReachable) {
    return;
  }
  isReachable_ = isReachable;
  options_.sink(StoreReachabilityChanged{ isReachable, aError });
}

void StorePort::Warn(std::string aEvent, std::string aKey, const std::string& aReason)
{
  options_.sink(RecordIgnored{ std::move(aEvent), std::move(aKey), aReason });
}

void StorePort::Execute(const ReadDutyState&)
{
  tasks_.add(calls_.Newest(platform::kDutyTopic)
               .then([this](Result<platform::NewestRecords> aNewest) {
                 DutyStateRead event{ .isRead = aNewest.has_value() };
                 if (aNewest) {
                   event.end = aNewest->end;
                   for (const platform::KeyedRecord& record : aNewest->records) {
                     if (record.key == platform::kDutyKey) {
                       event.text = record.value.value_or("");
                     }
                   }
                 }
                 if (!aNewest) {
                   event.reason = aNewest.error().message;
                 }
                 options_.sink(std::move(event));
               }));
}

void StorePort::Execute(const WriteDutyState& aAction)
{
  tasks_.add(calls_
               .Append(platform::kDutyTopic,
                       { std::string(platform::kDutyKey), aAction.text }, aAction.at)
               .then([this](Result<platform::AppendResult> aResult) {
                 DutyStateWritten event;
                 if (aResult) {
                   event.outcome =
                     aResult->isWritten ? WriteOutcome::Written : WriteOutcome::Conflict;
                   event.end = aResult->end;
                 }
                 if (event.outcome != WriteOutcome::Written) {
                   event.reason =
                     aResult ? "another write came first" : aResult.error().message;
                 }
                 options_.sink(std::move(event));
               }));
}

void StorePort::Execute(const WriteUsage& aAction)
{
  tasks_.add(
    calls_.Append(platform::kUsageTopic, { options_.host, aAction.text }, std::nullopt)
      .then([this](const Result<platform::AppendResult>& aWritten) {
        if (!aWritten) {
          Warn("usage_unwritten", options_.host, aWritten.error().message);
        }
      }));
}

void StorePort::Execute(const ReadUsage&)
{
  tasks_.add(calls_.Newest(platform::kUsageTopic)
               .then([this](Result<platform::NewestRecords> aNewest) {
                 if (!aNewest) {
                   Warn("usage_unread", options_.host, aNewest.error().message);
                   return;
                 }
                 UsageRead event;
                 for (platform::KeyedRecord& record : aNewest->records) {
                   event.texts.push_back(std::move(record.value).value_or("[]"));
                 }
                 options_.sink(std::move(event));
               }));
}

} // namespace gooseberrypath::entry
