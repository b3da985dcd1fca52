// The JSON status of an entry daemon for operators.
//
//   std::string text = RenderStatus(world);

#ifndef ENTRY_STATUS_REPORT_H_
#define ENTRY_STATUS_REPORT_H_

#include <string>

#include "entry/world.h"

namespace gooseberrypath::entry {

/// Returns a JSON object with the age of what is known of the store, the limits of
/// backends in force and the blocked prompt parts: how many engines ended with each, of
/// how many teams the calls were, for how many seconds it has been blocked, how often it
/// was tried and in how many seconds it may be tried again.
std::string RenderStatus(const World& aWorld);

} // namespace gooseberrypath::entry

#endif // ENTRY_STATUS_REPORT_H_
