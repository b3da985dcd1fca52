// The connection and the stream of CallerHttp. Only its source files include this header.

#ifndef GOOSEBERRYPATH_CALLER_STREAM_H_
#define GOOSEBERRYPATH_CALLER_STREAM_H_

#include <cstddef>
#include <functional>

#include <kj/async-io.h>
#include <kj/refcount.h>

#include "gooseberrypath/caller_http.h"

namespace gooseberrypath {

/// One accepted connection. It outlives its stream.
class CallerHttp::Connection : public kj::Refcounted
{
public:
  explicit Connection(CallerHttp& aPort);
  ~Connection() noexcept(false) override;

  /// Closes the connection in a fresh turn of the loop, because the caller may be a
  /// continuation that runs for this connection.
  void CloseLater();

  /// Closes a stream on which an answer was written: reads what the caller still sends,
  /// within limits, since closing a socket with unread data resets the answer away.
  /// An error is written first.
  void Linger(kj::Own<kj::AsyncIoStream> aStream, kj::Maybe<Error> aError);

  kj::Canceler canceler;

private:
  CallerHttp& port_;
  bool isClosing_ = false;
};

/// The stream of a connection. While a request runs, it reads ahead to notice the end of
/// the caller's data; kj itself notices only a reset or a full close.
class CallerHttp::Stream final : public kj::AsyncIoStream
{
public:
  Stream(kj::Own<kj::AsyncIoStream> aInner, kj::Own<Connection> aConnection);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /// Hands an open connection over for a lingering close.
  ~Stream() noexcept(false);

  kj::Own<Connection> connection;

  /// Tells that the head of a request was read, or that the next one may come.
  void ExpectHead(bool aIsExpected);

  /// Calls back once if the caller's data end before WatchEnd(nullptr).
  void WatchEnd(std::function<void()> aOnEnd);

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMin, size_t aMax) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override { inner_->shutdownWrite(); }

private:
  kj::Own<kj::AsyncIoStream> inner_;
  std::function<void()> onEnd_;
  bool isReading_ = false;
  bool isEnded_ = false;
  bool isHeadExpected_ = true;
  size_t headBytes_ = 0; // of a head that is not whole yet and has no answer
  size_t begin_ = 0;
  size_t end_ = 0;
  char buffer_[1024];
  kj::ForkedPromise<void> ahead_ = nullptr;
  kj::Promise<void> reader_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CALLER_STREAM_H_
