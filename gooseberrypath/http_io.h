// Parts that the HTTP ports share: addresses, headers, bounded reads and one request with
// its whole answer.

#ifndef GOOSEBERRYPATH_HTTP_IO_H_
#define GOOSEBERRYPATH_HTTP_IO_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include "gooseberrypath/shared_bytes.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// The table for all headers; no names beyond kj's own are indexed.
const kj::HttpHeaderTable& HeaderTable();

/// Returns the time that the timer of an event loop shows.
TimePoint TimeOf(const kj::Timer& aTimer);

/// Returns a view whose string must outlive it.
inline kj::StringPtr View(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

kj::Duration ToKj(Duration aDuration);

/// Returns a random duration between 0.5 and 1.5 times this one, so that daemons do not
/// poll in step.
kj::Duration Jittered(Duration aDuration);

/// Returns a random number from 0 to below 1, from the generator of Jittered().
double RandomShare();

/// Makes the durations of Jittered() in this thread repeatable. Only tests call it.
void SeedJitter(uint32_t aSeed);

/// Parses "IPv4:port" or "[IPv6]:port". Host names are refused: they would need a lookup
/// by DNS, which kj runs in a thread of its own.
kj::Maybe<kj::Own<kj::NetworkAddress>> ParseAddress(kj::Network& aNetwork,
                                                    const std::string& aAddress);

/// Connects on a new connection. Any failure, a malformed address and the timeout reject
/// the promise; no byte of a request was sent then.
kj::Promise<kj::Own<kj::AsyncIoStream>> Connect(kj::Network& aNetwork, kj::Timer& aTimer,
                                                const std::string& aAddress,
                                                Duration aTimeout);

/// Lets a connection break when its peer is silent for this time: unacknowledged bytes,
/// or no answer to keep-alive probes. A stream that is no socket is left as it is.
void BreakWhenSilent(kj::AsyncIoStream& aStream, std::chrono::milliseconds aLimit);

/// Appends the fields of a received head.
Headers FromKj(const kj::HttpHeaders& aHeaders);

/// Adds header fields by name. Fields that are no valid HTTP are left out.
void AddHeaders(kj::HttpHeaders& aInto, const Headers& aHeaders);

/// Returns the fields that a proxy passes on: without hop-by-hop fields, the fields named
/// by Connection, and the lengths, which each hop states itself.
Headers EndToEndHeaders(const Headers& aHeaders);

/// Returns the reason phrase of a status.
kj::StringPtr ReasonPhrase(int aStatus);

/// Tells whether a request target can be written into a request line.
bool IsValidTarget(std::string_view aTarget);

/// Reads to the end into aInto, which must outlive the promise. Resolves to false as soon
/// as more than aLimit bytes arrived.
kj::Promise<bool> ReadBounded(kj::AsyncInputStream& aStream, size_t aLimit,
                              std::string& aInto);

struct HttpRequest
{
  std::string method = "GET";
  std::string target{};
  Headers headers{};
  SharedBytes body{};
};

struct HttpReply
{
  int status = 0;
  Headers headers;
  std::string body;
};

/// A request in progress. The client must outlive it. Destroying it gives up the request.
class HttpCall
{
public:
  HttpCall(kj::HttpClient& aClient, HttpRequest aRequest);
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Sends the request and resolves when the head of the answer was read.
  kj::Promise<void> Send();

  /// Status and headers, and the body after ReadWhole(). The name Content-Length is kept
  /// here; EndToEndHeaders() drops it.
  HttpReply reply;

  /// Reads the body of the answer. Rejects if it is over the limit or cut.
  kj::Promise<void> ReadWhole(size_t aLimit);

  /// The stream of the answer's body, valid after Send() resolved.
  kj::AsyncInputStream& Body() { return *in_; }

private:
  kj::HttpClient& client_;
  HttpRequest request_;
  kj::Own<kj::AsyncOutputStream> out_;
  kj::Promise<void> writing_ = nullptr;
  kj::Own<kj::AsyncInputStream> in_;
};

/// Sends a request by this client, which must outlive the promise, and reads the whole
/// answer. Rejects on any failure, an answer over the limit and the timeout.
kj::Promise<HttpReply> Fetch(kj::HttpClient& aClient, kj::Timer& aTimer,
                             HttpRequest aRequest, size_t aLimit, Duration aTimeout);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_HTTP_IO_H_
