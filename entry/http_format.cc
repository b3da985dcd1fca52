#include "entry/http_format.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <http_parser.h>

namespace gooseberrypath::entry {

namespace {

std::string_view ReasonPhraseOf(int aStatus)
{
  const char* text = http_status_str(static_cast<http_status>(aStatus));
  return text == nullptr ? "Other" : text;
}

bool IsFieldName(std::string_view aName)
{
  return !aName.empty() && std::ranges::all_of(aName, [](unsigned char aCharacter) {
    return aCharacter > 0x20 && aCharacter < 0x7f && aCharacter != ':';
  });
}

bool IsFieldValue(std::string_view aValue)
{
  return std::ranges::none_of(aValue, [](char aCharacter) {
    return aCharacter == '\r' || aCharacter == '\n' || aCharacter == '\0';
  });
}

} // namespace

void AppendFields(std::string& aOut, const Headers& aHeaders)
{
  for (const Header& header : aHeaders) {
    if (IsFieldName(header.name) && IsFieldValue(header.value)) {
      aOut.append(header.name).append(": ").append(header.value).append("\r\n");
    }
  }
}

std::string FormatRequestHead(std::string_view aMethod, std::string_view aTarget,
                              const Headers& aHeaders, size_t aBodySize)
{
  std::string head;
  head.reserve(512);
  head.append(aMethod).append(" ").append(aTarget).append(" HTTP/1.1\r\n");
  AppendFields(head, aHeaders);
  const bool mayHaveBody = aMethod != "GET" && aMethod != "HEAD";
  if (aBodySize > 0 || mayHaveBody) {
    head.append("Content-Length: ").append(std::to_string(aBodySize)).append("\r\n");
  }
  head.append("\r\n");
  return head;
}

std::string FormatResponseHead(int aStatus, const Headers& aHeaders,
                               const ResponseHeadOptions& aOptions)
{
  std::string head;
  head.reserve(512);
  head.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  head.append(ReasonPhraseOf(aStatus)).append("\r\n");
  AppendFields(head, aHeaders);
  if (aOptions.framing == BodyFraming::Chunked) {
    head.append("Transfer-Encoding: chunked\r\n");
  } else if (aOptions.framing == BodyFraming::Length && aStatus != 204 &&
             aStatus != 304) {
    head.append("Content-Length: ").append(std::to_string(aOptions.bodySize));
    head.append("\r\n");
  }
  if (aOptions.closes) {
    head.append("Connection: close\r\n");
  }
  head.append("\r\n");
  return head;
}

std::string FormatChunk(std::string_view aData)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aData.size());
  std::string chunk(size.data());
  chunk.append(aData).append("\r\n");
  return chunk;
}

} // namespace gooseberrypath::entry
