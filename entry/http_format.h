// Formats HTTP/1.1 message heads and chunks for writing to a connection.
//
//   socket.Write(FormatResponseHead(200, headers, std::nullopt, false));
//   socket.Write(FormatChunk("data: a\n\n"));
//   socket.Write(kLastChunk);

#ifndef ENTRY_HTTP_FORMAT_H_
#define ENTRY_HTTP_FORMAT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Appends "Name: value" lines. Fields whose name or value is not valid HTTP are omitted.
void AppendFields(std::string& aOut, const Headers& aHeaders);

/// Returns the head of a request with a body of this size in bytes. The headers must
/// contain Host, which is not added.
std::string FormatRequestHead(std::string_view aMethod, std::string_view aTarget,
                              const Headers& aHeaders, size_t aBodySize);

/// Returns the head of a response. Without a body size it announces a chunked body. With
/// aCloses it announces that the connection closes after the response.
std::string FormatResponseHead(int aStatus, const Headers& aHeaders,
                               std::optional<size_t> aBodySize, bool aCloses);

/// Returns the bytes of one chunk of a chunked body. The data must not be empty.
std::string FormatChunk(std::string_view aData);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace gooseberrypath::entry

#endif // ENTRY_HTTP_FORMAT_H_
