#include "gooseberrypath/dispatch_system.h"

namespace gooseberrypath {

void DispatchSystem::Start() {}

void DispatchSystem::Run() {}

} // namespace gooseberrypath
