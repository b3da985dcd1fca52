#include "gooseberrypath/backend_system.h"

namespace gooseberrypath {

bool IsUsable(const World& aWorld, const BackendRow& aRow)
{
  return !aRow.leaving && !aRow.gone && aRow.refusedUntil <= aWorld.Now();
}

void BackendSystem::Start() {}

void BackendSystem::Run() {}

} // namespace gooseberrypath
