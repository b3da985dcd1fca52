#include "gooseberrypath/client_text.h"

#include <algorithm>
#include <ostream>

#include <kj/encoding.h>

namespace gooseberrypath {

using nlohmann::json;

std::string DumpJson(const json& aValue, int aIndent)
{
  return aValue.dump(aIndent, ' ', false, json::error_handler_t::replace);
}

std::string TextOf(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : DumpJson(aValue);
}

std::string FieldOf(const json& aObject, const char* aKey)
{
  return aObject.is_object() && aObject.contains(aKey) ? TextOf(aObject[aKey]) : "";
}

uint64_t NumberOf(const json& aObject, const char* aKey)
{
  return aObject.is_object() && aObject.contains(aKey) &&
             aObject[aKey].is_number_unsigned()
           ? aObject[aKey].get<uint64_t>()
           : 0;
}

std::string EncodeUri(const std::string& aText)
{
  return kj::encodeUriComponent(kj::StringPtr(aText.c_str())).cStr();
}

std::string IdOf(const json& aResource)
{
  return FieldOf(aResource, "kind") + "/" + FieldOf(aResource, "name");
}

void WriteTable(std::ostream& aOut, const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    aOut << line << '\n';
  }
}

} // namespace gooseberrypath
