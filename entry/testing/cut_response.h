// Responses of a backend that are cut, and what a caller can tell about the response that
// it received.
//
//   ScriptedBackends backends(loop, { firstAttempt, secondAttempt });
//   ReceivedResponse received = ReadResponse(loop, caller);

#ifndef ENTRY_TESTING_CUT_RESPONSE_H_
#define ENTRY_TESTING_CUT_RESPONSE_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "entry/response_body.h"
#include "entry/testing/port_daemon.h"

namespace gooseberrypath::entry {

/// Where the bytes of a response end. The response is a stream of three events.
enum class CutPoint : uint8_t
{
  Nowhere, // it is whole
  BeforeHead,
  InHead,
  AfterHead,
  InEvent,         // the second
  BeforeEmptyLine, // of the second event
  BetweenEvents,   // the second and the third
};

/// How the connection ends after the last byte.
enum class CutEnd : uint8_t
{
  Fin,        // with the last byte
  FinLater,   // some milliseconds after it
  Reset,      // with the last byte
  ResetLater, // some milliseconds after it
};

struct ScriptedResponse
{
  BodyFraming framing = BodyFraming::Chunked;
  CutPoint point = CutPoint::Nowhere;
  CutEnd end = CutEnd::Fin;
  std::string_view status = "200 OK"; // in the status line
};

/// Returns the three events of a whole stream, or those after an event id.
std::string EventsAfter(const std::string& aLastEventId);

/// Two backends that give the n-th attempt the n-th scripted response, and later attempts
/// the last one. They go on after Last-Event-Id.
class ScriptedBackends
{
public:
  ScriptedBackends(EntryLoop& aLoop, std::vector<ScriptedResponse> aScript);

  std::array<std::string, 2> Addresses();

private:
  struct Connection
  {
    kj::Own<kj::AsyncIoStream> stream;
    std::string request;
    std::array<char, 4096> buffer{};
    std::string response;
  };

  kj::Promise<void> AcceptLoop(kj::ConnectionReceiver& aListener);
  kj::Promise<void> ReadRequest(Connection& aConnection);
  kj::Promise<void> Respond(Connection& aConnection, const ScriptedResponse& aResponse);
  void Close(Connection& aConnection, CutEnd aEnd);

  EntryLoop& loop_;
  std::vector<ScriptedResponse> script_;
  size_t attempts_ = 0;
  std::array<kj::Own<kj::ConnectionReceiver>, 2> listeners_;
  std::vector<kj::Own<Connection>> connections_;
  TaskErrors errors_;
  kj::TaskSet tasks_;
};

/// What a response claims about its end.
enum class EndClaim : uint8_t
{
  Broken,         // it is visibly incomplete
  Complete,       // its length was reached or its last chunk came
  ConnectionEnds, // neither length nor chunks, and the connection was closed in order
};

/// A response as a caller sees it.
struct ReceivedResponse
{
  int status = 0; // 0: no whole head
  BodyFraming framing = BodyFraming::None;
  std::string body;
  EndClaim claim = EndClaim::Broken;
};

/// Reads from the connection to its end and decodes the response.
ReceivedResponse ReadResponse(EntryLoop& aLoop, RawPeer& aCaller);

} // namespace gooseberrypath::entry

#endif // ENTRY_TESTING_CUT_RESPONSE_H_
