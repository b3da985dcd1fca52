#include "entry/socket.h"

#include <algorithm>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <kj/debug.h>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

namespace {

// Bytes are passed to the operating system in parts of this size, so that a slow peer
// that reads on can be told from one that does not.
constexpr size_t kWriteBytes = size_t{ 64 } * 1024;

// Receive buffer of a connection that was paused. The operating system would let it grow
// to several MB, and many paused connections to a multiple of a small host's memory.
constexpr int kPausedReceiveBytes = 32 * 1024;

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
        ReportClosed(WasReset() ? SocketEnd::Reset : SocketEnd::Closed);
        return kj::READY_NOW;
      }
      if (!areCallbacksDisabled_) {
        options_.onBytes({ readBuffer_.data(), aRead });
      }
      if (aRead == readBuffer_.size() && options_.bulkTurns != nullptr) {
        return options_.bulkTurns->Next().then([this] { return ReadLoop(); });
      }
      return ReadLoop();
    });
}

kj::Promise<void> Socket::WriteLoop()
{
  if (QueuedBytes() == 0) {
    if (closesAfterWrites_) {
      if (std::exchange(resetsUnlessFinished_, false)) {
        SetResetOnClose(false);
      }
      stream_->shutdownWrite();
      areWritesShutDown_ = true;
      if (options_.onFlushed && !areCallbacksDisabled_) {
        options_.onFlushed();
      }
      return kj::READY_NOW;
    }
    if (options_.onDrained && !areCallbacksDisabled_) {
      options_.onDrained();
    }
    auto waiting = kj::newPromiseAndFulfiller<void>();
    writeFulfiller_ = kj::mv(waiting.fulfiller);
    return waiting.promise.then([this] { return WriteLoop(); });
  }
  if (sharedQueue_.empty()) {
    sharedQueue_.emplace_back(std::exchange(writeQueue_, {}));
  }
  const std::string_view rest = sharedQueue_.front().View().substr(writtenBytes_);
  const size_t count = std::min(kWriteBytes, rest.size());
  return stream_->write(rest.data(), count).then([this, count] {
    writtenBytes_ += count;
    queuedBytes_ -= count;
    if (writtenBytes_ == sharedQueue_.front().size()) {
      sharedQueue_.pop_front();
      writtenBytes_ = 0;
    }
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

void Socket::Pause()
{
  isPaused_ = true;
  if (!std::exchange(boundsUnreadBytes_, true)) {
    stream_->setsockopt(SOL_SOCKET, SO_RCVBUF, &kPausedReceiveBytes,
                        sizeof(kPausedReceiveBytes));
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
  queuedBytes_ += aBytes.size();
  Fulfill(writeFulfiller_);
}

void Socket::WriteShared(const SharedBytes& aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  if (!writeQueue_.empty()) {
    sharedQueue_.emplace_back(std::exchange(writeQueue_, {}));
  }
  sharedQueue_.push_back(aBytes);
  queuedBytes_ += aBytes.size();
  Fulfill(writeFulfiller_);
}

size_t Socket::UndeliveredBytes() const
{
  KJ_IF_MAYBE (descriptor, stream_->getFd()) {
    int unacknowledgedBytes = 0;
    KJ_SYSCALL(ioctl(*descriptor, SIOCOUTQ, &unacknowledgedBytes));
    return queuedBytes_ + static_cast<size_t>(unacknowledgedBytes);
  }
  KJ_FAIL_REQUIRE("the stream has no descriptor");
}

void Socket::ResetUnlessFinished()
{
  SetResetOnClose(true);
  resetsUnlessFinished_ = true;
}

void Socket::SetResetOnClose(bool aResets)
{
  const linger option{ .l_onoff = aResets ? 1 : 0, .l_linger = 0 };
  stream_->setsockopt(SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void Socket::CloseAfterWrites()
{
  closesAfterWrites_ = true;
  Fulfill(writeFulfiller_);
}

bool Socket::WasReset() const
{
  if (areWritesShutDown_) {
    return false;
  }
  KJ_IF_MAYBE (descriptor, stream_->getFd()) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    return getsockopt(*descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
  }
  return false;
}

void Socket::ReportClosed(SocketEnd aEnd)
{
  if (std::exchange(isClosed_, true) || areCallbacksDisabled_) {
    return;
  }
  options_.onClosed(aEnd);
}

} // namespace gooseberrypath::entry
