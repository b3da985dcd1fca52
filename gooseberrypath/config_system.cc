#include "gooseberrypath/config_system.h"

namespace gooseberrypath {

void ConfigSystem::Start() {}

void ConfigSystem::Run() {}

} // namespace gooseberrypath
