// Runs an entry daemon: the core and its ports on one event loop.
//
//   return RunEntry("/etc/gooseberrypath/settings.conf");

#ifndef ENTRY_SERVE_ENTRY_H_
#define ENTRY_SERVE_ENTRY_H_

#include <string>

namespace gooseberrypath::entry {

/// Serves until SIGTERM and the shutdown that follows it. Returns the exit code: 0, or 2
/// if the settings file is missing or malformed.
int RunEntry(const std::string& aSettingsPath);

/// Validates the settings file without serving. Returns the exit code as RunEntry() does.
int CheckEntrySettings(const std::string& aSettingsPath);

} // namespace gooseberrypath::entry

#endif // ENTRY_SERVE_ENTRY_H_
