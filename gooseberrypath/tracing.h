// Spans as JSON lines, and the tree of the spans of one request.
//
//   std::string line = SpanToJson(span, "d1", wallOffset);
//   int code = RunTrace({ "a.jsonl", "b.jsonl", "REQUEST" }, std::cout, std::cerr);

#ifndef GOOSEBERRYPATH_TRACING_H_
#define GOOSEBERRYPATH_TRACING_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// One span as read from a file.
struct SpanLine
{
  std::string trace;
  std::string span;
  std::string parent; // empty: none
  std::string name;
  std::string request;
  std::string attempt;
  std::string daemon;
  std::string note;
  int64_t startUs = 0; // wall clock, since 1970
  int64_t durationUs = 0;

  bool operator==(const SpanLine&) const = default;
};

/// Returns the span as one JSON line without a line end. The offset is the wall-clock
/// time since 1970 at TimePoint{}.
std::string SpanToJson(const WriteSpan& aSpan, std::string_view aDaemon,
                       Duration aWallOffset);

/// Parses a line of SpanToJson(). Returns nothing when it is broken.
std::optional<SpanLine> ParseSpanLine(std::string_view aLine);

/// Returns the spans of a request as an indented tree, or an empty text when there are
/// none. The request is an X-Request-Id or a trace id. Spans of a matching trace without
/// a request id are included. A span whose parent is missing stands at the top, with a
/// note.
std::string RenderTrace(std::span<const SpanLine> aSpans, std::string_view aRequest);

/// Runs `gooseberrypath trace FILE… REQUEST`. Returns 0, 1 when no span was found or a
/// file cannot be read, or 2 on wrong usage. Broken lines are counted on aErrors.
int RunTrace(std::span<const std::string> aArgs, std::ostream& aOut,
             std::ostream& aErrors);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_TRACING_H_
