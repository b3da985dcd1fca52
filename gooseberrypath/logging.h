// Log lines by log4cplus and spans as JSON lines.
//
//   Observation observation({ .logFile = "", .spanFile = "spans.jsonl", .daemon = "d1"
//   }); observation.Execute(WriteLog{ .part = "claims", .text = "claim admitted" });
//
// A log line has the form "2026-01-02T03:04:05.678Z INFO claims: claim admitted".

#ifndef GOOSEBERRYPATH_LOGGING_H_
#define GOOSEBERRYPATH_LOGGING_H_

#include <fstream>
#include <string>

#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

struct ObservationOptions
{
  LogLevel level = LogLevel::Info; // lower levels are not written
  std::string logFile;             // empty: standard error
  std::string spanFile;            // empty: spans are not written
  std::string daemon;
  Duration wallOffset{}; // wall-clock time since 1970 at TimePoint{}
};

/// Models ObservationPort. One logger per part.
class Observation
{
public:
  /// Opens the files for appending. Throws std::runtime_error when one cannot be opened.
  explicit Observation(ObservationOptions aOptions);
  ~Observation();

  Observation(const Observation&) = delete;
  Observation& operator=(const Observation&) = delete;

  /// Writes a log line. Control characters of the text are escaped, so that text from
  /// outside cannot forge a line.
  void Execute(const WriteLog& aLog);

  /// Writes a span and flushes it.
  void Execute(const WriteSpan& aSpan);

private:
  log4cplus::Initializer initializer_;
  log4cplus::Hierarchy hierarchy_;
  ObservationOptions options_;
  std::ofstream spans_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_LOGGING_H_
