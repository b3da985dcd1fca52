#include "entry/socket.h"

#include <utility>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

Socket::Socket(kj::Own<kj::AsyncIoStream> aStream, SocketOptions aOptions)
  : stream_(kj::mv(aStream))
  , options_(std::move(aOptions))
{
  // The loops begin in a fresh turn, when the owner is complete.
  // kj keeps a handler that is passed by name as a reference, so each one is made in
  // place.
  reading_ = kj::evalLater([this] {
               return ReadLoop();
             }).eagerlyEvaluate([this](kj::Exception&&) { Closed(true); });
  writes_ = kj::evalLater([this] {
              return WriteLoop();
            }).eagerlyEvaluate([this](kj::Exception&&) { Closed(true); });
}

void Socket::SetSilenceLimit(std::chrono::milliseconds aLimit)
{
  BreakWhenSilent(*stream_, aLimit);
}

kj::Promise<void> Socket::ReadLoop()
{
  if (isPaused_) {
    auto waiting = kj::newPromiseAndFulfiller<void>();
    resumed_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return ReadLoop(); });
  }
  return stream_->tryRead(buffer_.data(), 1, buffer_.size())
    .then([this](size_t aRead) -> kj::Promise<void> {
      if (aRead == 0) {
        Closed(false);
        return kj::READY_NOW;
      }
      if (!isSilent_) {
        options_.onBytes({ buffer_.data(), aRead });
      }
      return ReadLoop();
    });
}

kj::Promise<void> Socket::WriteLoop()
{
  if (queue_.empty()) {
    if (closesAfterWrites_) {
      stream_->shutdownWrite();
      if (options_.onFlushed && !isSilent_) {
        options_.onFlushed();
      }
      return kj::READY_NOW;
    }
    auto waiting = kj::newPromiseAndFulfiller<void>();
    queued_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return WriteLoop(); });
  }
  writing_ = std::exchange(queue_, {});
  return stream_->write(writing_.data(), writing_.size()).then([this] {
    writing_.clear();
    return WriteLoop();
  });
}

void Socket::Wake(kj::Own<kj::PromiseFulfiller<void>>& aFulfiller)
{
  if (aFulfiller.get() != nullptr) {
    auto fulfiller = kj::mv(aFulfiller);
    fulfiller->fulfill();
  }
}

void Socket::Resume()
{
  isPaused_ = false;
  Wake(resumed_);
}

void Socket::Write(std::string_view aBytes)
{
  queue_ += aBytes;
  Wake(queued_);
}

void Socket::CloseAfterWrites()
{
  closesAfterWrites_ = true;
  Wake(queued_);
}

void Socket::Closed(bool aIsReset)
{
  if (std::exchange(isClosed_, true) || isSilent_) {
    return;
  }
  options_.onClosed(aIsReset);
}

} // namespace gooseberrypath::entry
