// Exchanges gossip digests, permit messages and placement messages with peer daemons as
// UDP datagrams.
//
//   DigestPort digests({ .network = network, .sink = sink, .address = "10.0.0.1:8361" });
//   digests.Execute(SendDigest{ .to = { "10.0.0.2:8361" }, .digest = digest });

#ifndef ENTRY_DIGEST_PORT_H_
#define ENTRY_DIGEST_PORT_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
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

  /// Sends the message without retries. A malformed address is skipped.
  void Execute(const SendPermitMessage& aAction);
  void Execute(const SendPlacementMessage& aAction);

  /// Returns the number of received datagrams that were not a valid message.
  uint64_t MalformedCount() const { return malformedCount_; }

private:
  kj::Promise<void> ReceiveLoop();

  /// Passes a received datagram to the sink, unless it is malformed.
  void Receive(std::span<const char> aBytes, const std::string& aFrom);
  void ReceivePermit(std::span<const char> aBytes, const std::string& aFrom);
  void ReceivePlacement(std::span<const char> aBytes, const std::string& aFrom);

  /// Sends a datagram to the address, unless that is malformed.
  void Send(const std::string& aTo, const std::shared_ptr<const std::string>& aBytes);

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
