// Tests of how a response ends towards the caller when the backend's response ends in
// every possible way, over the real ports.

#include <sstream>

#include <catch2/catch.hpp>

#include "entry/testing/cut_response.h"

namespace gooseberrypath::entry {

namespace {

enum class HttpVersion : uint8_t
{
  Http10,
  Http11,
};

struct RouteCase
{
  std::string name; // in TestConfiguration()
  std::string service;
  bool isStream = false;
  bool mayRetry = false;
  /// Broken responses that may come before the one of the case.
  std::vector<ScriptedResponse> earlier{};
};

const std::array<RouteCase, 7> kRoutes{ {
  { .name = "plans", .service = "assistant", .isStream = true },
  { .name = "questions", .service = "assistant", .isStream = true, .mayRetry = true },
  { .name = "questions",
    .service = "assistant",
    .isStream = true,
    .mayRetry = true,
    .earlier = { { BodyFraming::Chunked, CutPoint::InEvent, CutEnd::Fin } } },
  { .name = "questions",
    .service = "assistant",
    .isStream = true,
    .mayRetry = true,
    .earlier = { { BodyFraming::CloseDelimited, CutPoint::InEvent, CutEnd::Fin } } },
  { .name = "pickups", .service = "booking" },
  { .name = "status", .service = "booking", .mayRetry = true },
  { .name = "status",
    .service = "booking",
    .mayRetry = true,
    .earlier = { { BodyFraming::Chunked, CutPoint::InEvent, CutEnd::Fin } } },
} };

constexpr std::array kFramings{ BodyFraming::Length, BodyFraming::Chunked,
                                BodyFraming::CloseDelimited };
constexpr std::array kCutPoints{ CutPoint::BeforeHead,      CutPoint::InHead,
                                 CutPoint::AfterHead,       CutPoint::InEvent,
                                 CutPoint::BeforeEmptyLine, CutPoint::BetweenEvents };
constexpr std::array kEnds{ CutEnd::Fin, CutEnd::FinLater, CutEnd::Reset,
                            CutEnd::ResetLater };

/// One cell of the table: a call and the response that its backend gives in the end.
struct EndCase
{
  const RouteCase& route;
  HttpVersion version = HttpVersion::Http11;
  ScriptedResponse response;
};

std::string Describe(const EndCase& aCase)
{
  std::ostringstream text;
  text << aCase.route.name << " after " << aCase.route.earlier.size()
       << " broken attempts"
       << (aCase.route.earlier.empty()
             ? std::string()
             : " (" + std::string(NameOf(aCase.route.earlier.front().framing)) + ")")
       << ", HTTP/1." << (aCase.version == HttpVersion::Http11 ? 1 : 0) << ", "
       << NameOf(aCase.response.framing) << ", cut point "
       << static_cast<int>(aCase.response.point) << ", end "
       << static_cast<int>(aCase.response.end);
  return text.str();
}

/// Plays the case with a daemon of its own and returns what the caller received.
ReceivedResponse Play(EntryLoop& aLoop, const EndCase& aCase)
{
  std::vector<ScriptedResponse> script = aCase.route.earlier;
  script.push_back(aCase.response);
  if (aCase.route.mayRetry) {
    script.push_back({ BodyFraming::Chunked });
  }
  ScriptedBackends backends(aLoop, std::move(script));
  PortDaemon daemon(aLoop);
  daemon.AddBackends(aCase.route.service, backends.Addresses());
  RawPeer caller = aLoop.ConnectTo(daemon.CallerPortNumber());
  const bool isHttp11 = aCase.version == HttpVersion::Http11;
  caller.Write("POST /" + aCase.route.name + "/7 HTTP/1." + (isHttp11 ? "1" : "0") +
               "\r\nHost: h\r\nGooseberrypath-Request-Id: r1\r\n"
               "Authorization: Token k\r\n" +
               (isHttp11 ? "Connection: close\r\n" : "") + "Content-Length: 0\r\n\r\n");
  return ReadResponse(aLoop, caller);
}

/// Tells whether the backend's response cannot be told from a whole one.
bool IsCutHidden(const EndCase& aCase)
{
  const ScriptedResponse& response = aCase.response;
  const bool isFin = response.end == CutEnd::Fin || response.end == CutEnd::FinLater;
  if (response.framing != BodyFraming::CloseDelimited || !isFin) {
    return false;
  }
  if (aCase.route.isStream) {
    return response.point == CutPoint::BetweenEvents;
  }
  return response.point != CutPoint::BeforeHead && response.point != CutPoint::InHead;
}

/// The verdict for all cases.
void CheckEnd(const EndCase& aCase, const ReceivedResponse& aReceived)
{
  const std::string all = EventsAfter("");
  const bool isWhole = aReceived.body == all;
  INFO(Describe(aCase));
  INFO("status " << aReceived.status << ", " << NameOf(aReceived.framing) << ", claim "
                 << static_cast<int>(aReceived.claim) << ", body " << aReceived.body);
  if (aCase.route.mayRetry && aCase.route.earlier.empty() && !IsCutHidden(aCase)) {
    CHECK(isWhole); // from the other backend, if this one broke off
    CHECK(aReceived.claim != EndClaim::Broken);
  }
  if (aReceived.status != 200) {
    CHECK(aCase.response.point != CutPoint::Nowhere);
    return;
  }
  CHECK(all.starts_with(aReceived.body));
  if (aReceived.claim == EndClaim::Complete) {
    CHECK(isWhole);
  } else if (aReceived.claim == EndClaim::ConnectionEnds) {
    CHECK((isWhole || IsCutHidden(aCase)));
  }
}

/// Checks that a whole response is served whole, and with an end mark if it had one.
void CheckSound(const EndCase& aCase, const ReceivedResponse& aReceived)
{
  CheckEnd(aCase, aReceived);
  INFO(Describe(aCase));
  CHECK(aReceived.body == EventsAfter(""));
  const bool isUnmarked = aCase.response.framing == BodyFraming::CloseDelimited;
  const bool wasChunked = !aCase.route.earlier.empty() &&
                          aCase.route.earlier.front().framing == BodyFraming::Chunked;
  if (aCase.route.isStream && isUnmarked && wasChunked) {
    return; // the chunks that were begun can be ended neither way
  }
  CHECK(aReceived.claim != EndClaim::Broken);
  const bool hadChunks =
    aCase.route.earlier.empty() || !aCase.route.isStream || wasChunked;
  if (!isUnmarked && hadChunks && aCase.version == HttpVersion::Http11) {
    CHECK(aReceived.claim == EndClaim::Complete);
  }
}

/// Calls the function for each route, version and framing.
template<typename Function>
void ForEachCall(Function aFunction)
{
  for (const RouteCase& route : kRoutes) {
    for (const HttpVersion version : { HttpVersion::Http10, HttpVersion::Http11 }) {
      for (const BodyFraming framing : kFramings) {
        aFunction(EndCase{ route, version, { .framing = framing } });
      }
    }
  }
}

/// Plays all cuts of responses to first attempts, or of responses to later ones.
void CheckCuts(bool aIsFirstAttempt)
{
  EntryLoop loop;
  ForEachCall([&](EndCase aCase) {
    if (aCase.route.earlier.empty() != aIsFirstAttempt) {
      return;
    }
    for (const CutPoint point : kCutPoints) {
      for (const CutEnd end : kEnds) {
        aCase.response.point = point;
        aCase.response.end = end;
        CheckEnd(aCase, Play(loop, aCase));
      }
    }
  });
}

} // namespace

TEST_CASE("A response that was cut does not look complete", "[entry][response_end]")
{
  // Guards against an end mark that the daemon adds to a response whose backend broke
  // off.
  CheckCuts(true);
}

TEST_CASE("A response that was cut after a broken attempt does not look complete",
          "[entry][response_end]")
{
  // Guards against an end mark after a stream that was resumed and broke off again.
  CheckCuts(false);
}

TEST_CASE("A caller that speaks HTTP/1.0 gets no chunks", "[entry][response_end]")
{
  // Guards against chunk sizes in the middle of what such a caller takes for the body.
  EntryLoop loop;
  ForEachCall([&](const EndCase& aCase) {
    if (aCase.version == HttpVersion::Http10) {
      INFO(Describe(aCase));
      CHECK(Play(loop, aCase).framing != BodyFraming::Chunked);
    }
  });
}

TEST_CASE("Whole responses are served whole in all framings", "[entry][response_end]")
{
  // Guards against sound responses without length or chunks that are taken for broken.
  EntryLoop loop;
  ForEachCall([&](EndCase aCase) {
    for (const CutEnd end : { CutEnd::Fin, CutEnd::FinLater }) {
      aCase.response.end = end;
      CheckSound(aCase, Play(loop, aCase));
    }
  });
}

TEST_CASE("A response whose status is no final one is treated like a malformed one",
          "[entry][response_end]")
{
  // Guards against a status that no caller understands and that is passed on as a valid
  // answer.
  EntryLoop loop;
  ForEachCall([&](EndCase aCase) {
    if (!aCase.route.earlier.empty()) {
      return;
    }
    for (const std::string_view status :
         { "000 None", "099 Low", "0", "20 OK", "600 High", "999 High", "1000 High" }) {
      aCase.response.status = status;
      const ReceivedResponse received = Play(loop, aCase);
      INFO(Describe(aCase) << ", status line " << status);
      CHECK(received.status == (aCase.route.mayRetry ? 200 : 502));
      CHECK(received.claim != EndClaim::Broken);
      CHECK((received.body == EventsAfter("")) == aCase.route.mayRetry);
    }
  });
}

} // namespace gooseberrypath::entry
