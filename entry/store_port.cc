#include "entry/store_port.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "entry/store_polling.h"
#include "gooseberrypath/http_io.h"
#include "platform/resource_format.h"

namespace gooseberrypath::entry {

namespace {

// The store is reported as unreachable after this many consecutive failures. A single
// failure may be a lost response.
constexpr int kFailuresUntilUnreachable = 2;

constexpr std::string_view kOutdatedEra =
  "the offset or the answer is of an earlier state of the store";

} // namespace

StorePort::StorePort(StorePortOptions aOptions)
  : options_(std::move(aOptions))
  , configClient_(ClientOptions())
  , fleetClient_(ClientOptions())
  , requestClient_(ClientOptions())
  , tasks_(errors_)
{
}

platform::StoreClientOptions StorePort::ClientOptions()
{
  return { .network = options_.network,
           .timer = options_.timer,
           .address = options_.address,
           .onEra = [this](uint64_t aEra) { NoteEra(aEra); } };
}

void StorePort::NoteEra(uint64_t aEra)
{
  if (aEra <= era_) {
    return;
  }
  const bool wentBack = std::exchange(era_, aEra) > 0;
  options_.sink(StoreEraRead{ aEra });
  if (!wentBack) {
    return;
  }
  configOffset_.reset();
  fleetOffset_.reset();
  ReadNow();
  tasks_.add(RegisterDaemon());
}

void StorePort::ReadNow()
{
  for (auto* waiting : { &endOfConfigPoll_, &earlyFleetPoll_ }) {
    if (waiting->get() != nullptr) {
      (*waiting)->fulfill();
    }
  }
}

void StorePort::Execute(const NoteStoreEra& aAction)
{
  // Only the store itself is believed: a corrupt datagram must not make its answers look
  // outdated.
  if (aAction.era > std::max(era_, eraOfPeers_)) {
    eraOfPeers_ = aAction.era;
    ReadNow();
  }
}

void StorePort::Start()
{
  tasks_.add(WatchConfig());
  tasks_.add(PollFleet());
  tasks_.add(RegisterDaemon());
}

kj::Promise<void> StorePort::Wait(Duration aTime)
{
  return options_.timer.afterDelay(Jittered(aTime));
}

kj::Promise<void> StorePort::WaitForRetry()
{
  return Wait(StoreRetryDelay(readerCount_));
}

kj::Promise<void> StorePort::WatchConfig()
{
  const kj::TimePoint start = options_.timer.now();
  if (!configOffset_) {
    return configClient_.ReadSnapshot(platform::kConfigTopic)
      .then([this, start](Result<platform::TopicSnapshot> aSnapshot) {
        const StoreRead read =
          ReadSince(start, StoreTopic::Configuration, StoreReadKind::Snapshot);
        UpdateReachability(aSnapshot ? "" : aSnapshot.error().message);
        if (!aSnapshot || aSnapshot->era < era_) {
          Fail(read, aSnapshot ? kOutdatedEra : aSnapshot.error().message);
          return WaitForRetry();
        }
        configOffset_ = aSnapshot->end;
        EmitConfiguration(aSnapshot->records, read);
        Confirm(read, read.took);
        return kj::Promise<void>(kj::READY_NOW);
      })
      .catch_(
        [this](kj::Exception&& aError) { return WaitAfterException(kj::mv(aError)); })
      .then([this] { return WatchConfig(); });
  }
  auto end = kj::newPromiseAndFulfiller<void>();
  endOfConfigPoll_ = kj::mv(end.fulfiller);
  return configClient_
    .Read(platform::kConfigTopic, *configOffset_, options_.configPollTimeout)
    .then([this, start](Result<platform::RecordBatch> aRead) {
      const StoreRead read =
        ReadSince(start, StoreTopic::Configuration, StoreReadKind::LongPoll);
      UpdateReachability(aRead ? "" : aRead.error().message);
      if (!aRead) {
        Fail(read, aRead.error().message);
        return WaitForRetry();
      }
      if (aRead->isOffsetExpired || aRead->era < era_) {
        configOffset_.reset();
      }
      if (!configOffset_) {
        Fail(read, kOutdatedEra);
        return kj::Promise<void>(kj::READY_NOW);
      }
      configOffset_ = aRead->nextOffset;
      EmitConfiguration(aRead->records, read);
      // Without records, the store has waited for the whole time before it answered.
      const Duration waited =
        aRead->records.empty() ? options_.configPollTimeout : Duration::zero();
      Confirm(read, std::max(read.took - waited, Duration::zero()));
      return aRead->records.empty() ? kj::Promise<void>(kj::READY_NOW)
                                    : Wait(options_.configBatchDelay);
    })
    .exclusiveJoin(end.promise.then([this] { configClient_.DropConnection(); }))
    .catch_([this](kj::Exception&& aError) { return WaitAfterException(kj::mv(aError)); })
    .then([this] { return WatchConfig(); });
}

kj::Promise<void> StorePort::WaitAfterException(kj::Exception&& aError)
{
  Warn("store_reading_failed", {}, aError.getDescription().cStr());
  return WaitForRetry();
}

kj::Promise<void> StorePort::WaitForFleetPoll()
{
  auto earlyPoll = kj::newPromiseAndFulfiller<void>();
  earlyFleetPoll_ = kj::mv(earlyPoll.fulfiller);
  if (wantedConfirmation_ > lastConfirmation_) {
    return WaitForRetry(); // it was requested during the last read
  }
  return Wait(FleetPollInterval(readerCount_))
    .exclusiveJoin(earlyPoll.promise.then([this] {
      return wantedConfirmation_ > lastConfirmation_
               ? WaitForRetry()
               : Wait(FleetBatchDelay(readerCount_));
    }));
}

void StorePort::Execute(const ConfirmFleet& aAction)
{
  wantedConfirmation_ = aAction.number;
  if (earlyFleetPoll_.get() != nullptr) {
    earlyFleetPoll_->fulfill();
  }
}

void StorePort::Execute(const ReadFleet& aAction)
{
  const bool isKnown = fleetOffset_ && *fleetOffset_ >= aAction.offset;
  if (!isKnown && earlyFleetPoll_.get() != nullptr) {
    earlyFleetPoll_->fulfill();
  }
}

void StorePort::Execute(const SkipFleetRecords& aAction)
{
  if (fleetOffset_ && aAction.era == era_) {
    fleetOffset_ = std::max(*fleetOffset_, aAction.next);
  }
}

void StorePort::Execute(const SetReaderCount& aAction)
{
  // A daemon that lost contact with more than half of its peers polls early, because they
  // no longer send it the changes that they read.
  const bool hasLostMostReaders = hasReaderCount_ && 2 * aAction.count < readerCount_;
  hasReaderCount_ = true;
  readerCount_ = aAction.count;
  if (hasLostMostReaders && earlyFleetPoll_.get() != nullptr) {
    earlyFleetPoll_->fulfill();
  }
}

void StorePort::Execute(const ReadConfiguration& aAction)
{
  // The long poll should have returned this version. Its connection may be broken without
  // an error, so the snapshot is read on another one.
  if (aAction.version <= newestConfigVersion_ || isReadingConfig_) {
    return;
  }
  isReadingConfig_ = true;
  tasks_.add(Wait(options_.configBatchDelay).then([this] {
    const kj::TimePoint start = options_.timer.now();
    return requestClient_.ReadSnapshot(platform::kConfigTopic)
      .then([this, start](const Result<platform::TopicSnapshot>& aSnapshot) {
        isReadingConfig_ = false;
        const StoreRead read =
          ReadSince(start, StoreTopic::Configuration, StoreReadKind::Snapshot);
        if (!aSnapshot || aSnapshot->era < era_) {
          Fail(read, aSnapshot ? kOutdatedEra : aSnapshot.error().message);
          return;
        }
        EmitConfiguration(aSnapshot->records, read);
        Confirm(read, read.took);
      });
  }));
}

kj::Promise<void> StorePort::PollFleet()
{
  const uint64_t confirms = wantedConfirmation_;
  const kj::TimePoint start = options_.timer.now();
  if (!fleetOffset_) {
    return fleetClient_.ReadSnapshot(platform::kFleetTopic)
      .then([this, start, confirms](Result<platform::TopicSnapshot> aSnapshot) {
        const StoreRead read =
          ReadSince(start, StoreTopic::Fleet, StoreReadKind::Snapshot);
        UpdateReachability(aSnapshot ? "" : aSnapshot.error().message);
        if (!aSnapshot || aSnapshot->era < era_) {
          Fail(read, aSnapshot ? kOutdatedEra : aSnapshot.error().message);
          return WaitForRetry();
        }
        fleetOffset_ = aSnapshot->end;
        EmitFleetRead(aSnapshot->records, { .isSnapshot = true,
                                            .next = aSnapshot->end,
                                            .era = aSnapshot->era,
                                            .confirms = EndConfirmation(confirms) });
        Confirm(read, read.took);
        return WaitForFleetPoll();
      })
      .catch_(
        [this](kj::Exception&& aError) { return WaitAfterException(kj::mv(aError)); })
      .then([this] { return PollFleet(); });
  }
  return fleetClient_.Read(platform::kFleetTopic, *fleetOffset_, Duration::zero())
    .then([this, start, confirms](Result<platform::RecordBatch> aRead) {
      const StoreRead read = ReadSince(start, StoreTopic::Fleet, StoreReadKind::Poll);
      const bool followsFailure = consecutiveFailures_ > 0;
      UpdateReachability(aRead ? "" : aRead.error().message);
      if (!aRead) {
        Fail(read, aRead.error().message);
        return WaitForRetry();
      }
      if (aRead->isOffsetExpired || aRead->era < era_) {
        fleetOffset_.reset();
      }
      if (!fleetOffset_) {
        Fail(read, kOutdatedEra);
        return kj::Promise<void>(kj::READY_NOW);
      }
      fleetOffset_ = std::max(*fleetOffset_, aRead->nextOffset);
      EmitFleetRead(aRead->records, { .next = aRead->nextOffset,
                                      .era = aRead->era,
                                      .confirms = EndConfirmation(confirms),
                                      .followsFailure = followsFailure });
      Confirm(read, read.took);
      return WaitForFleetPoll();
    })
    .catch_([this](kj::Exception&& aError) { return WaitAfterException(kj::mv(aError)); })
    .then([this] { return PollFleet(); });
}

kj::Promise<void> StorePort::RegisterDaemon()
{
  return requestClient_
    .Append(platform::kDaemonsTopic, { options_.host, options_.peerAddress },
            std::nullopt)
    .then([this](const Result<platform::AppendResult>& aWritten) -> kj::Promise<void> {
      if (!aWritten) {
        return Wait(5 * StoreRetryDelay(readerCount_)).then([this] {
          return RegisterDaemon();
        });
      }
      return requestClient_.ReadSnapshot(platform::kDaemonsTopic)
        .then([this](Result<platform::TopicSnapshot> aSnapshot) -> kj::Promise<void> {
          if (!aSnapshot) {
            return Wait(5 * StoreRetryDelay(readerCount_)).then([this] {
              return RegisterDaemon();
            });
          }
          PeerAddressesRead listed;
          for (const platform::KeyedRecord& record : aSnapshot->records) {
            if (record.value) {
              listed.addresses.push_back(*record.value);
            }
          }
          options_.sink(std::move(listed));
          return kj::READY_NOW;
        });
    });
}

StoreRead StorePort::ReadSince(kj::TimePoint aStart, StoreTopic aTopic,
                               StoreReadKind aKind) const
{
  return { .topic = aTopic,
           .kind = aKind,
           .took = Duration((options_.timer.now() - aStart) / kj::MICROSECONDS) };
}

void StorePort::Confirm(const StoreRead& aRead, Duration aAge)
{
  options_.sink(TopicConfirmed{ aRead, aAge });
}

void StorePort::Fail(const StoreRead& aRead, std::string_view aReason)
{
  options_.sink(TopicReadFailed{ aRead, std::string(aReason) });
}

void StorePort::EmitConfiguration(const std::vector<platform::KeyedRecord>& aRecords,
                                  const StoreRead& aRead)
{
  // Only the last valid configuration is applied; earlier ones are already superseded.
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
    newestConfigVersion_ = std::max(newestConfigVersion_, configuration->version);
    options_.sink(ConfigurationRead{
      std::make_shared<const Configuration>(*std::move(configuration)), aRead });
    return;
  }
}

void StorePort::EmitFleetRead(const std::vector<platform::KeyedRecord>& aRecords,
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
  if (aRead.isSnapshot || !aRead.changes.empty() || aRead.confirms != 0 ||
      aRead.followsFailure) {
    options_.sink(std::move(aRead));
  }
}

uint64_t StorePort::EndConfirmation(uint64_t aNumber)
{
  return std::exchange(lastConfirmation_, aNumber) == aNumber ? 0 : aNumber;
}

void StorePort::UpdateReachability(const std::string& aError)
{
  consecutiveFailures_ = aError.empty() ? 0 : consecutiveFailures_ + 1;
  if (!aError.empty() && consecutiveFailures_ < kFailuresUntilUnreachable) {
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
  tasks_.add(requestClient_.ReadSnapshot(platform::kDutyTopic)
               .then([this](Result<platform::TopicSnapshot> aSnapshot) {
                 DutyStateRead event{ .isRead = aSnapshot.has_value() };
                 if (aSnapshot) {
                   event.end = aSnapshot->end;
                   event.era = aSnapshot->era;
                   for (const platform::KeyedRecord& record : aSnapshot->records) {
                     if (record.key == platform::kDutyKey) {
                       event.text = record.value.value_or("");
                     }
                   }
                 }
                 if (!aSnapshot) {
                   event.reason = aSnapshot.error().message;
                 }
                 options_.sink(std::move(event));
               }));
}

void StorePort::Execute(const WriteDutyState& aAction)
{
  tasks_.add(requestClient_
               .Append(platform::kDutyTopic,
                       { std::string(platform::kDutyKey), aAction.text }, aAction.at)
               .then([this, era = aAction.era](Result<platform::AppendResult> aResult) {
                 DutyStateWritten event;
                 const bool wentBack = aResult && (aResult->era != era || era != era_);
                 if (wentBack) {
                   event.reason = "the store went back meanwhile";
                 } else if (aResult) {
                   event.outcome =
                     aResult->isWritten ? WriteOutcome::Written : WriteOutcome::Conflict;
                   event.end = aResult->end;
                 }
                 if (event.outcome != WriteOutcome::Written && !wentBack) {
                   event.reason =
                     aResult ? "another write came first" : aResult.error().message;
                 }
                 options_.sink(std::move(event));
               }));
}

void StorePort::WriteOwnValue(std::string_view aTopic, const std::string& aText,
                              std::string aFailure)
{
  tasks_.add(requestClient_.Append(aTopic, { options_.host, aText }, std::nullopt)
               .then([this, failure = std::move(aFailure)](
                       const Result<platform::AppendResult>& aWritten) {
                 if (!aWritten) {
                   Warn(failure, options_.host, aWritten.error().message);
                 }
               }));
}

template<typename E>
void StorePort::ReadValues(std::string_view aTopic, std::string aFailure)
{
  tasks_.add(requestClient_.ReadSnapshot(aTopic).then(
    [this, failure = std::move(aFailure)](Result<platform::TopicSnapshot> aSnapshot) {
      if (!aSnapshot) {
        Warn(failure, options_.host, aSnapshot.error().message);
        return;
      }
      E event;
      for (platform::KeyedRecord& record : aSnapshot->records) {
        if (record.value) {
          event.texts.push_back(*std::move(record.value));
        }
      }
      options_.sink(std::move(event));
    }));
}

void StorePort::Execute(const WriteUsage& aAction)
{
  WriteOwnValue(platform::kUsageTopic, aAction.text, "usage_unwritten");
}

void StorePort::Execute(const ReadUsage&)
{
  ReadValues<UsageRead>(platform::kUsageTopic, "usage_unread");
}

void StorePort::Execute(const WritePartEvidence& aAction)
{
  WriteOwnValue(platform::kPartsTopic, aAction.text, "part_evidence_unwritten");
}

void StorePort::Execute(const ReadPartEvidence&)
{
  ReadValues<PartEvidenceRead>(platform::kPartsTopic, "part_evidence_unread");
}

} // namespace gooseberrypath::entry
