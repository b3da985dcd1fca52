#include "entry/bulk_turns.h"

namespace gooseberrypath::entry {

kj::Promise<void> BulkTurns::Next()
{
  auto turn = kj::newPromiseAndFulfiller<void>();
  waiting_.push_back(kj::mv(turn.fulfiller));
  if (!isGiving_) {
    isGiving_ = true;
    task_ = GiveTurns().eagerlyEvaluate(nullptr);
  }
  return kj::mv(turn.promise);
}

kj::Promise<void> BulkTurns::GiveTurns()
{
  // The loop calls a timer only after a poll, also if it is due at once, and after all
  // that the poll has found.
  return timer_.afterDelay(0 * kj::NANOSECONDS).then([this]() -> kj::Promise<void> {
    size_t given = 0;
    while (given < kBulkTurnsPerPoll && !waiting_.empty()) {
      kj::Own<kj::PromiseFulfiller<void>> next = kj::mv(waiting_.front());
      waiting_.pop_front();
      given += next->isWaiting() ? 1 : 0;
      next->fulfill();
    }
    givenCount_ += given;
    if (waiting_.empty()) {
      isGiving_ = false;
      return kj::READY_NOW;
    }
    return GiveTurns();
  });
}

} // namespace gooseberrypath::entry
