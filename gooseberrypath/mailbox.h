// Passes work from other threads to the thread of a kj event loop.
//
//   auto mailbox = std::make_shared<Mailbox>(256);
//   bool isQueued = mailbox->Post([] { ... });           // on any thread
//   mailbox->WhenQueued().then([mailbox] {               // on the loop thread
//     for (const Mailbox::Job& job : mailbox->Take()) { job(); }
//   });

#ifndef GOOSEBERRYPATH_MAILBOX_H_
#define GOOSEBERRYPATH_MAILBOX_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

#include <kj/async.h>

namespace gooseberrypath {

/// Work that handlers pass to the thread of the event loop. Shared by both sides, because
/// a handler may outlive the loop. kj::Executor is not used: its executeSync() has no
/// time limit, and executeAsync() needs an event loop on the calling thread.
class Mailbox
{
public:
  using Job = std::function<void()>;

  explicit Mailbox(size_t aMaxQueued)
    : maxQueued_(aMaxQueued)
  {
  }

  /// Queues a job and wakes the loop. Returns false when the mailbox is closed or full.
  bool Post(Job aJob)
  {
    const std::lock_guard lock(mutex_);
    if (isClosed_ || jobs_.size() >= maxQueued_) {
      return false;
    }
    jobs_.push_back(std::move(aJob));
    if (wake_.get() != nullptr) {
      wake_->fulfill();
      wake_ = nullptr;
    }
    return true;
  }

  /// Returns a promise that resolves when a job is queued. Called on the loop thread.
  kj::Promise<void> WhenQueued()
  {
    const std::lock_guard lock(mutex_);
    if (!jobs_.empty()) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    wake_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  std::deque<Job> Take()
  {
    const std::lock_guard lock(mutex_);
    return std::exchange(jobs_, {});
  }

  /// Drops queued jobs and refuses further ones. Called on the loop thread.
  void Close()
  {
    std::deque<Job> dropped;
    const std::lock_guard lock(mutex_);
    isClosed_ = true;
    wake_ = nullptr;
    dropped.swap(jobs_);
  }

private:
  std::mutex mutex_;
  std::deque<Job> jobs_;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_;
  size_t maxQueued_;
  bool isClosed_ = false;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MAILBOX_H_
