#include "gooseberrypath/claim_system.h"

namespace gooseberrypath {

void ClaimSystem::Start() {}

void ClaimSystem::Run() {}

} // namespace gooseberrypath
