// A deterministic stand-in for the platform's log on virtual time.
//
//   FakeLog log(timers);
//   log.faults.loseAnswers = 1;
//   log.Append("actions", data, [](FakeLog::AppendAnswer answer) { ... });
//   Result<LogBatch> batch = log.Read("actions", next);

#ifndef GOOSEBERRYPATH_TESTING_FAKE_LOG_H_
#define GOOSEBERRYPATH_TESTING_FAKE_LOG_H_

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gooseberrypath/events.h"
#include "gooseberrypath/timer_service.h"

namespace gooseberrypath::testing {

/// Streams of records with faults.
class FakeLog
{
public:
  /// How an append ended for its sender.
  struct AppendAnswer
  {
    Offset offset = 0; // 0: failed
    bool mayBeStored = true;
    std::string reason;
  };
  using AnswerCallback = std::function<void(AppendAnswer)>;

  struct Faults
  {
    bool outage = false;        // appends and reads fail; nothing is stored
    uint32_t loseAnswers = 0;   // so many appends are stored and reported as failed
    uint32_t silentAppends = 0; // so many appends are stored and never answered
    double loseAnswerShare = 0; // of all appends, at random
    double duplicateShare = 0;  // of all appends, stored again after duplicateDelay
    Duration duplicateDelay{};
    Duration appendDelay = std::chrono::milliseconds(2); // until the record is stored
    size_t keep = 0; // newest records that are kept; 0: all
  };

  /// Both must outlive the log.
  explicit FakeLog(TimerService& aTimers, uint64_t aSeed = 1)
    : timers_(aTimers)
    , random_(aSeed)
  {
  }

  /// Appends a record; the answer comes when the record is stored or has failed.
  void Append(std::string aStream, std::string aData, AnswerCallback aAnswer)
  {
    const bool isSilent = Take(faults.silentAppends);
    const bool isLost = Take(faults.loseAnswers) || Draw(faults.loseAnswerShare);
    if (Draw(faults.duplicateShare)) {
      timers_.SubscribeAt(timers_.Now() + faults.appendDelay + faults.duplicateDelay,
                          [this, aStream, aData](TimePoint) { Store(aStream, aData); });
    }
    const auto store = [=, this, answer = std::move(aAnswer)](TimePoint) {
      const Offset offset = Store(aStream, aData);
      if (isSilent) {
        return;
      }
      if (offset == 0) {
        answer({ .offset = 0, .mayBeStored = false, .reason = "outage" });
      } else if (isLost) {
        answer({ .offset = 0, .mayBeStored = true, .reason = "connection lost" });
      } else {
        answer({ .offset = offset, .mayBeStored = false, .reason = {} });
      }
    };
    timers_.SubscribeAt(timers_.Now() + faults.appendDelay, store);
  }

  /// Returns the kept records from this offset on.
  Result<LogBatch> Read(const std::string& aStream, Offset aFrom)
  {
    if (faults.outage) {
      return MakeError(ErrorKind::LogUnavailable, "outage");
    }
    const std::vector<LogEntry>& entries = streams_[aStream];
    LogBatch batch{ .stream = aStream,
                    .start = starts_.try_emplace(aStream, 1).first->second,
                    .head = entries.size() + 1,
                    .entries = {} };
    for (Offset at = std::max(aFrom, batch.start); at < batch.head; ++at) {
      batch.entries.push_back(entries[at - 1]);
    }
    return batch;
  }

  /// Returns all records, also those removed by retention.
  const std::vector<LogEntry>& All(const std::string& aStream)
  {
    return streams_[aStream];
  }

  /// Returns the log's time, ms since 1970.
  int64_t NowMs() const
  {
    constexpr int64_t kStartMs = 1'800'000'000'000;
    return kStartMs + std::chrono::duration_cast<std::chrono::milliseconds>(
                        timers_.Now().time_since_epoch())
                        .count();
  }

  Faults faults;
  std::function<void()> onStored = [] {};

private:
  static bool Take(uint32_t& aCount) { return aCount > 0 && aCount-- > 0; }

  bool Draw(double aShare)
  {
    return aShare > 0 && std::uniform_real_distribution<>(0, 1)(random_) < aShare;
  }

  Offset Store(const std::string& aStream, const std::string& aData)
  {
    if (faults.outage) {
      return 0;
    }
    std::vector<LogEntry>& entries = streams_[aStream];
    entries.push_back({ .offset = entries.size() + 1, .timeMs = NowMs(), .data = aData });
    Offset& start = starts_.try_emplace(aStream, 1).first->second;
    if (faults.keep > 0 && entries.size() > faults.keep) {
      start = std::max<Offset>(start, entries.size() - faults.keep + 1);
    }
    onStored();
    return entries.size();
  }

  TimerService& timers_;
  std::mt19937_64 random_;
  std::map<std::string, std::vector<LogEntry>> streams_;
  std::map<std::string, Offset> starts_;
};

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_FAKE_LOG_H_
