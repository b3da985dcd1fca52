// Exchanges gossip digests with peer daemons as UDP datagrams.
//
//   DigestPort digests({ .network = network, .sink = sink, .address = "10.0.0.1:8361" });
//   digests.Execute(SendDigest{ .to = { "10.0.0.2:8361" }, .digest = digest });

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
  /// Binds the address. Throws kj::Exception if it is malformed or in use.
  explicit DigestPort(DigestPortOptions aOptions);

  DigestPort(const DigestPort&) = delete;
  DigestPort& operator=(const DigestPort&) = delete;

  /// Sends the digest to each peer, without retries. Malformed addresses are skipped.
  void Execute(const SendDigest& aAction);

  /// Returns the number of received datagrams that were not a valid digest.
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
