// Properties of an action that follow from its request alone.

#ifndef GOOSEBERRYPATH_ACTION_KEY_H_
#define GOOSEBERRYPATH_ACTION_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrypath {

/// Returns XXH3 (128 bit) of method, target and body, each with its length in front, as
/// 32 hexadecimal digits.
std::string HashAction(std::string_view aMethod, std::string_view aTarget,
                       std::string_view aBody);

/// Returns the creation time of a UUID version 7 in ms since 1970, or nothing for any
/// other text.
std::optional<int64_t> TimeOfUuidV7(std::string_view aKey);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_ACTION_KEY_H_
