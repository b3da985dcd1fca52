// Formats HTTP/1.1 message heads and chunks for writing to a connection.
//
//   socket.Write(FormatResponseHead(200, headers, { .framing = BodyFraming::Chunked }));
//   socket.Write(FormatChunk("data: a\n\n"));
//   socket.Write(kLastChunk);

#ifndef ENTRY_HTTP_FORMAT_H_
#define ENTRY_HTTP_FORMAT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "entry/response_body.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Appends "Name: value" lines. Fields whose name or value is not valid HTTP are omitted.
void AppendFields(std::string& aOut, const Headers& aHeaders);

/// Returns the head of a request with a body of this size in bytes. The headers must
/// contain Host, which is not added.
std::string FormatRequestHead(std::string_view aMethod, std::string_view aTarget,
                              const Headers& aHeaders, size_t aBodySize);

/// What the head of a response announces beside its status and fields.
struct ResponseHeadOptions
{
  BodyFraming framing = BodyFraming::Length;
  size_t bodySize = 0; // in bytes, with BodyFraming::Length only
  bool closes = false; // the connection closes after the response
};

/// Returns the head of a response. A body that only the end of the connection delimits
/// needs `closes`.
std::string FormatResponseHead(int aStatus, const Headers& aHeaders,
                               const ResponseHeadOptions& aOptions);

/// Returns the bytes of one chunk of a chunked body. The data must not be empty.
std::string FormatChunk(std::string_view aData);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace gooseberrypath::entry

#endif // ENTRY_HTTP_FORMAT_H_
