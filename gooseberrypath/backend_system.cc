#include "gooseberrypath/backend_system.h"

namespace gooseberrypath {

void BackendSystem::Start() {}

void BackendSystem::Run() {}

} // namespace gooseberrypath
