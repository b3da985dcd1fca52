// The backends that the platform's store lists, as far as this daemon has read it, and
// what has changed since this daemon last told its peers. What the daemon concludes from
// it, such as that an entry has only lapsed, is in the table of backends.
//
// A delta describes a range of the store to every daemon whose position lies in the
// range, whatever of it that daemon has read before. So it is made of the records, not of
// what they changed here: only an entry that repeats what was listed throughout the range
// is left out.
//
//   FleetListing listing;
//   listing.Replace(snapshot.changes, snapshot.next, snapshot.exactFrom);
//   std::optional<FleetDelta> delta = listing.Read(records, next);
//   if (listing.Accepts(*peersDelta)) { listing.Apply(*peersDelta); }

#ifndef ENTRY_FLEET_LISTING_H_
#define ENTRY_FLEET_LISTING_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "entry/model.h"

namespace gooseberrypath::entry {

class FleetListing
{
public:
  /// Tells whether a snapshot of the store's present era was read.
  bool IsRead() const { return isRead_; }

  /// Returns the offset of the store before which all records are applied.
  uint64_t Next() const { return next_; }

  /// Returns the offset behind the last change of the listed backends.
  uint64_t ChangesEnd() const { return changesEnd_; }

  /// Forgets everything, because the store went back.
  void Forget();

  /// Replaces the listing by a snapshot that is as of the offset or, as it may consist of
  /// several pages, later. From `aExactFrom` on it is exact.
  void Replace(std::span<const FleetChange> aEntries, uint64_t aNext,
               uint64_t aExactFrom);

  /// Applies the records up to the offset. Returns the changes since the last one that is
  /// known, or nothing if the records only repeat what is listed.
  std::optional<FleetDelta> Read(std::span<const FleetChange> aRecords, uint64_t aNext);

  /// Tells whether a peer's delta continues the listing.
  bool Accepts(const FleetDelta& aDelta) const;

  /// Applies the delta of a peer, which Accepts() it.
  void Apply(const FleetDelta& aDelta);

private:
  /// Applies one record and returns whether it may change what any daemon has listed.
  bool ApplyRecord(const FleetChange& aRecord);

  std::map<std::string, BackendEntry, std::less<>> listed_; // by id
  uint64_t next_ = 0;
  uint64_t changesEnd_ = 0;
  uint64_t deltaStart_ = 0; // each change after this offset is known individually
  bool isRead_ = false;
};

/// Returns the id of the backend that changes.
std::string_view IdOf(const FleetChange& aChange);

/// Returns the newest change of each backend, in order.
std::vector<FleetChange> NewestOfEach(std::span<const FleetChange> aChanges);

} // namespace gooseberrypath::entry

#endif // ENTRY_FLEET_LISTING_H_
