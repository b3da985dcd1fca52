// A TCP connection with callbacks. Bytes are passed on as they arrive; writes are queued.
//
//   Socket socket(kj::mv(stream), { .onBytes = ..., .onClosed = ... });
//   socket.Write("HTTP/1.1 200 OK\r\n\r\n");
//   socket.CloseAfterWrites();
//
// A callback may not destroy the socket; owners destroy it in a fresh turn of the loop.

#ifndef ENTRY_SOCKET_H_
#define ENTRY_SOCKET_H_

#include <array>
#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include <kj/async-io.h>

namespace gooseberrypath::entry {

struct SocketOptions
{
  std::function<void(std::span<const char>)> onBytes;
  /// The peer closed its side, or the connection broke. Called once.
  std::function<void(bool aIsReset)> onClosed;
  /// All queued bytes were handed to the system, after CloseAfterWrites().
  std::function<void()> onFlushed = {};
};

class Socket
{
public:
  Socket(kj::Own<kj::AsyncIoStream> aStream, SocketOptions aOptions);
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Sets the time after which unacknowledged bytes or a silent peer break the
  /// connection.
  void SetPeerTimeout(std::chrono::milliseconds aLimit);

  void Write(std::string_view aBytes);

  /// Returns the bytes that the system has not taken yet.
  size_t QueuedBytes() const { return writeQueue_.size() + bytesBeingWritten_.size(); }

  /// Stops and restarts the passing on of bytes.
  void Pause() { isPaused_ = true; }
  void Resume();

  /// Ends the sending side when all queued bytes were written.
  void CloseAfterWrites();

  /// Makes no more callbacks.
  void DisableCallbacks() { areCallbacksDisabled_ = true; }

private:
  kj::Promise<void> ReadLoop();
  kj::Promise<void> WriteLoop();
  void ReportClosed(bool aIsReset);
  void Fulfill(kj::Own<kj::PromiseFulfiller<void>>& aFulfiller);

  kj::Own<kj::AsyncIoStream> stream_;
  SocketOptions options_;
  std::array<char, 8192> readBuffer_{};
  std::string writeQueue_;
  std::string bytesBeingWritten_;
  bool isPaused_ = false;
  bool areCallbacksDisabled_ = false;
  bool isClosed_ = false;
  bool closesAfterWrites_ = false;
  kj::Own<kj::PromiseFulfiller<void>> resumeFulfiller_;
  kj::Own<kj::PromiseFulfiller<void>> writeFulfiller_;
  kj::Promise<void> readTask_ = nullptr;
  kj::Promise<void> writeTask_ = nullptr;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_SOCKET_H_
