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

  /// Tells whether an attempt of this daemon counts against a part that should be in the
  /// store and has changed there.
  bool HasUnwritten() const;
  Duration ReadInterval() const;

  World& world_;
  uint64_t era_ = 0; // of the store, at the last check
  std::optional<TimePoint> readAt_;
  std::optional<TimePoint> writtenAt_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_STORE_EXCHANGE_H_
