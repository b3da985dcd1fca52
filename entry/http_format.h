// Writes the heads of HTTP/1.1 messages.

#ifndef ENTRY_HTTP_FORMAT_H_
#define ENTRY_HTTP_FORMAT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Appends "Name: value" lines. Fields whose name or value is no valid HTTP are left out.
void AppendFields(std::string& aOut, const Headers& aHeaders);

/// Returns the head of a request with a body of this size and without Host line, which
/// must be among the fields.
std::string FormatRequestHead(std::string_view aMethod, std::string_view aTarget,
                              const Headers& aHeaders, size_t aBodySize);

/// Returns the head of an answer. Without a size the body is sent in chunks.
std::string FormatResponseHead(int aStatus, const Headers& aHeaders,
                               std::optional<size_t> aBodySize, bool aCloses);

/// Returns the bytes of one chunk of a chunked body. The data must not be empty.
std::string FormatChunk(std::string_view aData);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace gooseberrypath::entry

#endif // ENTRY_HTTP_FORMAT_H_
