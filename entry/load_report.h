// A backend's statement of its load, from the head of a response.
//
//   LoadReport report{ .running = 3, .waiting = 0, .slots = 6, .pace = 1.2 };

#ifndef ENTRY_LOAD_REPORT_H_
#define ENTRY_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrypath::entry {

/// The load of a backend by the calls of all daemons when it wrote a response.
struct LoadReport
{
  uint32_t running = 0; // calls
  uint32_t waiting = 0; // calls
  uint32_t slots = 1;   // calls that it runs concurrently; never 0
  double pace = 1;      // time that work takes now, relative to the usual time

  bool operator==(const LoadReport&) const = default;
};

/// What the head of a response says about the backend's load.
struct AnnouncedLoad
{
  std::optional<LoadReport> report; // empty: no valid report
  std::string malformed;            // the field's text if it is not a valid report

  bool operator==(const AnnouncedLoad&) const = default;
};

} // namespace gooseberrypath::entry

#endif // ENTRY_LOAD_REPORT_H_
