#include "gooseberrypath/peer_rpc.h"

#include <algorithm>
#include <utility>

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>
#include <kj/refcount.h>

#include "gooseberrypath/http_io.h"
#include "gooseberrypath/longest_waiting.h"
#include "gooseberrypath/peer_wire.h"

namespace gooseberrypath {

namespace {

capnp::ReaderOptions ToReaderOptions(uint64_t aMaxBytes)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxBytes / sizeof(capnp::word);
  options.nestingLimit = 16; // the schema nests less
  return options;
}

// Reads that wait for less than this are not counted.
constexpr size_t kMinChargedBytes = size_t{ 4 } * 1024;

} // namespace

/// Calls of peers that wait for the core. It is counted, because a call of the RPC system
/// may end after the port.
struct PeerRpc::Questions : public kj::Refcounted
{
  OpenQuestions<ClaimWord> claims;
  OpenQuestions<HandOverWord> handOvers;
  OpenQuestions<StreamPart> reads;

  size_t Size() const { return claims.size() + handOvers.size() + reads.size(); }
};

/// The capability that peers call.
class PeerRpc::Server final : public wire::Peer::Server
{
public:
  explicit Server(PeerRpc& aPort)
    : port_(&aPort)
  {
  }

  /// The RPC system may keep the capability for longer than the port lives.
  void Close() { port_ = nullptr; }

  kj::Promise<void> gossip(GossipContext aContext) override
  {
    GossipMessage message = FromWire(aContext.getParams().getMessage());
    aContext.releaseParams();
    Port().options_.sink(GossipReceived{ std::move(message) });
    return kj::READY_NOW;
  }

  kj::Promise<void> askClaim(AskClaimContext aContext) override
  {
    const auto text = aContext.getParams().getClaim();
    std::string claim(text.begin(), text.size());
    aContext.releaseParams();
    aContext.allowCancellation();
    auto answer = Port().Ask(Port().questions_->claims, [&](QuestionId aId) {
      return ClaimAsked{ aId, std::move(claim) };
    });
    return answer.then([aContext](ClaimWord aWord) mutable {
      switch (aWord) {
        case ClaimWord::Running:
          aContext.getResults().setWord(wire::ClaimWord::RUNNING);
          return;
        case ClaimWord::GaveUp:
          aContext.getResults().setWord(wire::ClaimWord::GAVE_UP);
          return;
        case ClaimWord::NotHeld:
          aContext.getResults().setWord(wire::ClaimWord::NOT_HELD);
          return;
        case ClaimWord::Unreachable:
          break;
      }
      kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "the claim question was refused"));
    });
  }

  kj::Promise<void> snapshot(SnapshotContext aContext) override
  {
    const auto& snapshot = Port().options_.snapshot;
    aContext.getResults().setRecord(View(snapshot ? snapshot() : std::string()));
    return kj::READY_NOW;
  }

  kj::Promise<void> handOver(HandOverContext aContext) override
  {
    StreamState state = FromWire(aContext.getParams().getState());
    aContext.releaseParams();
    auto answer = Port().Ask(Port().questions_->handOvers, [&](QuestionId aId) {
      return HandOverAsked{ aId, std::move(state) };
    });
    return answer.then([aContext](HandOverWord aWord) mutable {
      aContext.getResults().setAccepted(aWord == HandOverWord::Accepted);
    });
  }

  kj::Promise<void> readStream(ReadStreamContext aContext) override
  {
    const auto params = aContext.getParams();
    const auto text = params.getStream();
    StreamAsked asked{ .question = {},
                       .stream = { text.begin(), text.size() },
                       .from = params.getFrom() };
    aContext.releaseParams();
    aContext.allowCancellation();
    auto answer = Port().Ask(Port().questions_->reads, [&](QuestionId aId) {
      asked.question = aId;
      return std::move(asked);
    });
    return answer.then([aContext](const StreamPart& aPart) mutable {
      ToWire(aPart, aContext.getResults().initPart());
    });
  }

private:
  PeerRpc& Port()
  {
    KJ_REQUIRE(port_ != nullptr, "the port is closed");
    return *port_;
  }

  PeerRpc* port_;
};

/// The stream of an accepted connection. It charges the memory that Cap'n Proto takes up
/// for a message before its bytes have come: the bytes that a read waits for.
class PeerRpc::IncomingStream final : public kj::AsyncIoStream
{
public:
  IncomingStream(Incoming& aConnection, kj::Own<kj::AsyncIoStream> aInner)
    : connection_(aConnection)
    , inner_(kj::mv(aInner))
  {
  }

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMin, size_t aMax) override;

  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    return inner_->write(aBuffer, aSize);
  }
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    return inner_->write(aPieces);
  }
  kj::Promise<void> whenWriteDisconnected() override
  {
    return inner_->whenWriteDisconnected();
  }
  void shutdownWrite() override { inner_->shutdownWrite(); }
  void abortRead() override { inner_->abortRead(); }

private:
  Incoming& connection_;
  kj::Own<kj::AsyncIoStream> inner_;
};

/// One accepted connection. Members are destroyed in reverse order.
struct PeerRpc::Incoming
{
  Incoming(PeerRpc& aPort, kj::Own<kj::AsyncIoStream> aStream)
    : port(aPort)
    , charge(aPort.options_.memory)
    , waitsSince(TimeOf(aPort.options_.timer))
    , stream(*this, kj::mv(aStream))
    , network(stream, capnp::rpc::twoparty::Side::SERVER,
              ToReaderOptions(aPort.options_.maxMessageBytes))
    , rpc(capnp::makeRpcServer(network, aPort.server_))
  {
    // Calls without an answer may hold no more than two full messages.
    rpc.setFlowLimit(2 * aPort.options_.maxMessageBytes / sizeof(capnp::word));
  }

  /// Returns the time since which it waits for the rest of a message that takes up
  /// memory.
  std::optional<TimePoint> StalledSince() const
  {
    return charge.Bytes() > 0 ? std::optional(waitsSince) : std::nullopt;
  }

  PeerRpc& port;
  MemoryCharge charge; // for the message that is being received
  TimePoint waitsSince;
  IncomingStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

kj::Promise<size_t> PeerRpc::IncomingStream::tryRead(void* aBuffer, size_t aMin,
                                                     size_t aMax)
{
  connection_.waitsSince = TimeOf(connection_.port.options_.timer);
  if (aMin < kMinChargedBytes) {
    return inner_->tryRead(aBuffer, aMin, aMax);
  }
  const bool hasRoom =
    connection_.charge.TryResize(aMin) ||
    (connection_.port.MakeRoom(aMin, connection_) && connection_.charge.TryResize(aMin));
  if (!hasRoom) {
    ++connection_.port.shortages_.refusedRequests;
    return KJ_EXCEPTION(DISCONNECTED, "no memory for the message of a peer");
  }
  return inner_->tryRead(aBuffer, aMin, aMax).then([this](size_t aRead) {
    connection_.charge.Resize(0);
    return aRead;
  });
}

/// The connection to one peer. It is counted, because the promise that connects it may
/// outlive its place in the table while a call waits.
struct PeerRpc::Outgoing : public kj::Refcounted
{
  struct Rpc
  {
    Rpc(kj::Own<kj::AsyncIoStream> aStream, uint64_t aMaxBytes)
      : stream(kj::mv(aStream))
      , network(*stream, capnp::rpc::twoparty::Side::CLIENT, ToReaderOptions(aMaxBytes))
      , system(capnp::makeRpcClient(network))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
  };

  uint64_t generation = 0;
  uint64_t lastUse = 0;
  kj::Maybe<kj::Own<Rpc>> rpc; // once connected
  kj::Maybe<wire::Peer::Client> client;
};

PeerRpc::PeerRpc(PeerRpcOptions aOptions)
  : options_(std::move(aOptions))
  , questions_(kj::refcounted<Questions>())
  , newServer_(kj::heap<Server>(*this))
  , serverImpl_(*newServer_)
  , server_(kj::mv(newServer_))
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    listener_ = (*address)->listen();
  } else {
    KJ_FAIL_REQUIRE("the peer address is not IP:port", options_.address.c_str());
  }
  port_ = static_cast<uint16_t>(listener_->getPort());
  options_.memory->SetLeastBound(options_.maxMessageBytes);
  accepting_ = AcceptLoop().eagerlyEvaluate(
    [this](kj::Exception&& aError) { errors_.taskFailed(kj::mv(aError)); });
  tasks_.add(ReportLoop());
}

PeerRpc::~PeerRpc() noexcept(false)
{
  serverImpl_.Close();
}

size_t PeerRpc::QuestionCount() const
{
  return questions_->Size();
}

kj::Promise<void> PeerRpc::AcceptLoop()
{
  return listener_->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) -> kj::Promise<void> {
        Serve(kj::mv(aStream));
        return kj::READY_NOW;
      },
      [this](kj::Exception&&) -> kj::Promise<void> {
        // For example, the process has no free file descriptor: retry without spinning.
        return options_.timer.afterDelay(50 * kj::MILLISECONDS);
      })
    .then([this] { return AcceptLoop(); });
}

void PeerRpc::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  if (incoming_.size() >= options_.maxIncoming && !MakeRoomForConnection()) {
    ++shortages_.droppedConnections;
    return; // closes the connection
  }
  const uint64_t id = ++lastIncoming_;
  auto incoming = kj::heap<Incoming>(*this, kj::mv(aStream));
  auto disconnected = incoming->network.onDisconnect().catch_([](kj::Exception&&) {});
  incoming_.emplace(id, kj::mv(incoming));
  // Closed in a fresh turn, since this may be a continuation of its RPC system.
  tasks_.add(disconnected.then(
    [this, id] { return kj::evalLater([this, id] { incoming_.erase(id); }); }));
}

bool PeerRpc::MakeRoom(size_t aBytes, const Incoming& aFor)
{
  while (options_.memory->Free() < aBytes) {
    LongestWaiting<const uint64_t> longest(TimeOf(options_.timer));
    for (const auto& [id, incoming] : incoming_) {
      if (incoming.get() != &aFor) {
        longest.Offer(id, incoming->StalledSince());
      }
    }
    if (longest.Get() == nullptr) {
      return false;
    }
    ++shortages_.droppedRequests;
    incoming_.erase(*longest.Get());
  }
  return true;
}

bool PeerRpc::MakeRoomForConnection()
{
  LongestWaiting<const uint64_t> longest(TimeOf(options_.timer));
  for (const auto& [id, incoming] : incoming_) {
    longest.Offer(id, incoming->waitsSince);
  }
  if (longest.Get() == nullptr) {
    return false;
  }
  ++shortages_.droppedConnections;
  incoming_.erase(*longest.Get());
  return true;
}

kj::Promise<void> PeerRpc::ReportLoop()
{
  return options_.timer.afterDelay(ToKj(kShortageReportInterval)).then([this] {
    if (options_.onShortage && shortages_ != reportedShortages_) {
      reportedShortages_ = shortages_;
      options_.onShortage(shortages_);
    }
    return ReportLoop();
  });
}

template<typename Word, typename MakeEvent>
kj::Promise<Word> PeerRpc::Ask(OpenQuestions<Word>& aOpen, MakeEvent aMakeEvent)
{
  if (aOpen.size() >= options_.maxQuestions) {
    return KJ_EXCEPTION(OVERLOADED, "too many questions are open");
  }
  const QuestionId id{ lastQuestion_++ };
  auto answer = kj::newPromiseAndFulfiller<Word>();
  aOpen.emplace(id, kj::mv(answer.fulfiller));
  options_.sink(aMakeEvent(id));
  return options_.timer
    .timeoutAfter(ToKj(options_.questionTimeout), kj::mv(answer.promise))
    .attach(kj::defer(
      [questions = kj::addRef(*questions_), &aOpen, id]() mutable { aOpen.erase(id); }));
}

template<typename Word>
void PeerRpc::Answer(OpenQuestions<Word>& aOpen, QuestionId aId, Word aWord)
{
  const auto found = aOpen.find(aId);
  if (found != aOpen.end()) {
    auto question = kj::mv(found->second);
    aOpen.erase(found);
    question->fulfill(kj::mv(aWord));
  }
}

void PeerRpc::Execute(const AnswerClaimQuestion& aAction)
{
  Answer(questions_->claims, aAction.question, ClaimWord(aAction.word));
}

void PeerRpc::Execute(const AnswerHandOver& aAction)
{
  Answer(questions_->handOvers, aAction.question, HandOverWord(aAction.word));
}

void PeerRpc::Execute(const AnswerStreamQuestion& aAction)
{
  Answer(questions_->reads, aAction.question, StreamPart(aAction.part));
}

PeerRpc::Outgoing& PeerRpc::ConnectionTo(const std::string& aAddress)
{
  const auto found = connections_.find(aAddress);
  if (found != connections_.end()) {
    found->second->lastUse = ++lastUse_;
    return *found->second;
  }
  if (connections_.size() >= options_.maxOutgoing) {
    const auto oldest = std::ranges::min_element(
      connections_, {}, [](const auto& aEntry) { return aEntry.second->lastUse; });
    Drop(std::string(oldest->first), oldest->second->generation);
  }
  auto outgoing = kj::refcounted<Outgoing>();
  outgoing->generation = outgoing->lastUse = ++lastUse_;
  outgoing->client = wire::Peer::Client(
    Connect(options_.network, options_.timer, aAddress, options_.callTimeout)
      .then([self = kj::addRef(*outgoing), maxBytes = options_.maxMessageBytes](
              kj::Own<kj::AsyncIoStream> aStream) mutable {
        auto rpc = kj::heap<Outgoing::Rpc>(kj::mv(aStream), maxBytes);
        capnp::MallocMessageBuilder builder;
        auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        auto client = rpc->system.bootstrap(vat).castAs<wire::Peer>();
        self->rpc = kj::mv(rpc);
        return client;
      }));
  return *connections_.emplace(aAddress, kj::mv(outgoing)).first->second;
}

void PeerRpc::Drop(const std::string& aAddress, uint64_t aGeneration)
{
  const auto found = connections_.find(aAddress);
  if (found == connections_.end() || found->second->generation != aGeneration) {
    return; // another call dropped it, and it may be replaced already
  }
  kj::Own<Outgoing> outgoing = kj::mv(found->second);
  connections_.erase(found);
  // Closed in a fresh turn, since the caller may be a continuation of its RPC system.
  tasks_.add(kj::evalLater([outgoing = kj::mv(outgoing)]() mutable {
    outgoing->client = nullptr;
    outgoing->rpc = nullptr;
    outgoing = nullptr;
  }));
}

void PeerRpc::Execute(const SendGossip& aAction)
{
  Outgoing& outgoing = ConnectionTo(aAction.address);
  auto request = KJ_ASSERT_NONNULL(outgoing.client).gossipRequest();
  ToWire(aAction.message, request.initMessage());
  tasks_.add(
    options_.timer.timeoutAfter(ToKj(options_.callTimeout), request.send().ignoreResult())
      .catch_([this, address = aAction.address,
               generation = outgoing.generation](kj::Exception&&) {
        Drop(address, generation);
        options_.sink(GossipFailed{ address });
      }));
}

/// Waits for the answer of a call; a failed one drops the connection and counts as the
/// word for a peer that is out of reach.
template<typename Word, typename MakeEvent>
void PeerRpc::Await(const std::string& aAddress, uint64_t aGeneration,
                    kj::Promise<Word> aAnswer, Word aUnreachable, MakeEvent aMakeEvent)
{
  tasks_.add(options_.timer.timeoutAfter(ToKj(options_.callTimeout), kj::mv(aAnswer))
               .catch_([this, aAddress, aGeneration,
                        unreachable = std::move(aUnreachable)](kj::Exception&&) mutable {
                 Drop(aAddress, aGeneration);
                 return std::move(unreachable);
               })
               .then([this, aMakeEvent](Word aWord) {
                 options_.sink(aMakeEvent(std::move(aWord)));
               }));
}

void PeerRpc::Execute(const AskClaim& aAction)
{
  Outgoing& outgoing = ConnectionTo(aAction.address);
  auto request = KJ_ASSERT_NONNULL(outgoing.client).askClaimRequest();
  request.setClaim(View(aAction.claim));
  Await(aAction.address, outgoing.generation,
        request.send().then([](capnp::Response<wire::Peer::AskClaimResults>&& aResponse) {
          return FromWire(aResponse.getWord());
        }),
        ClaimWord::Unreachable, [question = aAction.question](ClaimWord aWord) {
          return ClaimAnswered{ question, aWord };
        });
}

void PeerRpc::Execute(const HandOverStream& aAction)
{
  Outgoing& outgoing = ConnectionTo(aAction.address);
  auto request = KJ_ASSERT_NONNULL(outgoing.client).handOverRequest();
  ToWire(aAction.state, request.initState());
  Await(aAction.address, outgoing.generation,
        request.send().then([](capnp::Response<wire::Peer::HandOverResults>&& aResponse) {
          return aResponse.getAccepted() ? HandOverWord::Accepted : HandOverWord::Refused;
        }),
        HandOverWord::Unreachable, [question = aAction.question](HandOverWord aWord) {
          return HandOverAnswered{ question, aWord };
        });
}

void PeerRpc::Execute(const ReadStream& aAction)
{
  Outgoing& outgoing = ConnectionTo(aAction.address);
  auto request = KJ_ASSERT_NONNULL(outgoing.client).readStreamRequest();
  request.setStream(View(aAction.stream));
  request.setFrom(aAction.from);
  Await(
    aAction.address, outgoing.generation,
    request.send().then([](capnp::Response<wire::Peer::ReadStreamResults>&& aResponse) {
      return FromWire(aResponse.getPart());
    }),
    StreamPart{}, [question = aAction.question](StreamPart aPart) {
      return StreamAnswered{ question, std::move(aPart) };
    });
}

void PeerRpc::Execute(const AskSnapshot& aAction)
{
  Outgoing& outgoing = ConnectionTo(aAction.address);
  auto answered =
    KJ_ASSERT_NONNULL(outgoing.client)
      .snapshotRequest()
      .send()
      .then([this, address = aAction.address](
              capnp::Response<wire::Peer::SnapshotResults>&& aResponse) {
        options_.sink(SnapshotReceived{ address, ToText(aResponse.getRecord()) });
      });
  tasks_.add(
    options_.timer.timeoutAfter(ToKj(options_.callTimeout), kj::mv(answered))
      .catch_([this, address = aAction.address, generation = outgoing.generation](
                kj::Exception&&) { Drop(address, generation); }));
}

} // namespace gooseberrypath
