#include "entry/testing/cut_response.h"

#include <array>
#include <cstdlib>

#include <sys/socket.h>

#include "entry/http_format.h"

namespace gooseberrypath::entry {

namespace {

constexpr kj::Duration kLater = 3 * kj::MILLISECONDS;
constexpr kj::Duration kReadTimeout = 20 * kj::SECONDS;
constexpr int kEvents = 3;

std::string EventText(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: event " + std::to_string(aNumber) +
         "\n\n";
}

/// Returns the value of a field in a head, or an empty string.
std::string FieldOf(const std::string& aHead, const std::string& aName)
{
  const size_t at = aHead.find("\r\n" + aName + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + 2 + aName.size() + 2;
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

std::string HeadOf(const std::string& aRequestId, const ScriptedResponse& aResponse,
                   size_t aBodySize)
{
  std::string head = "HTTP/1.1 " + std::string(aResponse.status) +
                     "\r\nGooseberrypath-Request-Id: " + aRequestId +
                     "\r\nGooseberrypath-Response-Stamp: s\r\n";
  if (aResponse.framing == BodyFraming::Length) {
    head += "Content-Length: " + std::to_string(aBodySize) + "\r\n";
  } else if (aResponse.framing == BodyFraming::Chunked) {
    head += "Transfer-Encoding: chunked\r\n";
  }
  return head + "\r\n";
}

/// Returns how much of the body comes before the cut.
size_t BodyBytesBefore(CutPoint aPoint, const std::string& aBody)
{
  const size_t firstEnd = aBody.find("\n\n") + 2;
  const size_t secondEnd = aBody.find("\n\n", firstEnd) + 2;
  switch (aPoint) {
    case CutPoint::Nowhere:
      return aBody.size();
    case CutPoint::BeforeHead:
    case CutPoint::InHead:
    case CutPoint::AfterHead:
      return 0;
    case CutPoint::InEvent:
      return firstEnd + 4;
    case CutPoint::BeforeEmptyLine:
      return secondEnd - 1;
    case CutPoint::BetweenEvents:
      return aBody.size() - EventText(kEvents).size();
  }
  return 0;
}

/// Returns the bytes of the response up to its cut.
std::string BytesOf(const ScriptedResponse& aResponse, const std::string& aRequestId,
                    const std::string& aBody)
{
  const std::string head = HeadOf(aRequestId, aResponse, aBody.size());
  if (aResponse.point == CutPoint::BeforeHead) {
    return {};
  }
  if (aResponse.point == CutPoint::InHead) {
    return head.substr(0, head.size() / 2);
  }
  const std::string body = aBody.substr(0, BodyBytesBefore(aResponse.point, aBody));
  const bool isChunked = aResponse.framing == BodyFraming::Chunked;
  std::string bytes = head;
  bytes += isChunked && !body.empty() ? FormatChunk(body) : body;
  if (isChunked && aResponse.point == CutPoint::Nowhere) {
    bytes += kLastChunk;
  }
  return bytes;
}

/// Decodes a chunked body up to its last chunk. Returns whether that came.
bool DecodeChunks(const std::string& aBytes, std::string& aBody)
{
  size_t at = 0;
  while (true) {
    const size_t lineEnd = aBytes.find("\r\n", at);
    if (lineEnd == std::string::npos) {
      return false;
    }
    const size_t size = std::strtoul(aBytes.c_str() + at, nullptr, 16);
    if (size == 0) {
      return aBytes.substr(lineEnd) == "\r\n\r\n";
    }
    aBody += aBytes.substr(lineEnd + 2, size);
    at = lineEnd + 2 + size + 2;
    if (at > aBytes.size()) {
      return false;
    }
  }
}

} // namespace

std::string EventsAfter(const std::string& aLastEventId)
{
  std::string events;
  for (int i = std::atoi(aLastEventId.c_str()) + 1; i <= kEvents; ++i) {
    events += EventText(i);
  }
  return events;
}

ScriptedBackends::ScriptedBackends(EntryLoop& aLoop,
                                   std::vector<ScriptedResponse> aScript)
  : loop_(aLoop)
  , script_(std::move(aScript))
  , listeners_{ aLoop.Listen(), aLoop.Listen() }
  , tasks_(errors_)
{
  for (auto& listener : listeners_) {
    tasks_.add(AcceptLoop(*listener));
  }
}

std::array<std::string, 2> ScriptedBackends::Addresses()
{
  return { EntryLoop::AddressOf(*listeners_[0]), EntryLoop::AddressOf(*listeners_[1]) };
}

kj::Promise<void> ScriptedBackends::AcceptLoop(kj::ConnectionReceiver& aListener)
{
  return aListener.accept().then([this, &aListener](kj::Own<kj::AsyncIoStream> aStream) {
    connections_.push_back(kj::heap<Connection>());
    connections_.back()->stream = kj::mv(aStream);
    tasks_.add(ReadRequest(*connections_.back()));
    return AcceptLoop(aListener);
  });
}

kj::Promise<void> ScriptedBackends::ReadRequest(Connection& aConnection)
{
  return aConnection.stream
    ->tryRead(aConnection.buffer.data(), 1, aConnection.buffer.size())
    .then([this, &aConnection](size_t aRead) -> kj::Promise<void> {
      aConnection.request.append(aConnection.buffer.data(), aRead);
      if (aRead == 0) {
        return kj::READY_NOW;
      }
      if (!aConnection.request.ends_with("\r\n\r\n")) {
        return ReadRequest(aConnection);
      }
      const size_t number = std::min(attempts_++, script_.size() - 1);
      return Respond(aConnection, script_[number]);
    });
}

kj::Promise<void> ScriptedBackends::Respond(Connection& aConnection,
                                            const ScriptedResponse& aResponse)
{
  const std::string& request = aConnection.request;
  aConnection.response = BytesOf(aResponse, FieldOf(request, "Gooseberrypath-Request-Id"),
                                 EventsAfter(FieldOf(request, "Last-Event-Id")));
  const bool isLater =
    aResponse.end == CutEnd::FinLater || aResponse.end == CutEnd::ResetLater;
  return aConnection.stream
    ->write(aConnection.response.data(), aConnection.response.size())
    .then([this, isLater] {
      return isLater ? loop_.Timer().afterDelay(kLater)
                     : kj::Promise<void>(kj::READY_NOW);
    })
    .then([this, &aConnection, end = aResponse.end] { Close(aConnection, end); });
}

void ScriptedBackends::Close(Connection& aConnection, CutEnd aEnd)
{
  if (aEnd == CutEnd::Reset || aEnd == CutEnd::ResetLater) {
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    aConnection.stream->setsockopt(SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  aConnection.stream = nullptr;
}

ReceivedResponse ReadResponse(EntryLoop& aLoop, RawPeer& aCaller)
{
  std::string bytes;
  bool wasReset = false;
  while (true) {
    std::array<char, 4096> buffer{};
    const size_t count =
      aLoop.Timer()
        .timeoutAfter(kReadTimeout,
                      aCaller.stream->tryRead(buffer.data(), 1, buffer.size())
                        .catch_([&](kj::Exception&& aError) {
                          if (aError.getType() != kj::Exception::Type::DISCONNECTED) {
                            kj::throwFatalException(kj::mv(aError));
                          }
                          wasReset = true;
                          return size_t{ 0 };
                        }))
        .wait(aLoop.io.waitScope);
    if (count == 0) {
      break;
    }
    bytes.append(buffer.data(), count);
  }
  ReceivedResponse received;
  const size_t headEnd = bytes.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return received;
  }
  const std::string head = bytes.substr(0, headEnd + 2);
  const std::string rest = bytes.substr(headEnd + 4);
  received.status = std::atoi(head.substr(head.find(' ')).c_str());
  if (const std::string length = FieldOf(head, "Content-Length"); !length.empty()) {
    received.framing = BodyFraming::Length;
    received.body = rest;
    received.claim = rest.size() == std::strtoul(length.c_str(), nullptr, 10)
                       ? EndClaim::Complete
                       : EndClaim::Broken;
  } else if (FieldOf(head, "Transfer-Encoding") == "chunked") {
    received.framing = BodyFraming::Chunked;
    received.claim =
      DecodeChunks(rest, received.body) ? EndClaim::Complete : EndClaim::Broken;
  } else {
    received.framing = BodyFraming::CloseDelimited;
    received.body = rest;
    received.claim = wasReset ? EndClaim::Broken : EndClaim::ConnectionEnds;
  }
  return received;
}

} // namespace gooseberrypath::entry
