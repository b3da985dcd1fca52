// Identifies a request by its content: the same request of the same caller has the same
// print at each daemon, also after a restart, whatever id, framing and other headers it
// is sent with. The caller's API key is a part of it, so no caller can produce another
// one's print.
//
//   RequestPrint print = PrintOf(call);

#ifndef ENTRY_REQUEST_PRINT_H_
#define ENTRY_REQUEST_PRINT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "entry/model.h"

namespace gooseberrypath::entry {

/// A 128-bit hash; 0: unknown.
struct RequestPrint
{
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const RequestPrint&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Returns the print of method, host, target, API key, body and prompt.
RequestPrint PrintOf(const Call& aCall);

/// Returns the print in hexadecimal, as operators see it.
std::string PrintText(const RequestPrint& aPrint);

} // namespace gooseberrypath::entry

#endif // ENTRY_REQUEST_PRINT_H_
