// Sends and receives the digests of daemons as datagrams.

#ifndef ENTRY_DIGEST_PORT_H_
#define ENTRY_DIGEST_PORT_H_

#include <functional>
#include <map>
#include <string>

#include <kj/async-io.h>

#include "entry/messages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath::entry {

struct DigestPortOptions
{
  kj::Network& network;
  std::function<void(Event)> sink;
  std::string address; // "IP:port" of this daemon
};

class DigestPort
{
public:
  /// Binds the address. Throws kj::Exception if it cannot be used.
  explicit DigestPort(DigestPortOptions aOptions);

  DigestPort(const DigestPort&) = delete;
  DigestPort& operator=(const DigestPort&) = delete;

  void Execute(const SendDigest& aAction);

  uint64_t MalformedCount() const { return malformedCount_; }

private:
  kj::Promise<void> ReceiveLoop();

  DigestPortOptions options_;
  uint64_t malformedCount_ = 0;
  std::map<std::string, kj::Own<kj::NetworkAddress>> addressCache_;
  kj::Own<kj::DatagramPort> port_;
  kj::Own<kj::DatagramReceiver> receiver_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_DIGEST_PORT_H_
