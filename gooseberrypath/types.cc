#include "gooseberrypath/types.h"

#include <algorithm>

namespace gooseberrypath {

namespace {

char ToLowerAscii(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

} // namespace

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](char aL, char aR) { return ToLowerAscii(aL) == ToLowerAscii(aR); });
}

std::string ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), ToLowerAscii);
  return aText;
}

std::string_view FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (EqualsIgnoreCase(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

} // namespace gooseberrypath
