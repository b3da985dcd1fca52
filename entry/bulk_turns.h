// Turns of the event loop for connections that always have bytes, so that many of them
// together do not delay the other connections and the timers.
//
//   BulkTurns turns(timer);
//   turns.Next().then([this] { return ReadLoop(); });

#ifndef ENTRY_BULK_TURNS_H_
#define ENTRY_BULK_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include <kj/async.h>
#include <kj/timer.h>

namespace gooseberrypath::entry {

/// Turns that are given between two polls of the event loop. Whatever the poll finds is
/// handled before the next ones, so an ordinary call waits for so many at each of its
/// steps, however many connections want them.
inline constexpr size_t kBulkTurnsPerPoll = 4;

class BulkTurns
{
public:
  explicit BulkTurns(kj::Timer& aTimer)
    : timer_(aTimer)
  {
  }

  BulkTurns(const BulkTurns&) = delete;
  BulkTurns& operator=(const BulkTurns&) = delete;

  /// Returns a promise that resolves after the next poll at which all who asked before
  /// have had their turns. Dropping it gives the turn to the next one.
  kj::Promise<void> Next();

  /// Returns the number of turns that were given.
  uint64_t GivenCount() const { return givenCount_; }

private:
  /// Gives turns after each poll until nobody waits.
  kj::Promise<void> GiveTurns();

  kj::Timer& timer_;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
  uint64_t givenCount_ = 0;
  bool isGiving_ = false;
  kj::Promise<void> task_ = nullptr;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BULK_TURNS_H_
