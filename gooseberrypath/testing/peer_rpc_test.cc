#include "gooseberrypath/peer_rpc.h"

#include <random>

#include <catch2/catch.hpp>

#include "gooseberrypath/testing/loop_fixture.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

static_assert(PeerPort<PeerRpc>);

namespace {

PeerRpcOptions OptionsOf(LoopFixture& aLoop)
{
  return { .network = aLoop.Network(),
           .timer = aLoop.Timer(),
           .sink = aLoop.Sink(),
           .callTimeout = 5s };
}

std::string AddressOf(const PeerRpc& aPeer)
{
  return "127.0.0.1:" + std::to_string(aPeer.Port());
}

GossipMessage Message()
{
  return { .fromAddress = "10.0.0.1:7",
           .wantsReply = true,
           .members = { { .daemon = "d1",
                          .incarnation = 5,
                          .heartbeat = 6,
                          .peerAddress = "10.0.0.1:7",
                          .zone = "z",
                          .appliedConfig = 8,
                          .state = DaemonState::Draining },
                        MemberDigest{} },
           .hosts = { { .host = "h", .sequence = 9, .leaving = false } },
           .beats = { { .id = ~uint64_t{ 0 }, .heartbeat = 7, .appliedConfig = 12 },
                      { .id = 2, .heartbeat = 8, .appliedConfig = 3 } },
           .wanted = { 3, 4 },
           .daemons = 380,
           .applied = { 5, 6 },
           .appliedUpTo = 13,
           .membersHash = 14 };
}

} // namespace

TEST_CASE("PeerRpc delivers gossip and claim questions", "[peer]")
{
  // Guards against fields lost in the wire form and against answers to the wrong
  // question.
  LoopFixture loop;
  PeerRpc here(OptionsOf(loop));
  PeerRpc there(OptionsOf(loop));
  here.Execute(SendGossip{ AddressOf(there), Message() });
  const auto received = loop.WaitFor<GossipReceived>().message;
  CHECK(received.fromAddress == Message().fromAddress);
  CHECK(received.wantsReply);
  CHECK(received.members == Message().members);
  CHECK(received.hosts == Message().hosts);
  CHECK(received.beats == Message().beats);
  CHECK(received.wanted == Message().wanted);
  CHECK(received.daemons == 380);
  CHECK(received.applied == Message().applied);
  CHECK(received.appliedUpTo == 13);
  CHECK(received.membersHash == 14);

  here.Execute(AskClaim{ { 1 }, AddressOf(there), "c1" });
  here.Execute(AskClaim{ { 2 }, AddressOf(there), "c2" });
  const auto first = loop.WaitFor<ClaimAsked>();
  const auto second = loop.WaitFor<ClaimAsked>();
  CHECK(first.claim == "c1");
  CHECK(first.question.value >= uint64_t{ 1 } << 32);
  there.Execute(AnswerClaimQuestion{ second.question, ClaimWord::GaveUp });
  auto answered = loop.WaitFor<ClaimAnswered>();
  CHECK(answered.question == QuestionId{ 2 });
  CHECK(answered.word == ClaimWord::GaveUp);
  there.Execute(AnswerClaimQuestion{ first.question, ClaimWord::Running });
  there.Execute(AnswerClaimQuestion{ first.question, ClaimWord::NotHeld }); // ignored
  answered = loop.WaitFor<ClaimAnswered>();
  CHECK(answered.question == QuestionId{ 1 });
  CHECK(answered.word == ClaimWord::Running);
  CHECK(there.IncomingCount() == 1); // one connection for all calls
  CHECK(there.QuestionCount() == 0);
  CHECK(loop.events.empty());
}

TEST_CASE("PeerRpc passes a snapshot of 100 KB", "[peer]")
{
  // Guards against a message limit below the size of a real configuration.
  LoopFixture loop;
  PeerRpc here(OptionsOf(loop));
  auto options = OptionsOf(loop);
  std::string text(100'000, 'x');
  options.snapshot = [&text] { return text; };
  PeerRpc there(std::move(options));
  here.Execute(AskSnapshot{ AddressOf(there) });
  CHECK(loop.WaitFor<SnapshotReceived>().record == text);
  there.Execute(AskSnapshot{ AddressOf(here) }); // it has none
  const auto none = loop.WaitFor<SnapshotReceived>();
  CHECK(none.record.empty());
  CHECK(none.address == AddressOf(here));
}

TEST_CASE("PeerRpc reports unreachable and silent peers, and reconnects", "[peer]")
{
  // Guards against a peer that stays unreachable after it was restarted.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.callTimeout = 100ms;
  PeerRpc here(std::move(options));
  std::string address = loop.RefusingAddress();
  SECTION("refused") {}
  SECTION("malformed address")
  {
    address = "somewhere";
  }
  auto silent = loop.Listen();
  SECTION("silent")
  {
    address = loop.AddressOf(*silent);
  }
  here.Execute(SendGossip{ address, Message() });
  CHECK(loop.WaitFor<GossipFailed>().address == address);
  here.Execute(AskClaim{ { 1 }, address, "c" });
  const auto answered = loop.WaitFor<ClaimAnswered>();
  CHECK(answered.question == QuestionId{ 1 });
  CHECK(answered.word == ClaimWord::Unreachable);
  CHECK(here.OutgoingCount() == 0);

  auto there = kj::heap<PeerRpc>(OptionsOf(loop));
  const std::string restarted = AddressOf(*there);
  here.Execute(SendGossip{ restarted, Message() });
  loop.WaitFor<GossipReceived>();
  here.Execute(AskClaim{ { 2 }, restarted, "c" });
  loop.WaitFor<ClaimAsked>();
  there = nullptr; // in the middle of a call
  CHECK(loop.WaitFor<ClaimAnswered>().word == ClaimWord::Unreachable);
  auto afterRestart = OptionsOf(loop);
  afterRestart.address = restarted;
  PeerRpc again(std::move(afterRestart));
  here.Execute(SendGossip{ restarted, Message() });
  loop.WaitFor<GossipReceived>();
  CHECK(here.Errors().Count() == 0);
}

TEST_CASE("PeerRpc limits questions and cached connections", "[peer]")
{
  // Guards against unbounded memory when many peers ask or are asked.
  LoopFixture loop;
  auto options = OptionsOf(loop);
  options.maxQuestions = 1;
  options.maxOutgoing = 1;
  PeerRpc here(std::move(options));
  PeerRpc there(OptionsOf(loop));
  there.Execute(AskClaim{ { 1 }, AddressOf(here), "c1" });
  loop.WaitFor<ClaimAsked>();
  there.Execute(AskClaim{ { 2 }, AddressOf(here), "c2" });
  const auto refused = loop.WaitFor<ClaimAnswered>();
  CHECK(refused.word == ClaimWord::Unreachable);
  here.Execute(SendGossip{ AddressOf(there), Message() });
  loop.WaitFor<GossipReceived>();
  here.Execute(SendGossip{ AddressOf(here), Message() });
  loop.WaitFor<GossipReceived>();
  CHECK(here.OutgoingCount() == 1);
  loop.RunUntil([&] { return there.IncomingCount() == 0; });
}

TEST_CASE("PeerRpc delivers streams", "[peer]")
{
  // Guards against fields lost in the wire form and against answers to the wrong
  // question.
  LoopFixture loop;
  PeerRpc here(OptionsOf(loop));
  PeerRpc there(OptionsOf(loop));
  StreamState state{ .id = "d0-1-r2",
                     .service = "s",
                     .team = "t",
                     .chat = R"({"a":1})",
                     .model = "m",
                     .trace = "tr",
                     .span = "sp",
                     .createdSeconds = 3,
                     .timeLeft = 4us,
                     .tokens = { "a ", "", std::string("\0\xff", 2) },
                     .end = {} };
  here.Execute(HandOverStream{ { 1 }, AddressOf(there), state });
  const auto asked = loop.WaitFor<HandOverAsked>();
  CHECK(asked.state.id == state.id);
  CHECK(asked.state.service == state.service);
  CHECK(asked.state.team == state.team);
  CHECK(asked.state.chat == state.chat);
  CHECK(asked.state.model == state.model);
  CHECK(asked.state.trace == state.trace);
  CHECK(asked.state.span == state.span);
  CHECK(asked.state.createdSeconds == 3);
  CHECK(asked.state.timeLeft == 4us);
  CHECK(asked.state.tokens == state.tokens);
  CHECK_FALSE(asked.state.end);
  there.Execute(AnswerHandOver{ asked.question, HandOverWord::Accepted });
  const auto answered = loop.WaitFor<HandOverAnswered>();
  CHECK(answered.question == QuestionId{ 1 });
  CHECK(answered.word == HandOverWord::Accepted);

  here.Execute(ReadStream{ { 2 }, AddressOf(there), "d0-1-r2", 5 });
  const auto read = loop.WaitFor<StreamAsked>();
  CHECK(read.stream == "d0-1-r2");
  CHECK(read.from == 5);
  there.Execute(AnswerStreamQuestion{
    read.question,
    { .state = StreamPart::State::Found,
      .model = "m",
      .createdSeconds = 3,
      .total = 7,
      .tokens = { "x", "y" },
      .end = StreamEnd{ .error = Error{ ErrorKind::DeadlineExceeded, "late" } } } });
  const auto part = loop.WaitFor<StreamAnswered>().part;
  CHECK(part.state == StreamPart::State::Found);
  CHECK(part.model == "m");
  CHECK(part.total == 7);
  CHECK(part.tokens == std::vector<std::string>{ "x", "y" });
  REQUIRE(part.end);
  CHECK(part.end->error->kind == ErrorKind::DeadlineExceeded);
  CHECK(part.end->error->message == "late");
  CHECK(there.QuestionCount() == 0);

  const std::string address = "127.0.0.1:1"; // nothing listens there
  here.Execute(HandOverStream{ { 3 }, address, state });
  CHECK(loop.WaitFor<HandOverAnswered>().word == HandOverWord::Unreachable);
  here.Execute(ReadStream{ { 4 }, address, "d0-1-r2", 0 });
  CHECK(loop.WaitFor<StreamAnswered>().part.state == StreamPart::State::Unreachable);
}

TEST_CASE("PeerRpc survives malformed data", "[peer]")
{
  // Guards against a crash by a peer that sends anything but RPC messages.
  LoopFixture loop;
  PeerRpc here(OptionsOf(loop));
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    RawPeer peer = loop.ConnectTo(here.Port());
    std::string bytes;
    if (round % 2 == 0) {
      bytes.assign("\0\0\0\0\x08\0\0\0", 8); // one segment of 8 words
    }
    while (bytes.size() < 200) {
      bytes += static_cast<char>(random() % (round % 3 == 0 ? 256 : 4));
    }
    peer.Write(bytes);
    peer.stream->shutdownWrite();
    loop.io.waitScope.poll();
  }
  loop.RunUntil([&] { return here.IncomingCount() == 0; });
  PeerRpc there(OptionsOf(loop));
  there.Execute(SendGossip{ AddressOf(here), Message() });
  loop.WaitFor<GossipReceived>();
  CHECK(here.Errors().Count() == 0);
}
