#include "entry/store_port.h"

#include <algorithm>
#include <utility>

#include "entry/store_polling.h"

namespace gooseberrypath::entry {

StorePort::StorePort(StorePortOptions aOptions)
  : options_(std::move(aOptions))
  , reads_({ .timer = options_.timer,
             .sink = options_.sink,
             .onRecovery = [this] { config_.RestartLongPoll(); } })
  , config_(reads_, ClientOptions())
  , fleet_(reads_, ClientOptions())
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
  if (!reads_.NoteEra(aEra)) {
    return;
  }
  config_.ReadAnew();
  fleet_.ReadAnew();
  tasks_.add(RegisterDaemon());
}

void StorePort::ReadNow()
{
  config_.RestartLongPoll();
  fleet_.PollSoon();
}

void StorePort::Start()
{
  config_.Start();
  fleet_.Start();
  tasks_.add(RegisterDaemon());
}

void StorePort::Execute(const NoteStoreEra& aAction)
{
  // Only the store itself is believed: a corrupt datagram must not make its answers look
  // outdated.
  if (aAction.era > std::max(reads_.Era(), eraOfPeers_)) {
    eraOfPeers_ = aAction.era;
    ReadNow();
  }
}

void StorePort::Execute(const ReadConfiguration& aAction)
{
  config_.Check(aAction.timeout);
}

void StorePort::Execute(const ConfirmFleet& aAction)
{
  fleet_.Confirm(aAction.number);
}

void StorePort::Execute(const RefreshFleet&)
{
  fleet_.PollNow();
}

void StorePort::Execute(const ReadFleet& aAction)
{
  fleet_.PollUpTo(aAction.offset);
}

void StorePort::Execute(const SkipFleetRecords& aAction)
{
  if (aAction.era == reads_.Era()) {
    fleet_.SkipTo(aAction.next);
  }
}

void StorePort::Execute(const SetReaderCount& aAction)
{
  // A daemon that lost contact with more than half of its peers polls early, because they
  // no longer send it the changes that they read.
  const bool hasLostMostReaders =
    hasReaderCount_ && 2 * aAction.count < reads_.ReaderCount();
  hasReaderCount_ = true;
  reads_.SetReaderCount(aAction.count);
  if (hasLostMostReaders) {
    fleet_.PollSoon();
  }
}

kj::Promise<void> StorePort::RegisterDaemon()
{
  return requestClient_
    .Append(platform::kDaemonsTopic, { options_.host, options_.peerAddress },
            std::nullopt)
    .then([this](const Result<platform::AppendResult>& aWritten) -> kj::Promise<void> {
      if (!aWritten) {
        return reads_.Wait(5 * StoreRetryDelay(reads_.ReaderCount())).then([this] {
          return RegisterDaemon();
        });
      }
      return requestClient_.ReadSnapshot(platform::kDaemonsTopic)
        .then([this](Result<platform::TopicSnapshot> aSnapshot) -> kj::Promise<void> {
          if (!aSnapshot) {
            return reads_.Wait(5 * StoreRetryDelay(reads_.ReaderCount())).then([this] {
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
                 const bool wentBack =
                   aResult && (aResult->era != era || era != reads_.Era());
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
                   reads_.Warn(failure, options_.host, aWritten.error().message);
                 }
               }));
}

template<typename E>
void StorePort::ReadValues(std::string_view aTopic, std::string aFailure)
{
  tasks_.add(requestClient_.ReadSnapshot(aTopic).then(
    [this, failure = std::move(aFailure)](Result<platform::TopicSnapshot> aSnapshot) {
      if (!aSnapshot) {
        reads_.Warn(failure, options_.host, aSnapshot.error().message);
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
