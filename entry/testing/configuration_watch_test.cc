// When a daemon reads the configuration besides its long poll.

#include <catch2/catch.hpp>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr StoreRead kCheck{ .topic = StoreTopic::Configuration,
                            .kind = StoreReadKind::Check };

/// A daemon with version 5, which was just confirmed.
struct WatchFixture : public EntryFixture
{
  WatchFixture()
  {
    Prepare(TestConfiguration(5));
    Post(TopicConfirmed{ kCheck });
    actions.clear();
  }

  /// Posts a digest of a peer that knew the newest version this long ago.
  void Hear(uint64_t aVersion, std::optional<Duration> aAge)
  {
    Post(DigestReceived{ "10.0.0.2:1",
                         { .daemon = "d2",
                           .incarnation = 1,
                           .sequence = ++sequence_,
                           .canReachStore = true,
                           .configVersion = aVersion,
                           .configurationAge = aAge } });
  }

  size_t CountReads() { return TakeActions<ReadConfiguration>().size(); }

private:
  uint64_t sequence_ = 0;
};

} // namespace

TEST_CASE("Entry: a configuration that nobody confirms is read again", "[entry][config]")
{
  // Guards against a long poll without an answer that counts as one without news.
  WatchFixture entry;
  entry.Advance(900ms);
  CHECK(entry.CountReads() == 0);
  entry.Advance(200ms);
  CHECK(entry.CountReads() == 1);
  SECTION("and again after a failure")
  {
    entry.Post(TopicReadFailed{ kCheck, "lost" });
    entry.Advance(100ms);
    const auto reads = entry.TakeActions<ReadConfiguration>();
    REQUIRE(reads.size() == 1);
    CHECK(reads[0].timeout > 500ms); // a slow store has time to answer
  }
  SECTION("and not while the read runs")
  {
    entry.Advance(400ms);
    CHECK(entry.CountReads() == 0);
  }
  SECTION("and not when the answer came")
  {
    entry.Post(TopicConfirmed{ kCheck });
    entry.Advance(900ms);
    CHECK(entry.CountReads() == 0);
  }
}

TEST_CASE("Entry: a configuration that a peer confirms is not read", "[entry][config]")
{
  // Guards against reads of the store by each daemon, which a large fleet cannot afford.
  WatchFixture entry;
  for (int i = 0; i < 30; ++i) {
    entry.Hear(5, 300ms);
    entry.Advance(100ms);
  }
  CHECK(entry.CountReads() == 0);
  SECTION("until its confirmation is too old")
  {
    for (int i = 0; i < 20; ++i) {
      entry.Hear(5, 300ms + i * 100ms); // it reads the store no more
      entry.Advance(100ms);
    }
    CHECK(entry.CountReads() >= 1);
  }
  SECTION("unless the peer has not read it")
  {
    for (int i = 0; i < 20; ++i) {
      entry.Hear(0, std::nullopt);
      entry.Advance(100ms);
    }
    CHECK(entry.CountReads() >= 1);
  }
}

TEST_CASE("Entry: a newer version of a peer is read soon", "[entry][config]")
{
  // Guards against a daemon that believes its old version confirmed by a peer with a
  // newer one.
  WatchFixture entry;
  entry.Advance(500ms);
  entry.Hear(6, 0ms);
  const auto age =
    entry.GetWorld().freshness.AgeOf(StoreTopic::Configuration, entry.Now());
  REQUIRE(age);
  CHECK(*age >= 500ms);
  entry.Advance(250ms);
  CHECK(entry.CountReads() == 1);
  SECTION("but a version that the store does not have is not asked for all the time")
  {
    entry.Post(TopicConfirmed{ kCheck });
    for (int i = 0; i < 8; ++i) {
      entry.Hear(6, 0ms);
      entry.Advance(100ms);
    }
    CHECK(entry.CountReads() == 0);
  }
}

TEST_CASE("Entry: a digest tells how old the configuration is", "[entry][config]")
{
  // Guards against an age that is lost in a datagram, or that becomes younger in it.
  const auto copyOf = [](std::optional<Duration> aAge) {
    const std::string bytes = EncodeDigest({ .daemon = "d1", .configurationAge = aAge });
    return DecodeDigest({ bytes.data(), bytes.size() })->configurationAge;
  };
  CHECK(copyOf(std::nullopt) == std::nullopt);
  CHECK(copyOf(0ms) == Duration(0ms));
  CHECK(copyOf(1500us) == Duration(2ms));
}

} // namespace gooseberrypath::entry
