// Other daemons over Cap'n Proto RPC.
//
//   PeerRpc peers({ .network = network, .timer = timer, .sink = sink,
//                   .address = "127.0.0.1:7200" });
//   peers.Execute(SendGossip{ "127.0.0.1:7201", message });

#ifndef GOOSEBERRYPATH_PEER_RPC_H_
#define GOOSEBERRYPATH_PEER_RPC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <kj/async-io.h>
#include <kj/timer.h>

#include "gooseberrypath/memory_account.h"
#include "gooseberrypath/peer.capnp.h"
#include "gooseberrypath/ports.h"
#include "gooseberrypath/shortages.h"
#include "gooseberrypath/task_errors.h"

namespace gooseberrypath {

struct PeerRpcOptions
{
  static constexpr size_t kMaxIncoming = 1024;

  kj::Network& network;
  kj::Timer& timer;
  EventSink sink;
  std::string address = "127.0.0.1:0"; // "IP:port"; port 0 chooses a free one
  Duration callTimeout = std::chrono::milliseconds(300); // with connecting
  std::function<std::string()> snapshot;                 // answers the RPC snapshot()
  size_t maxQuestions = 1024; // of each kind that wait for the core
  Duration questionTimeout = std::chrono::seconds(2);
  size_t maxIncoming =
    kMaxIncoming;          // accepted connections; a new one replaces an idle one
  size_t maxOutgoing = 64; // cached connections; the least recently used is dropped
  uint64_t maxMessageBytes = uint64_t{ 1024 } * 1024;
  // Account of the messages that are being received. Its bound is raised to what one
  // needs.
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>();
  // Called at most every 250 ms, after the counts have changed.
  std::function<void(const Shortages&)> onShortage = {};
};

/// Models PeerPort. One connection per peer is kept; it is dropped when a call on it
/// fails, and the next call connects again.
class PeerRpc
{
public:
  /// Listens at once. Throws kj::Exception if the address is malformed or in use.
  explicit PeerRpc(PeerRpcOptions aOptions);
  ~PeerRpc() noexcept(false);

  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;

  void Execute(const SendGossip& aAction);
  void Execute(const AskClaim& aAction);
  void Execute(const AskSnapshot& aAction);
  void Execute(const HandOverStream& aAction);
  void Execute(const ReadStream& aAction);

  /// Answer ClaimAsked, HandOverAsked and StreamAsked events. Unknown questions are
  /// ignored, since the asker may have gone. The word Unreachable refuses the question.
  void Execute(const AnswerClaimQuestion& aAction);
  void Execute(const AnswerHandOver& aAction);
  void Execute(const AnswerStreamQuestion& aAction);

  uint16_t Port() const { return port_; }
  size_t IncomingCount() const { return incoming_.size(); }
  size_t OutgoingCount() const { return connections_.size(); }
  size_t QuestionCount() const;

  const TaskErrors& Errors() const { return errors_; }

private:
  class Server;
  class IncomingStream;
  struct Incoming;
  struct Outgoing;
  struct Questions;

  kj::Promise<void> AcceptLoop();
  void Serve(kj::Own<kj::AsyncIoStream> aStream);

  /// Drops the connections that have waited longest for the rest of a message, until
  /// there is room for this many bytes of another one. Returns whether there is.
  bool MakeRoom(size_t aBytes, const Incoming& aFor);

  /// Drops the connection that has waited longest, so that a new one fits. Returns
  /// whether there was any.
  bool MakeRoomForConnection();

  /// Reports shortages, now and then.
  kj::Promise<void> ReportLoop();
  template<typename Word>
  using OpenQuestions =
    std::unordered_map<QuestionId, kj::Own<kj::PromiseFulfiller<Word>>>;

  template<typename Word, typename MakeEvent>
  kj::Promise<Word> Ask(OpenQuestions<Word>& aOpen, MakeEvent aMakeEvent);
  template<typename Word>
  void Answer(OpenQuestions<Word>& aOpen, QuestionId aId, Word aWord);
  template<typename Word, typename MakeEvent>
  void Await(const std::string& aAddress, uint64_t aGeneration, kj::Promise<Word> aAnswer,
             Word aUnreachable, MakeEvent aMakeEvent);
  Outgoing& ConnectionTo(const std::string& aAddress);
  void Drop(const std::string& aAddress, uint64_t aGeneration);

  PeerRpcOptions options_;
  uint16_t port_ = 0;
  uint64_t lastIncoming_ = 0;
  std::unordered_map<uint64_t, kj::Own<Incoming>> incoming_;
  Shortages shortages_;
  Shortages reportedShortages_;
  // The core numbers its own questions from 1, so the port's start far above.
  uint64_t lastQuestion_ = uint64_t{ 1 } << 32;
  uint64_t lastUse_ = 0;
  kj::Own<Questions> questions_;
  TaskErrors errors_;
  kj::Own<kj::ConnectionReceiver> listener_;
  kj::Own<Server> newServer_; // until server_ owns it
  Server& serverImpl_;
  wire::Peer::Client server_;
  std::unordered_map<std::string, kj::Own<Outgoing>> connections_;
  kj::TaskSet tasks_;
  kj::Promise<void> accepting_ = nullptr;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PEER_RPC_H_
