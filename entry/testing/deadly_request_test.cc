// Requests that end each engine that runs them and that come again, with the same method,
// path, caller and body but another id, at any daemon.

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/testing/entry_fixture.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

// From the third engine on that a request ended, it reaches no other one.
constexpr size_t kMostEnded = 3;

/// What a caller sends, apart from the id.
struct Request
{
  std::string route = "status";
  std::string body = "sound";
  std::string key = "k";
  std::vector<uint64_t> parts{}; // of the prompt
  bool isDeadly = false;
};

const Request kDeadly{ .body = "deadly", .isDeadly = true };
const Request kDeadlyPrompt{ .route = "questions",
                             .body = "deadly",
                             .parts = { 0x5a, 0xd1, 0xd2 },
                             .isDeadly = true };

/// Daemons that tell each other what they know, and engines that some requests end.
class Daemons
{
public:
  explicit Daemons(size_t aCount, uint32_t aMaxAttempts = 2)
  {
    Configuration configuration = TestConfiguration();
    for (Route& route : configuration.routes) {
      route.maxAttempts = aMaxAttempts;
    }
    configuration.teams.push_back({ .name = "other" });
    configuration.teamOfKey["o"] = 1;
    std::vector<std::string> addresses;
    for (size_t i = 0; i < aCount; ++i) {
      addresses.push_back(AddressOf(i));
    }
    for (size_t i = 0; i < aCount; ++i) {
      daemons_.push_back(
        std::make_unique<EntryFixture>(EntryOptions{ .host = "d" + std::to_string(i),
                                                     .dataCentre = "c1",
                                                     .dataCentres = { "c1" },
                                                     .peerAddress = AddressOf(i),
                                                     .seeds = addresses,
                                                     .retryBudget = { .extra = 100 } }));
      daemons_.back()->Prepare(configuration);
      daemons_.back()->Post(StoreReachabilityChanged{ .isReachable = true });
    }
    Advance(4s);
  }

  EntryFixture& operator[](size_t aIndex) { return *daemons_[aIndex]; }
  size_t Ended() const { return ended_; }

  /// Lets time pass, in which each digest reaches the others, unless they are apart.
  void Advance(Duration aTime)
  {
    for (Duration passed{}; passed < aTime; passed += 10ms) {
      for (auto& daemon : daemons_) {
        daemon->Advance(10ms);
      }
      Exchange();
    }
  }

  void SetApart(bool aIsApart) { areApart_ = aIsApart; }

  /// Sends the request to a daemon.
  ExchangeId Send(size_t aDaemon, const Request& aRequest)
  {
    EntryFixture& daemon = *daemons_[aDaemon];
    const ExchangeId id{ 1000 + ++sent_ };
    Call call{ .requestId = "r" + std::to_string(id.value),
               .method = "POST",
               .target = "/" + aRequest.route + "/7",
               .host = "h",
               .body = aRequest.body,
               .started = daemon.Now(),
               .key = aRequest.key };
    if (!aRequest.parts.empty()) {
      call.model = ModelDemand{ .promptTokens = 10, .maxOutputTokens = 10 };
      for (const uint64_t part : aRequest.parts) {
        call.model->parts.push_back({ .id = part, .tokens = 5 });
      }
    }
    daemon.Post(CallArrived{ id, std::move(call) });
    return id;
  }

  /// Sends the request and plays its attempts to their end. Returns the response.
  WriteResponse Play(size_t aDaemon, const Request& aRequest)
  {
    EntryFixture& daemon = *daemons_[aDaemon];
    daemon.TakeActions<WriteResponse>();
    Send(aDaemon, aRequest);
    for (StartAttempt attempt = daemon.SendLatestAttempt();
         attempt.attempt != AttemptId{}; attempt = daemon.SendLatestAttempt()) {
      if (aRequest.isDeadly) {
        EndEngine(attempt.backend);
        daemon.Post(AttemptBroken{ attempt.attempt, "closed", BreakCause::Closed });
      } else {
        daemon.Respond(attempt, 200);
      }
    }
    const auto responses = daemon.TakeActions<WriteResponse>();
    return responses.empty() ? WriteResponse{} : responses.back();
  }

  /// An engine ends, and another one starts.
  void EndEngine(const std::string& aId)
  {
    ++ended_;
    const BackendRow* row = daemons_[0]->GetWorld().backends.Find(aId);
    const std::string service = row == nullptr ? "booking" : row->entry.service;
    for (auto& daemon : daemons_) {
      daemon->AddBackend(service + "+" + std::to_string(ended_), service);
      daemon->Post(FleetRead{ .changes = { BackendRemoved{ aId } } });
    }
  }

private:
  static std::string AddressOf(size_t aDaemon)
  {
    return "10.0.0." + std::to_string(aDaemon) + ":1";
  }

  void Exchange()
  {
    for (size_t from = 0; from < daemons_.size(); ++from) {
      for (const SendDigest& action : daemons_[from]->TakeActions<SendDigest>()) {
        for (size_t to = 0; to < daemons_.size() && !areApart_; ++to) {
          if (to != from) {
            daemons_[to]->Post(DigestReceived{ AddressOf(from), action.digest });
          }
        }
      }
      for (const auto& action : daemons_[from]->TakeActions<WritePartEvidence>()) {
        stored_[from] = action.text;
      }
      if (!daemons_[from]->TakeActions<ReadPartEvidence>().empty()) {
        PartEvidenceRead read;
        for (const auto& [writer, text] : stored_) {
          read.texts.push_back(text);
        }
        daemons_[from]->Post(read);
      }
    }
  }

  std::vector<std::unique_ptr<EntryFixture>> daemons_;
  std::map<size_t, std::string> stored_; // evidence in the platform's store
  size_t ended_ = 0;
  uint64_t sent_ = 0;
  bool areApart_ = false;
};

} // namespace

TEST_CASE("Entry: a request that ends engines is refused from the third one on",
          "[entry][part]")
{
  // Guards against a request without prompt parts that ends engine after engine, because
  // each of its sends is taken for another call.
  for (const uint32_t attempts : { 1, 2, 5 }) {
    for (const Request& request : { kDeadly, kDeadlyPrompt }) {
      INFO(attempts << " attempts, route " << request.route);
      Daemons daemons(1, attempts);
      for (int i = 0; i < 20; ++i) {
        daemons.Play(0, request);
        daemons.Advance(1s);
      }
      CHECK(daemons.Ended() == kMostEnded);
      const WriteResponse refusal = daemons.Play(0, request);
      CHECK(refusal.status == 503);
      CHECK(FindHeader(refusal.headers, "Retry-After").empty());
      CHECK(refusal.body.View().find("not_run") != std::string::npos);
    }
  }
}

TEST_CASE("Entry: all daemons together refuse a request from the third engine on",
          "[entry][part]")
{
  // Guards against daemons that each send the request until it has ended engines there.
  Daemons daemons(4, 1);
  const bool areApart = GENERATE(false, true);
  daemons.SetApart(areApart);
  daemons.Advance(10s); // until daemons that hear nobody rely on the store
  for (size_t i = 0; i < 40; ++i) {
    daemons.Play(i % 4, kDeadly);
    daemons.Advance(areApart ? 2s : 100ms);
  }
  CHECK(daemons.Ended() == kMostEnded);
}

TEST_CASE("Entry: a request that ended engines is refused as long as it comes",
          "[entry][part]")
{
  // Guards against an engine that ends each time that the evidence is forgotten.
  Daemons daemons(2, 1);
  for (int i = 0; i < 200; ++i) {
    daemons.Play(0, kDeadly);
    daemons.Advance(5s);
  }
  daemons.Play(1, kDeadly);
  CHECK(daemons.Ended() == kMostEnded);
}

TEST_CASE("Entry: sound requests beside a deadly one are served", "[entry][part]")
{
  // Guards against callers whose requests are refused because they ran at engines that
  // another request ended, or share prompt parts with it.
  Daemons daemons(2, 2);
  const Request sound{ .route = "questions", .parts = { 0x5a, 0x11 } };
  for (int i = 0; i < 20; ++i) {
    EntryFixture& daemon = daemons[0];
    daemons.Send(0, sound);
    const StartAttempt beside = daemon.SendLatestAttempt();
    daemons.Play(0, kDeadlyPrompt);
    if (daemon.GetWorld().backends.Find(beside.backend)->removedAt) {
      daemon.Post(AttemptBroken{ beside.attempt, "closed", BreakCause::Closed });
      daemon.Respond(daemon.SendLatestAttempt(), 200);
    } else {
      daemon.Respond(beside, 200);
    }
    CHECK(daemon.LastStatus() == 200);
    daemons.Advance(1s);
    for (const Request& other :
         { sound, Request{ .body = "deadly", .key = "o" }, Request{ .body = "other" },
           Request{ .route = "questions", .parts = { 0x5a, 0xd1, 0xd3 } } }) {
      INFO("round " << i << ", route " << other.route << ", body " << other.body);
      CHECK(daemons.Play(1, other).status == 200);
    }
  }
  CHECK(daemons.Ended() == kMostEnded);
}

TEST_CASE("Entry: sound requests that many callers repeat survive a failure of a rack",
          "[entry][part]")
{
  // Guards against a popular request that is refused because several engines ended
  // together while they ran it.
  Daemons daemons(1, 2);
  for (int i = 0; i < 6; ++i) {
    daemons.Send(0, {});
    const StartAttempt attempt = daemons[0].SendLatestAttempt();
    daemons.EndEngine(attempt.backend);
    daemons[0].Post(AttemptBroken{ attempt.attempt, "reset", BreakCause::Reset });
    const StartAttempt again = daemons[0].SendLatestAttempt();
    REQUIRE_FALSE(again.backend.empty());
    daemons[0].Respond(again, 200);
    CHECK(daemons[0].LastStatus() == 200);
  }
  CHECK(daemons.Play(0, {}).status == 200);
}

TEST_CASE("Entry: a request has the same print each time that its caller sends it",
          "[entry][part]")
{
  // Guards against a request that counts as another one because of its id, its deadline
  // or a header, and against one caller's request that counts as another one's.
  const Call call{ .requestId = "r1",
                   .method = "POST",
                   .target = "/status/7",
                   .host = "h",
                   .body = "body",
                   .key = "k" };
  Call again = call;
  again.requestId = "r2";
  again.headers = { { "Date", "today" } };
  again.callerTimeout = 2s;
  again.lastEventId = "4";
  CHECK(PrintOf(again) == PrintOf(call));
  const auto differs = [&](auto aChange) {
    Call other = call;
    aChange(other);
    return PrintOf(other) != PrintOf(call);
  };
  CHECK(differs([](Call& aCall) { aCall.key = "o"; }));
  CHECK(differs([](Call& aCall) { aCall.method = "PUT"; }));
  CHECK(differs([](Call& aCall) { aCall.host = "g"; }));
  CHECK(differs([](Call& aCall) { aCall.target += "?a=1"; }));
  CHECK(differs([](Call& aCall) { aCall.body = std::string(aCall.body.View()) + "y"; }));
  CHECK(differs([](Call& aCall) {
    const std::string body(aCall.body.View());
    aCall.body = std::exchange(aCall.key, body);
  }));
  CHECK(
    differs([](Call& aCall) { aCall.model = ModelDemand{ .parts = { { .id = 1 } } }; }));
}

} // namespace gooseberrypath::entry
