#include "gooseberrypath/membership_system.h"

namespace gooseberrypath {

void MembershipSystem::Start() {}

void MembershipSystem::Run() {}

} // namespace gooseberrypath
