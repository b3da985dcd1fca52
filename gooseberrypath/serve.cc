#include "gooseberrypath/serve.h"

#include "gooseberrypath/logging.h"

namespace gooseberrypath {

int RunServe(const Settings& aSettings)
{
  Observation observation({ .level = aSettings.logLevel,
                            .logFile = aSettings.logFile,
                            .spanFile = aSettings.spanFile,
                            .daemon = aSettings.daemon });
  observation.Execute(
    WriteLog{ .part = "serve", .text = "daemon " + aSettings.daemon + " started" });
  return 0;
}

} // namespace gooseberrypath
