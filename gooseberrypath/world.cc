#include "gooseberrypath/world.h"

#include "gooseberrypath/records.h"

namespace gooseberrypath {

int64_t World::WallMs() const
{
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::milliseconds>(Now() - started);
  return static_cast<int64_t>(options.incarnation) + elapsed.count();
}

void World::Log(LogLevel aLevel, std::string_view aPart, std::string aText)
{
  Emit(WriteLog{ .level = aLevel, .part = std::string(aPart), .text = std::move(aText) });
}

std::string World::RandomHex(size_t aDigits)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(aDigits);
  for (size_t i = 0; i < aDigits; ++i) {
    hex.push_back(kDigits[random() % kDigits.size()]);
  }
  return hex;
}

bool World::IsLogReachable(std::string_view aStream) const
{
  const auto found = streams.find(aStream);
  return found != streams.end() && found->second.contacted &&
         Now() - found->second.lastContact <= options.logDownAfter;
}

bool World::IsCaughtUp() const
{
  if (awaitsConfigSnapshot) {
    return false;
  }
  for (const std::string_view name : { kConfigStream, kActionStream, kJobStream }) {
    const auto found = streams.find(name);
    if (found == streams.end() || !found->second.contacted ||
        found->second.next < found->second.targetHead) {
      return false;
    }
  }
  return true;
}

} // namespace gooseberrypath
