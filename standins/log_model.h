// The logic of the log stand-in: append-only streams with limited retention.
//
//   LogModel log(options);
//   std::optional<Offset> offset = log.Append("config", data, nowMs);
//   nlohmann::json page = log.Read("config", 1, 100, nowMs);

#ifndef STANDINS_LOG_MODEL_H_
#define STANDINS_LOG_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"

namespace gooseberrypath::standins {

struct LogOptions
{
  size_t retainRecords = 1'000'000; // per stream
  int64_t retainSeconds = 86'400;
  size_t appendsPerSecond = 300; // over all streams, in any second
};

/// Append-only streams. Times are milliseconds since 1970.
class LogModel
{
public:
  explicit LogModel(LogOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Appends a record and returns its offset, or nothing above the append rate.
  std::optional<Offset> Append(const std::string& aStream, nlohmann::json aData,
                               int64_t aNowMs);

  /// Returns the body of a read: up to aLimit records from aFrom or, if that is no longer
  /// retained, from the oldest retained offset.
  nlohmann::json Read(const std::string& aStream, Offset aFrom, size_t aLimit,
                      int64_t aNowMs);

  /// Returns the next offset to be assigned.
  Offset Head(const std::string& aStream) const;

private:
  struct Record
  {
    int64_t timeMs = 0;
    nlohmann::json data;
  };

  struct Stream
  {
    Offset start = 1; // offset of the first of `records`
    std::deque<Record> records;

    Offset Head() const { return start + records.size(); }
  };

  void Retain(Stream& aStream, int64_t aNowMs) const;

  LogOptions options_;
  std::map<std::string, Stream> streams_;
  std::deque<int64_t> recentAppends_; // times within the last second
};

} // namespace gooseberrypath::standins

#endif // STANDINS_LOG_MODEL_H_
