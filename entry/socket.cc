#include "entry/socket.h"

#include <utility>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

namespace {

/// Returns how the connection ended. kj reports a timeout of the connection (ETIMEDOUT)
/// as OVERLOADED and a reset as DISCONNECTED.
SocketEnd EndOf(const kj::Exception& aError)
{
  return aError.getType() == kj::Exception::Type::OVERLOADED ? SocketEnd::Silent
                                                             : SocketEnd::Reset;
}

} // namespace

Socket::Socket(kj::Own<kj::AsyncIoStream> aStream, SocketOptions aOptions)
  : stream_(kj::mv(aStream))
  , options_(std::move(aOptions))
{
  // The loops start in a later turn of the event loop, when the owner is fully
  // constructed. kj stores an error handler that is passed as an lvalue by reference, so
  // each handler is a temporary.
  readTask_ =
    kj::evalLater([this] {
      return ReadLoop();
    }).eagerlyEvaluate([this](kj::Exception&& aError) { ReportClosed(EndOf(aError)); });
  writeTask_ =
    kj::evalLater([this] {
      return WriteLoop();
    }).eagerlyEvaluate([this](kj::Exception&& aError) { ReportClosed(EndOf(aError)); });
}

void Socket::SetPeerTimeout(std::chrono::milliseconds aLimit)
{
  BreakWhenSilent(*stream_, aLimit);
}

kj::Promise<void> Socket::ReadLoop()
{
  if (isPaused_) {
    auto waiting = kj::newPromiseAndFulfiller<void>();
    resumeFulfiller_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return ReadLoop(); });
  }
  return stream_->tryRead(readBuffer_.data(), 1, readBuffer_.size())
    .then([this](size_t aRead) -> kj::Promise<void> {
      if (aRead == 0) {
        ReportClosed(SocketEnd::Closed);
        return kj::READY_NOW;
      }
      if (!areCallbacksDisabled_) {
        options_.onBytes({ readBuffer_.data(), aRead });
      }
      return ReadLoop();
    });
}

kj::Promise<void> Socket::WriteLoop()
{
  if (writeQueue_.empty()) {
    if (closesAfterWrites_) {
      stream_->shutdownWrite();
      if (options_.onFlushed && !areCallbacksDisabled_) {
        options_.onFlushed();
      }
      return kj::READY_NOW;
    }
    auto waiting = kj::newPromiseAndFulfiller<void>();
    writeFulfiller_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return WriteLoop(); });
  }
  bytesBeingWritten_ = std::exchange(writeQueue_, {});
  return stream_->write(bytesBeingWritten_.data(), bytesBeingWritten_.size())
    .then([this] {
      bytesBeingWritten_.clear();
      return WriteLoop();
    });
}

void Socket::Fulfill(kj::Own<kj::PromiseFulfiller<void>>& aFulfiller)
{
  if (aFulfiller.get() != nullptr) {
    auto fulfiller = kj::mv(aFulfiller);
    fulfiller->fulfill();
  }
}

void Socket::Resume()
{
  isPaused_ = false;
  Fulfill(resumeFulfiller_);
}

void Socket::Write(std::string_view aBytes)
{
  writeQueue_ += aBytes;
  Fulfill(writeFulfiller_);
}

void Socket::CloseAfterWrites()
{
  closesAfterWrites_ = true;
  Fulfill(writeFulfiller_);
}

void Socket::ReportClosed(SocketEnd aEnd)
{
  if (std::exchange(isClosed_, true) || areCallbacksDisabled_) {
    return;
  }
  options_.onClosed(aEnd);
}

} // namespace gooseberrypath::entry
