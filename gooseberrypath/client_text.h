// Text forms of JSON values and tables in the operators' client.
//
//   WriteTable(std::cout, { { "KIND", "NAME" },
//                           { FieldOf(resource, "kind"), FieldOf(resource, "name") } });

#ifndef GOOSEBERRYPATH_CLIENT_TEXT_H_
#define GOOSEBERRYPATH_CLIENT_TEXT_H_

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace gooseberrypath {

/// Returns a value as JSON text. Bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& aValue, int aIndent = -1);

/// Returns a string without quotes and any other value as JSON text.
std::string TextOf(const nlohmann::json& aValue);

/// Returns a field as text, or an empty text.
std::string FieldOf(const nlohmann::json& aObject, const char* aKey);

/// Returns a field that is a whole number from 0, or 0.
uint64_t NumberOf(const nlohmann::json& aObject, const char* aKey);

/// Percent-encodes a text for a query.
std::string EncodeUri(const std::string& aText);

/// Returns "kind/name" of a resource.
std::string IdOf(const nlohmann::json& aResource);

/// Writes rows with aligned columns.
void WriteTable(std::ostream& aOut, const std::vector<std::vector<std::string>>& aRows);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CLIENT_TEXT_H_
