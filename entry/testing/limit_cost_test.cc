// Measures what limits of backends cost a daemon among 381. Started by hand; the figures
// are on docs/CAPACITY.md:
//
//   build/gooseberrypath_test "[limit_cost]"

#include <ctime>
#include <iostream>

#include <catch2/catch.hpp>

#include "entry/permit_message.h"
#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr int kPeers = 380;
constexpr int kRounds = 20'000;

double CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

PeerDigest DigestOf(int aPeer, uint64_t aSequence, bool aGrantsPermits = true)
{
  return { .daemon = "edge-zona-pue1-" + std::to_string(aPeer),
           .incarnation = 1,
           .sequence = aSequence,
           .grantsPermits = aGrantsPermits };
}

/// A daemon that hears 380 others. Either they may grant permits, or only it may.
class CostFixture : public EntryFixture
{
public:
  explicit CostFixture(bool aPeersGrant)
    : peersGrant_(aPeersGrant)
  {
    Prepare();
    for (uint64_t sequence = 1; sequence <= 8; ++sequence) {
      for (int i = 0; i < kPeers; ++i) {
        Post(DigestReceived{ .from = "10.0.0." + std::to_string(i) + ":1",
                             .digest = DigestOf(i, sequence, aPeersGrant) });
      }
      Advance(1s);
    }
    actions.clear();
  }

  void NameLimits(double aPerSecond)
  {
    perSecond_ = aPerSecond;
    PeerDigest digest = DigestOf(0, 9, peersGrant_);
    for (const std::string id : { "booking1", "booking2" }) {
      digest.limits.push_back(
        { DigestKey(id),
          { .perSecond = aPerSecond, .sentAt = 102s, .receivedAt = 102s } });
    }
    Post(DigestReceived{ .from = "10.0.0.0:1", .digest = digest });
  }

  /// Sends calls, grants the permits that they ask for, and answers them.
  void ServeCalls()
  {
    for (int i = 0; i < kRounds; ++i) {
      PostCall("status");
      for (const SendPermitMessage& sent : TakeActions<SendPermitMessage>()) {
        const auto& ask = std::get<PermitRequest>(sent.message);
        Post(PermitReplyReceived{ { .process = "p",
                                    .id = ask.id,
                                    .backend = ask.backend,
                                    .granted = 1,
                                    .statement = ask.statement } });
      }
      Post(AttemptAnswered{
        SendLatestAttempt().attempt,
        { .status = 200, .hasResponseStamp = true, .limit = { .perSecond = perSecond_ } },
        "body" });
      actions.clear();
    }
  }

private:
  bool peersGrant_;
  std::optional<double> perSecond_;
};

template<typename F>
double MicrosecondsPerRound(F aRun)
{
  const double begin = CpuSeconds();
  aRun();
  return (CpuSeconds() - begin) * 1e6 / kRounds;
}

} // namespace

TEST_CASE("Entry: what limits cost", "[.][limit_cost]")
{
  PeerDigest digest = DigestOf(1, 70'000);
  digest.incarnation = 1'792'030'914'020;
  const size_t empty = EncodeDigest(digest).size();
  const LimitStatement statement{ .perSecond = 1.2,
                                  .sentAt = 1'792'030'914'020ms,
                                  .receivedAt = 1'792'030'914'070ms };
  digest.limits.push_back({ DigestKey("i-bc543a0a4a"), statement });
  const size_t withOne = EncodeDigest(digest).size();
  digest.limits.resize(32, digest.limits.front());
  std::cout << "digest bytes: " << empty << " without limits, " << withOne
            << " with one, " << EncodeDigest(digest).size() << " with 32\n";
  std::cout << "permit request bytes: "
            << EncodePermitMessage(
                 PermitRequest{ .process = "edge-zona-pue1-1/1792030914020",
                                .id = 7000,
                                .backend = 12345678,
                                .statement = statement })
                 .size()
            << "\n";
  std::cout << "memory of a backend row: " << sizeof(BackendRow) << " bytes, of which "
            << sizeof(PermitStock) + sizeof(BackendLimit) << " for limits\n";

  CostFixture unlimited(true);
  std::cout << "processor time of a call: " << MicrosecondsPerRound([&] {
    unlimited.ServeCalls();
  }) << " us without a limit, ";
  CostFixture limited(true);
  limited.NameLimits(50);
  std::cout << MicrosecondsPerRound([&] { limited.ServeCalls(); }) << " us with one ("
            << limited.GetWorld().counters.Get(EntryCounter::PermitsAsked)
            << " permits asked for)\n";

  CostFixture granter(false);
  granter.NameLimits(50);
  uint64_t id = 0;
  std::cout << "processor time of a peer's request for permits: "
            << MicrosecondsPerRound([&] {
                 for (int i = 0; i < kRounds; ++i) {
                   granter.Post(PermitRequestReceived{
                     .from = "10.0.0.9:1",
                     .request = { .process = "p" + std::to_string(i % kPeers),
                                  .id = ++id,
                                  .backend = DigestKey("booking1"),
                                  .statement = statement } });
                   granter.actions.clear();
                 }
               })
            << " us, "
            << granter.GetWorld().counters.Get(EntryCounter::PermitsGranted) +
                 granter.GetWorld().counters.Get(EntryCounter::PermitsDenied)
            << " of " << kRounds << " answered as the granter\n";
}

} // namespace gooseberrypath::entry
