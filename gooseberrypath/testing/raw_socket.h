// A blocking-free TCP socket outside the event loop of a test, so that bytes can be put
// into the operating system's buffers before the loop runs.
//
//   RawSocket caller = RawSocket::Connect(port);
//   const size_t sent = caller.SendUntilFull(head, part);

#ifndef GOOSEBERRYPATH_TESTING_RAW_SOCKET_H_
#define GOOSEBERRYPATH_TESTING_RAW_SOCKET_H_

#include <cstdint>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberrypath {

class RawSocket
{
public:
  /// Connects to this port of the loopback address; the operating system completes the
  /// connection before it is accepted.
  static RawSocket Connect(uint16_t aPort)
  {
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{ .sin_family = AF_INET,
                         .sin_port = htons(aPort),
                         .sin_addr = { htonl(INADDR_LOOPBACK) },
                         .sin_zero = {} };
    REQUIRE(connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return RawSocket(handle);
  }

  ~RawSocket()
  {
    if (handle_ >= 0) {
      close(handle_);
    }
  }

  RawSocket(RawSocket&& aOther) noexcept
    : handle_(std::exchange(aOther.handle_, -1))
  {
  }
  RawSocket& operator=(RawSocket&&) = delete;

  /// Sends bytes, which must fit the operating system's buffers.
  void Send(std::string_view aBytes) { REQUIRE(TrySend(aBytes) == aBytes.size()); }

  /// Sends aFirst and then aRepeated until the operating system takes no more or aMost
  /// bytes are sent. Returns the number of bytes.
  size_t SendUntilFull(std::string_view aFirst, std::string_view aRepeated, size_t aMost)
  {
    Send(aFirst);
    size_t total = aFirst.size();
    size_t sent = 0;
    do {
      sent = TrySend(aRepeated);
      total += sent;
    } while (sent == aRepeated.size() && total < aMost);
    return total;
  }

private:
  explicit RawSocket(int aHandle)
    : handle_(aHandle)
  {
  }

  size_t TrySend(std::string_view aBytes)
  {
    const ssize_t sent =
      send(handle_, aBytes.data(), aBytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }

  int handle_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TESTING_RAW_SOCKET_H_
