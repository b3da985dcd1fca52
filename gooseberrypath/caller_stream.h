// The connection and the stream of CallerHttp. Only its source files include this header.

#ifndef GOOSEBERRYPATH_CALLER_STREAM_H_
#define GOOSEBERRYPATH_CALLER_STREAM_H_

#include <cstddef>
#include <functional>
#include <optional>

#include <kj/async-io.h>
#include <kj/refcount.h>

#include "gooseberrypath/caller_http.h"

namespace gooseberrypath {

/// One accepted connection, with the charges for what its caller has sent. It outlives
/// its stream.
class CallerHttp::Connection : public kj::Refcounted
{
public:
  explicit Connection(CallerHttp& aPort);
  ~Connection() noexcept(false) override;

  /// Returns the bytes that one request within these limits may take up.
  static size_t LargestRequest(size_t aBodyBytes, size_t aHeaderBytes);

  /// Closes the connection in a fresh turn of the loop, because the caller may be a
  /// continuation that runs for this connection.
  void CloseLater();

  /// Frees at once what was read of a request that is not complete, and answers with this
  /// error. Must not be called from a continuation that runs for this connection.
  void Refuse(Error aError);

  /// Like Refuse(), in a fresh turn of the loop.
  void RefuseLater(Error aError);

  /// Closes the connection at once. Must not be called from a continuation that runs for
  /// this connection.
  void Drop();

  /// Tells that the connection waits for its caller from now on, for a request, the rest
  /// of one or the end, or that some of what it waits for has come.
  void BeginWait();

  /// Tells that it no longer waits: a request runs or its answer is being sent.
  void EndWait() { waitsSince_.reset(); }

  /// Returns the time since which the connection waits for its caller. Empty: it does
  /// not.
  std::optional<TimePoint> WaitsSince() const { return waitsSince_; }

  /// The same, if the connection holds so much memory that dropping it makes room.
  std::optional<TimePoint> StalledSince() const;

  /// Tells that bytes of an answer are being written, that the caller has taken some of
  /// them (again with true), or that it has taken all.
  void WaitForTaking(bool aIsWriting);

  /// Returns the time since which the caller has taken nothing of an answer. Empty: none
  /// is being written.
  std::optional<TimePoint> UntakenSince() const { return untakenSince_; }

  /// Charges kj's memory for a head of this size. kj keeps it for the connection's next
  /// heads. Returns false if there is no room.
  bool ChargeHead(size_t aBytes, size_t aFields);

  /// Sets the charge for the request that is being read. Returns false if it grows and
  /// there is no room.
  bool ChargeRequest(size_t aBytes) { return Charge(requestCharge_, aBytes); }

  /// Returns the charge for the request, which is complete or given up.
  MemoryCharge TakeRequestCharge();

  /// Returns all charges and waits for nothing more, when the stream is gone.
  void Release();

  CallerHttp& GetPort() { return port_; }

  /// Closes a stream on which an answer was written: reads what the caller still sends,
  /// within limits, since closing a socket with unread data resets the answer away.
  /// An error is written first.
  void Linger(kj::Own<kj::AsyncIoStream> aStream, kj::Maybe<Error> aError);

  kj::Canceler canceler;

private:
  /// Changes a charge after making room if need be. Returns false if there is none.
  bool Charge(MemoryCharge& aCharge, size_t aBytes);

  CallerHttp& port_;
  bool isClosing_ = false;
  std::optional<Error> refusal_; // to be written when the connection closes
  std::optional<TimePoint> waitsSince_;
  std::optional<TimePoint> untakenSince_;
  MemoryCharge headCharge_;
  MemoryCharge requestCharge_;
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
  /// Writes in parts, so that a caller that takes its answer slowly can be told from one
  /// that does not.
  kj::Promise<void> WriteParts(const kj::byte* aBuffer, size_t aSize);

  /// Charges bytes of a head. Throws kj::Exception of type OVERLOADED if there is no
  /// room.
  void NoteRead(size_t aBytes);

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
