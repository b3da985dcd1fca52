// Basic types shared by all modules: time, strong identifiers and headers.
//
//   RequestId id{ 7 };
//   TimePoint due = now + std::chrono::seconds(2);

#ifndef GOOSEBERRYPATH_TYPES_H_
#define GOOSEBERRYPATH_TYPES_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrypath {

/// Time since the daemon's clock started, in microseconds. The origin has no
/// meaning outside the process.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A number that identifies one row of a table or one operation. The tag keeps
/// ids of different kinds apart.
template<typename Tag>
struct StrongId
{
  uint64_t value = 0;

  // clang-tidy 14 takes the 0 in the generated comparison for a null pointer.
  auto operator<=>(const StrongId&) const = default; // NOLINT(modernize-use-nullptr)
};

using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;
using AppendId = StrongId<struct AppendTag>;
using WriteId = StrongId<struct WriteTag>;
using QuestionId = StrongId<struct QuestionTag>;
using TimerId = StrongId<struct TimerTag>;

/// Position of a record in a log stream. The first record has offset 1; 0 means
/// "before the first record".
using Offset = uint64_t;

/// One HTTP header field.
struct Header
{
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// Returns the value of the first field with this name, compared without case,
/// Returns the text with its ASCII letters in lower case.
std::string ToLower(std::string aText);

/// or an empty view.
std::string_view FindHeader(const Headers& aHeaders, std::string_view aName);

/// Compares two ASCII strings without case.
bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

} // namespace gooseberrypath

template<typename Tag>
struct std::hash<gooseberrypath::StrongId<Tag>>
{
  size_t operator()(const gooseberrypath::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<uint64_t>{}(aId.value);
  }
};

#endif // GOOSEBERRYPATH_TYPES_H_
