// Groups log lines about backends: all changes of one kind in a tick share a line, so
// that no line is left out by the rate limit when many backends come or leave together.
//
//   BackendLog log;
//   log.Add({ .event = "backend_removed", .toldBy = peer }, id);
//   for (WriteEvent& line : log.TakeLines(known)) { ... }

#ifndef ENTRY_BACKEND_LOG_H_
#define ENTRY_BACKEND_LOG_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "entry/messages.h"

namespace gooseberrypath::entry {

/// What happened to backends, and from where this daemon knows.
struct BackendChangeKind
{
  std::string event;  // name of the log line
  std::string toldBy; // the peer; "the backend"; empty: the store

  auto operator<=>(const BackendChangeKind&) const =
    default; // NOLINT(modernize-use-nullptr)
};

/// How much a daemon knew of the fleet when backends changed.
struct FleetKnowledge
{
  std::optional<Duration> age; // since the fleet was known before; no value: it never was
  uint64_t next = 0;           // offset of the store up to which it is read
};

class BackendLog
{
public:
  void Add(const BackendChangeKind& aKind, std::string aBackend)
  {
    backends_[aKind].push_back(std::move(aBackend));
  }

  /// Returns the lines of the changes since the last call.
  std::vector<WriteEvent> TakeLines(const FleetKnowledge& aKnown);

private:
  std::map<BackendChangeKind, std::vector<std::string>> backends_;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_BACKEND_LOG_H_
