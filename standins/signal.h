// Wakes promises that wait for a change.
//
//   Signal signal;
//   signal.Wait().then([] { ... });
//   signal.Notify();

#ifndef STANDINS_SIGNAL_H_
#define STANDINS_SIGNAL_H_

#include <utility>

#include <kj/async.h>
#include <kj/vector.h>

namespace gooseberrypath::standins {

/// A condition that any number of promises wait for.
class Signal
{
public:
  /// Returns a promise that is fulfilled by the next Notify().
  kj::Promise<void> Wait()
  {
    RemoveAbandoned();
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiting_.add(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }

  /// Fulfils all promises that were returned so far.
  void Notify()
  {
    for (auto& fulfiller : std::exchange(waiting_, {})) {
      fulfiller->fulfill();
    }
  }

private:
  /// Drops fulfillers whose promise was cancelled, for example by a timeout.
  void RemoveAbandoned()
  {
    if (waiting_.size() < 2 * liveWaiting_ + kSlack) {
      return;
    }
    for (auto& fulfiller : std::exchange(waiting_, {})) {
      if (fulfiller->isWaiting()) {
        waiting_.add(kj::mv(fulfiller));
      }
    }
    liveWaiting_ = waiting_.size();
  }

  static constexpr size_t kSlack = 16;

  size_t liveWaiting_ = 0; // after the last removal
  kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
};

} // namespace gooseberrypath::standins

#endif // STANDINS_SIGNAL_H_
