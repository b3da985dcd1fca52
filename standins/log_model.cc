#include "standins/log_model.h"

#include <algorithm>

namespace gooseberrypath::standins {

using nlohmann::json;

namespace {

constexpr int64_t kMsPerSecond = 1000;

} // namespace

std::optional<Offset> LogModel::Append(const std::string& aStream, json aData,
                                       int64_t aNowMs)
{
  while (!recentAppends_.empty() && recentAppends_.front() <= aNowMs - kMsPerSecond) {
    recentAppends_.pop_front();
  }
  if (recentAppends_.size() >= options_.appendsPerSecond) {
    return std::nullopt;
  }
  recentAppends_.push_back(aNowMs);
  Stream& stream = streams_[aStream];
  const Offset offset = stream.Head();
  stream.records.push_back({ .timeMs = aNowMs, .data = std::move(aData) });
  Retain(stream, aNowMs);
  return offset;
}

json LogModel::Read(const std::string& aStream, Offset aFrom, size_t aLimit,
                    int64_t aNowMs)
{
  Stream& stream = streams_[aStream];
  Retain(stream, aNowMs);
  json records = json::array();
  for (Offset at = std::max(aFrom, stream.start);
       at < stream.Head() && records.size() < aLimit; ++at) {
    const Record& record = stream.records[at - stream.start];
    records.push_back(
      { { "offset", at }, { "time_ms", record.timeMs }, { "data", record.data } });
  }
  return { { "start", stream.start },
           { "head", stream.Head() },
           { "records", std::move(records) } };
}

Offset LogModel::Head(const std::string& aStream) const
{
  const auto found = streams_.find(aStream);
  return found == streams_.end() ? 1 : found->second.Head();
}

void LogModel::Retain(Stream& aStream, int64_t aNowMs) const
{
  const int64_t oldest = aNowMs - options_.retainSeconds * kMsPerSecond;
  while (!aStream.records.empty() && (aStream.records.size() > options_.retainRecords ||
                                      aStream.records.front().timeMs < oldest)) {
    aStream.records.pop_front();
    ++aStream.start;
  }
}

} // namespace gooseberrypath::standins
