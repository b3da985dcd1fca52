#include "entry/fleet_listing.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>

namespace gooseberrypath::entry {

namespace {

/// Tells whether the entry says of its backend what the earlier one has said.
bool Repeats(const BackendEntry& aEntry, const BackendEntry& aEarlier)
{
  const auto facts = [](const BackendEntry& aOne) {
    return std::tuple(std::string_view(aOne.service), std::string_view(aOne.address),
                      std::string_view(aOne.dataCentre), aOne.slots, aOne.isLeaving,
                      aOne.leavesIn.has_value(), aOne.isReclaimable, aOne.startedMs);
  };
  return facts(aEntry) == facts(aEarlier);
}

} // namespace

std::string_view IdOf(const FleetChange& aChange)
{
  return std::visit([](const auto& aOne) -> std::string_view { return aOne.id; },
                    aChange);
}

std::vector<FleetChange> NewestOfEach(std::span<const FleetChange> aChanges)
{
  std::set<std::string_view> seen;
  std::vector<FleetChange> newest;
  for (size_t i = aChanges.size(); i > 0; --i) {
    if (seen.insert(IdOf(aChanges[i - 1])).second) {
      newest.push_back(aChanges[i - 1]);
    }
  }
  std::ranges::reverse(newest);
  return newest;
}

void FleetListing::Forget()
{
  *this = FleetListing();
}

void FleetListing::Replace(std::span<const FleetChange> aEntries, uint64_t aNext,
                           uint64_t aExactFrom)
{
  listed_.clear();
  for (const FleetChange& entry : aEntries) {
    ApplyRecord(entry);
  }
  next_ = aNext;
  changesEnd_ = std::max(aNext, aExactFrom);
  deltaStart_ = changesEnd_;
  isRead_ = true;
}

std::optional<FleetDelta> FleetListing::Read(std::span<const FleetChange> aRecords,
                                             uint64_t aNext)
{
  std::set<std::string_view> changed;
  for (const FleetChange& record : aRecords) {
    if (ApplyRecord(record)) {
      changed.insert(IdOf(record));
    }
  }
  next_ = aNext;
  if (changed.empty()) {
    return std::nullopt;
  }
  FleetDelta delta{ .changes = NewestOfEach(aRecords),
                    .from = deltaStart_,
                    .next = aNext };
  std::erase_if(delta.changes, [&](const FleetChange& aChange) {
    return !changed.contains(IdOf(aChange));
  });
  changesEnd_ = std::max(changesEnd_, aNext);
  deltaStart_ = std::max(deltaStart_, aNext);
  return delta;
}

bool FleetListing::Accepts(const FleetDelta& aDelta) const
{
  return isRead_ && aDelta.from <= next_ && next_ < aDelta.next;
}

void FleetListing::Apply(const FleetDelta& aDelta)
{
  Read(aDelta.changes, aDelta.next);
  changesEnd_ = std::max(changesEnd_, aDelta.next);
  deltaStart_ = std::max(deltaStart_, aDelta.next);
}

bool FleetListing::ApplyRecord(const FleetChange& aRecord)
{
  if (const auto* removed = std::get_if<BackendRemoved>(&aRecord)) {
    // Another daemon may list it, even if this one has never seen its entry.
    listed_.erase(removed->id);
    return true;
  }
  const auto& entry = std::get<BackendEntry>(aRecord);
  const auto [known, isNew] = listed_.try_emplace(entry.id, entry);
  const bool isChange = isNew || !Repeats(entry, known->second);
  known->second = entry;
  return isChange;
}

} // namespace gooseberrypath::entry
