#include "entry/backend_log.h"

#include <algorithm>
#include <span>
#include <utility>

#include "entry/duration_text.h"

namespace gooseberrypath::entry {

namespace {

// Keeps a line below the size up to which writes to a pipe are atomic.
constexpr size_t kMaxBackendsInLine = 60;

std::string Join(std::span<const std::string> aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += (joined.empty() ? "" : " ") + text;
  }
  return joined;
}

} // namespace

std::vector<WriteEvent> BackendLog::TakeLines(const FleetKnowledge& aKnown)
{
  std::vector<WriteEvent> lines;
  for (const auto& [kind, backends] : std::exchange(backends_, {})) {
    for (size_t i = 0; i < backends.size(); i += kMaxBackendsInLine) {
      const std::span part =
        std::span(backends).subspan(i, std::min(kMaxBackendsInLine, backends.size() - i));
      lines.push_back(
        { LogLevel::Info,
          kind.event,
          {},
          { { "count", std::to_string(part.size()) },
            { "backends", Join(part) },
            { "told_by", kind.toldBy },
            { "fleet_known_ms_ago", aKnown.age ? MsText(ToMs(*aKnown.age)) : "never" },
            { "fleet_read_to", std::to_string(aKnown.next) } } });
    }
  }
  return lines;
}

} // namespace gooseberrypath::entry
