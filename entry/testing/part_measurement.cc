#include "entry/testing/part_measurement.h"

#include <algorithm>

namespace gooseberrypath::entry {

void PartMeasurement::CountSend(std::span<const uint64_t> aParts, TimePoint aAt,
                                bool aIsUndisturbed)
{
  for (const uint64_t part : aParts) {
    parts_[part].sends.push_back({ aAt, aIsUndisturbed });
  }
}

void PartMeasurement::CountCrash(std::span<const uint64_t> aParts, TimePoint aAt)
{
  for (const uint64_t part : aParts) {
    parts_[part].crashes.push_back(aAt);
  }
}

void PartMeasurement::CountHealthyCall(uint64_t aId, TimePoint aAt)
{
  healthyCalls_[aId] = { .at = aAt };
}

void PartMeasurement::NoteBegun(uint64_t aId)
{
  if (const auto call = healthyCalls_.find(aId); call != healthyCalls_.end()) {
    call->second.hasBegun = true;
  }
}

void PartMeasurement::MeasureInto(PartOutcome& aOutcome)
{
  if (!span_) {
    span_ = SpanAfterCrashes();
  }
  MeasureParts(aOutcome);
  MeasureHealthyCalls(aOutcome);
}

TimeSpan PartMeasurement::SpanAfterCrashes() const
{
  TimePoint last = start_ + crashingCalls_.from;
  for (const auto& [part, record] : parts_) {
    if (!record.crashes.empty()) {
      const size_t counted = std::min(record.crashes.size(), kCountedCrashes);
      last = std::max(last, record.crashes[counted - 1]);
    }
  }
  return { .from = last + 2 * kReactionTime - start_, .to = crashingCalls_.to };
}

void PartMeasurement::MeasureParts(PartOutcome& aOutcome) const
{
  for (const auto& [part, record] : parts_) {
    aOutcome.mostCrashes = std::max(aOutcome.mostCrashes, record.crashes.size());
    if (record.crashes.size() < kCountedCrashes) {
      continue;
    }
    const TimePoint from = record.crashes[kCountedCrashes - 1] + kReactionTime;
    size_t sends = 0;
    size_t undisturbed = 0;
    for (const Send& send : record.sends) {
      sends += send.at >= from ? 1 : 0;
      undisturbed += send.at >= from && send.isUndisturbed ? 1 : 0;
    }
    aOutcome.worstSends = std::max(aOutcome.worstSends, sends);
    aOutcome.worstSendsUndisturbed =
      std::max(aOutcome.worstSendsUndisturbed, undisturbed);
  }
}

void PartMeasurement::MeasureHealthyCalls(PartOutcome& aOutcome) const
{
  for (const auto& [id, call] : healthyCalls_) {
    const Duration age = call.at - start_;
    if (age >= span_->from && age < span_->to) {
      aOutcome.healthyCalls += 1;
      aOutcome.healthyBegun += call.hasBegun ? 1 : 0;
    }
  }
}

} // namespace gooseberrypath::entry
