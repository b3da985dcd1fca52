// TCP connection with callbacks. Received bytes are passed to a callback as they arrive,
// and writes are queued without a limit.
//
//   Socket socket(kj::mv(stream), { .onBytes = ..., .onClosed = ... });
//   socket.Write("HTTP/1.1 200 OK\r\n\r\n");
//   socket.CloseAfterWrites();
//
// A callback must not destroy the socket. Its owner destroys it in a later turn of the
// event loop.

#ifndef ENTRY_SOCKET_H_
#define ENTRY_SOCKET_H_

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include <kj/async-io.h>

#include "entry/bulk_turns.h"
#include "gooseberrypath/shared_bytes.h"

namespace gooseberrypath::entry {

/// How a connection ended.
enum class SocketEnd : uint8_t
{
  Closed, // the peer has closed its side
  Reset,
  Silent, // the peer timeout passed
};

struct SocketOptions
{
  std::function<void(std::span<const char>)> onBytes;
  /// Called once, when the peer has closed its side or the connection broke.
  std::function<void(SocketEnd)> onClosed;
  /// Called whenever all queued bytes were passed to the operating system.
  std::function<void()> onDrained = {};
  /// Called after CloseAfterWrites(), when all queued bytes were passed to the operating
  /// system.
  std::function<void()> onFlushed = {};
  /// Where the connection waits before it reads on, if a read filled its buffer and may
  /// have left bytes behind. Null: it reads on at once.
  BulkTurns* bulkTurns = nullptr;
};

class Socket
{
public:
  Socket(kj::Own<kj::AsyncIoStream> aStream, SocketOptions aOptions);
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Breaks the connection when the peer acknowledges no data or answers no TCP
  /// keep-alive probes for this time.
  void SetPeerTimeout(std::chrono::milliseconds aLimit);

  /// Queues a copy of the bytes for writing.
  void Write(std::string_view aBytes);

  /// Queues bytes for writing without a copy. They are held until they are written.
  void WriteShared(const SharedBytes& aBytes);

  /// Returns the number of bytes that were not yet passed to the operating system.
  size_t QueuedBytes() const { return queuedBytes_; }

  /// Returns the number of bytes that the peer has not acknowledged, queued ones
  /// included. Throws kj::Exception if the operating system cannot tell.
  size_t UndeliveredBytes() const;

  /// Suspends and resumes reading. Bytes of a read in progress are still passed on. The
  /// first call bounds, for the rest of the connection, the bytes that the operating
  /// system receives meanwhile.
  void Pause();
  void Resume();

  /// Tells whether the peer has acknowledged all written bytes. Throws kj::Exception if
  /// the operating system cannot tell.
  bool IsDelivered() const { return UndeliveredBytes() == 0; }

  /// Shuts down the sending side after all queued bytes were written.
  void CloseAfterWrites();

  /// From now on, the destruction of the socket or the end of the process resets the
  /// connection, until CloseAfterWrites() has written all queued bytes. Throws
  /// kj::Exception if the operating system refuses.
  void ResetUnlessFinished();

  /// Ensures that no callback is called any more.
  void DisableCallbacks() { areCallbacksDisabled_ = true; }

private:
  kj::Promise<void> ReadLoop();
  kj::Promise<void> WriteLoop();

  /// Sets whether closing the socket resets the connection.
  void SetResetOnClose(bool aResets);

  /// Tells whether an end of file is in truth a reset. The operating system reports a
  /// reset only once: if a write met it, the next read sees an end of file. A connection
  /// whose peer closed its side in order stays half open until this side closes, too.
  bool WasReset() const;

  /// Calls onClosed unless it was called before.
  void ReportClosed(SocketEnd aEnd);

  /// Wakes the read or write loop if it waits for this fulfiller.
  void Fulfill(kj::Own<kj::PromiseFulfiller<void>>& aFulfiller);

  kj::Own<kj::AsyncIoStream> stream_;
  SocketOptions options_;
  std::array<char, 8192> readBuffer_{};
  std::string writeQueue_;              // after the shared bytes
  std::deque<SharedBytes> sharedQueue_; // the first one may be written in part
  size_t writtenBytes_ = 0;             // of the first one
  size_t queuedBytes_ = 0;
  bool isPaused_ = false;
  bool boundsUnreadBytes_ = false;
  bool areCallbacksDisabled_ = false;
  bool isClosed_ = false;
  bool closesAfterWrites_ = false;
  bool areWritesShutDown_ = false;
  bool resetsUnlessFinished_ = false;
  kj::Own<kj::PromiseFulfiller<void>> resumeFulfiller_;
  kj::Own<kj::PromiseFulfiller<void>> writeFulfiller_;
  kj::Promise<void> readTask_ = nullptr;
  kj::Promise<void> writeTask_ = nullptr;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SOCKET_H_
