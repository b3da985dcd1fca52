// Exchanges the evidence about prompt parts through the platform's store, for daemons
// that do not hear most of the others, and for those that start again.
//
//   PartStoreExchange exchange(world);
//   exchange.Check(); // several times a second

#ifndef ENTRY_PART_STORE_EXCHANGE_H_
#define ENTRY_PART_STORE_EXCHANGE_H_

#include "entry/world.h"

namespace gooseberrypath::entry {

class PartStoreExchange
{
public:
  explicit PartStoreExchange(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Writes this daemon's evidence to the store when the others may need it there, and
  /// reads theirs.
  void Check();

  void Handle(const PartEvidenceRead& aEvent);

private:
  /// Tells whether this daemon hears so few others that it relies on the store.
  bool IsIsolated() const;

  /// Tells whether the other daemons may need an attempt of this daemon from the store.
  bool BelongsInStore(const BrokenStart& aStart) const;

  /// Tells whether an attempt that belongs in the store is not there, or is there with
  /// old trials of its parts.
  bool IsOutdatedInStore(const BrokenStart& aStart) const;

  /// Tells whether the evidence of the other daemons should be read now.
  bool IsReadDue() const;
  Duration ReadInterval() const;

  World& world_;
  uint64_t era_ = 0;     // of the store, at the last check
  bool hasRead_ = false; // since the start of the process
  std::optional<TimePoint> readAt_;
  std::optional<TimePoint> writtenAt_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_STORE_EXCHANGE_H_
