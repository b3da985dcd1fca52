// A kj event loop for tests of the ports, with the events that the ports emitted and raw
// connections on loopback.

#ifndef GOOSEBERRYPATH_TESTING_LOOP_FIXTURE_H_
#define GOOSEBERRYPATH_TESTING_LOOP_FIXTURE_H_

#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include <kj/async-io.h>
#include <kj/debug.h>

#include "gooseberrypath/event_loop.h"
#include "gooseberrypath/events.h"
#include "gooseberrypath/ports.h"

namespace gooseberrypath {

/// A raw connection, read and written by the test.
class RawPeer
{
public:
  RawPeer(kj::AsyncIoContext& aIo, kj::Own<kj::AsyncIoStream> aStream)
    : io_(aIo)
    , stream(kj::mv(aStream))
  {
  }

  void Write(std::string_view aBytes)
  {
    stream->write(aBytes.data(), aBytes.size()).wait(io_.waitScope);
  }

  /// Reads until the bytes read so far end with this text, or to the end of the stream; a
  /// reset counts as the end.
  std::string ReadUntil(std::string_view aEnd)
  {
    std::string bytes;
    char next = 0;
    const auto read = [&] {
      // kj throws at once if the connection was reset before the call.
      auto promise = kj::evalNow([&] { return stream->tryRead(&next, 1, 1); });
      promise = promise.catch_([](kj::Exception&& aError) {
        KJ_REQUIRE(aError.getType() == kj::Exception::Type::DISCONNECTED, aError);
        return size_t{ 0 };
      });
      return io_.provider->getTimer()
        .timeoutAfter(20 * kj::SECONDS, kj::mv(promise))
        .wait(io_.waitScope);
    };
    while ((aEnd.empty() || !bytes.ends_with(aEnd)) && read() == 1) {
      bytes += next;
    }
    return bytes;
  }

  std::string ReadAll() { return ReadUntil(""); }

  void Close() { stream = nullptr; }

private:
  kj::AsyncIoContext& io_;

public:
  kj::Own<kj::AsyncIoStream> stream;
};

/// The event loop, the network and the events of one kind of daemon.
template<typename EventType>
class BasicLoopFixture
{
public:
  std::function<void(EventType)> Sink()
  {
    return [this](EventType aEvent) {
      events.push_back(std::move(aEvent));
      if (arrived_.get() != nullptr) {
        arrived_->fulfill();
      }
    };
  }

  kj::Network& Network() { return io.provider->getNetwork(); }
  kj::Timer& Timer() { return io.provider->getTimer(); }

  /// Waits for the next event of this type and removes it; other events are kept.
  template<typename T>
  T WaitFor()
  {
    while (true) {
      for (auto it = events.begin(); it != events.end(); ++it) {
        if (std::holds_alternative<T>(*it)) {
          T found = std::get<T>(std::move(*it));
          events.erase(it);
          return found;
        }
      }
      auto next = kj::newPromiseAndFulfiller<void>();
      arrived_ = kj::mv(next.fulfiller);
      Timer().timeoutAfter(20 * kj::SECONDS, kj::mv(next.promise)).wait(io.waitScope);
    }
  }

  template<typename T>
  size_t Count() const
  {
    size_t count = 0;
    for (const EventType& event : events) {
      count += std::holds_alternative<T>(event) ? 1 : 0;
    }
    return count;
  }

  /// Runs the loop until the condition holds. The guard is no part of what is tested.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    for (int i = 0; !aCondition(); ++i) {
      KJ_REQUIRE(i < 20000, "the condition never held");
      Timer().afterDelay(1 * kj::MILLISECONDS).wait(io.waitScope);
    }
  }

  kj::Own<kj::ConnectionReceiver> Listen()
  {
    return Network().parseAddress("127.0.0.1").wait(io.waitScope)->listen();
  }

  RawPeer Accept(kj::ConnectionReceiver& aListener)
  {
    return {
      io, Timer().timeoutAfter(20 * kj::SECONDS, aListener.accept()).wait(io.waitScope)
    };
  }

  RawPeer ConnectTo(uint16_t aPort)
  {
    return { io, Network()
                   .parseAddress("127.0.0.1", aPort)
                   .wait(io.waitScope)
                   ->connect()
                   .wait(io.waitScope) };
  }

  /// Returns the address of a port on which nobody listens.
  std::string RefusingAddress()
  {
    return "127.0.0.1:" + std::to_string(Listen()->getPort());
  }

  static std::string AddressOf(kj::ConnectionReceiver& aListener)
  {
    return "127.0.0.1:" + std::to_string(aListener.getPort());
  }

  kj::AsyncIoContext io = SetUpEventLoop();
  std::deque<EventType> events;

private:
  kj::Own<kj::PromiseFulfiller<void>> arrived_;
};

using LoopFixture = BasicLoopFixture<Event>;

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TESTING_LOOP_FIXTURE_H_
