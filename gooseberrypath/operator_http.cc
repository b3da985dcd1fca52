#include "gooseberrypath/operator_http.h"

#include <stdexcept>
#include <utility>

#include <kj/async.h>

#include "gooseberrypath/mailbox.h"
#include "gooseberrypath/operator_loop.h"

namespace gooseberrypath {

class OperatorHttp::Impl final : private kj::TaskSet::ErrorHandler
{
public:
  explicit Impl(OperatorHttpOptions aOptions)
    : sink_(std::move(aOptions.sink))
    , snapshot_(std::move(aOptions.snapshot))
    , mailbox_(std::make_shared<Mailbox>(aOptions.maxQueued))
    , loop_({ .http = ForLoop(std::move(aOptions)),
              .onCall =
                [this](WriteId aId, Event aEvent) {
                  return mailbox_->Post(
                    [this, aId, event = std::move(aEvent)] { HandleCall(aId, event); });
                },
              .onSnapshotAsked =
                [this](uint64_t aId) {
                  return mailbox_->Post([this, aId] { HandleSnapshotAsked(aId); });
                } })
    , tasks_(*this)
  {
    tasks_.add(Pump());
  }

  ~Impl() noexcept { mailbox_->Close(); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Execute(const OperatorReply& aReply) { loop_.Reply(aReply); }

private:
  /// Returns the options with callbacks that may be called on the loop's thread.
  OperatorHttpOptions ForLoop(OperatorHttpOptions aOptions)
  {
    if (aOptions.onShortage) {
      aOptions.onShortage =
        [this, report = std::move(aOptions.onShortage)](const Shortages& aTotals) {
          mailbox_->Post([report, aTotals] { report(aTotals); });
        };
    }
    return aOptions;
  }

  void taskFailed(kj::Exception&&) override
  {
    // Jobs do not throw, so the loop itself failed and takes no further work.
    mailbox_->Close();
  }

  kj::Promise<void> Pump()
  {
    return mailbox_->WhenQueued().then([this] {
      for (const Mailbox::Job& job : mailbox_->Take()) {
        job();
      }
      return Pump();
    });
  }

  void HandleCall(WriteId aId, const Event& aEvent)
  {
    try {
      sink_(aEvent);
    } catch (const std::exception& problem) {
      const Error error{ ErrorKind::Internal, problem.what() };
      Execute(
        { .write = aId, .status = InfoOf(error.kind).status, .body = ErrorBody(error) });
    }
  }

  void HandleSnapshotAsked(uint64_t aId)
  {
    try {
      loop_.Show(aId, snapshot_());
    } catch (const std::exception& problem) {
      const Error error{ ErrorKind::Internal, problem.what() };
      Execute({ .write = WriteId{ aId },
                .status = InfoOf(error.kind).status,
                .body = ErrorBody(error) });
    }
  }

  EventSink sink_;
  std::function<OperatorSnapshot()> snapshot_;
  std::shared_ptr<Mailbox> mailbox_; // for the thread of the event loop
  OperatorLoop loop_;
  kj::TaskSet tasks_;
};

OperatorHttp::OperatorHttp(OperatorHttpOptions aOptions)
  : impl_(std::make_unique<Impl>(std::move(aOptions)))
{
}

OperatorHttp::~OperatorHttp() = default;

void OperatorHttp::Execute(const OperatorReply& aReply)
{
  impl_->Execute(aReply);
}

} // namespace gooseberrypath
