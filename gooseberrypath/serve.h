// The entry daemon as a process.

#ifndef GOOSEBERRYPATH_SERVE_H_
#define GOOSEBERRYPATH_SERVE_H_

#include "gooseberrypath/settings.h"

namespace gooseberrypath {

/// Runs a daemon until a planned stop is complete. Returns the exit code.
int RunServe(const Settings& aSettings);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SERVE_H_
