// How a backend's response marks the end of its body, and how much of the body came.
//
//   ReceivedBody received{ .framing = BodyFraming::Chunked, .events = 2, .bytes = 31 };
//   fields.emplace_back("framing", NameOf(received.framing));

#ifndef ENTRY_RESPONSE_BODY_H_
#define ENTRY_RESPONSE_BODY_H_

#include <cstdint>
#include <string_view>

namespace gooseberrypath::entry {

/// What marks the end of a response's body (RFC 9112, section 6.3).
enum class BodyFraming : uint8_t
{
  None,           // no head was received, or the response has no body
  Length,         // the Content-Length field
  Chunked,        // the last chunk
  CloseDelimited, // only the end of the connection
};

/// Returns the name of the framing for log lines, empty for None.
constexpr std::string_view NameOf(BodyFraming aFraming)
{
  switch (aFraming) {
    case BodyFraming::None:
      break;
    case BodyFraming::Length:
      return "length";
    case BodyFraming::Chunked:
      return "chunked";
    case BodyFraming::CloseDelimited:
      return "close_delimited";
  }
  return {};
}

/// What was received of the response to an attempt.
struct ReceivedBody
{
  BodyFraming framing = BodyFraming::None;
  uint64_t events = 0; // complete events of a stream
  uint64_t bytes = 0;  // without the framing
};

} // namespace gooseberrypath::entry

#endif // ENTRY_RESPONSE_BODY_H_
