// Reads the fields of records from JSON and notes the first wrong one.
//
//   FieldReader fields(json);
//   std::string key = fields.Text("key");
//   if (!fields.Wrong().empty()) { ... }

#ifndef GOOSEBERRYPATH_RECORD_FIELDS_H_
#define GOOSEBERRYPATH_RECORD_FIELDS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kj/encoding.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

using Json = nlohmann::json;

/// Returns the bytes in base64.
inline std::string ToBase64(std::string_view aBytes)
{
  const kj::ArrayPtr<const kj::byte> bytes(
    reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size());
  return kj::encodeBase64(bytes, false).cStr();
}

/// Returns the bytes, or nothing if the text is not base64.
inline std::optional<std::string> FromBase64(const std::string& aText)
{
  const auto bytes =
    kj::decodeBase64(kj::ArrayPtr<const char>(aText.data(), aText.size()));
  if (bytes.hadErrors) {
    return std::nullopt;
  }
  return std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

/// Reads the fields of one JSON object and keeps the name of the first wrong one.
class FieldReader
{
public:
  explicit FieldReader(const Json& aObject)
    : object_(aObject)
  {
  }

  std::string Text(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_string);
    return value ? value->get_ref<const std::string&>() : std::string();
  }

  uint64_t Unsigned(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_number_unsigned);
    return value ? value->get<uint64_t>() : 0;
  }

  int64_t Integer(const char* aName, int64_t aMin, int64_t aMax)
  {
    const Json* value = Get(aName, &Json::is_number_integer);
    if (!value) {
      return aMin;
    }
    if (value->is_number_unsigned() &&
        value->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      Fail(aName);
      return aMin;
    }
    const auto number = value->get<int64_t>();
    if (number < aMin || number > aMax) {
      Fail(aName);
      return aMin;
    }
    return number;
  }

  bool Boolean(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_boolean);
    return value && value->get<bool>();
  }

  std::string Bytes(const char* aName)
  {
    const Json* value = Get(aName, &Json::is_string);
    return value ? Decoded(aName, *value) : std::string();
  }

  Headers HeaderFields(const char* aName)
  {
    Headers headers;
    const Json* value = Get(aName, &Json::is_array);
    if (!value) {
      return headers;
    }
    for (const Json& field : *value) {
      if (!field.is_array() || field.size() != 2 || !field[0].is_string() ||
          !field[1].is_string()) {
        Fail(aName);
        return headers;
      }
      headers.push_back({ Decoded(aName, field[0]), Decoded(aName, field[1]) });
    }
    return headers;
  }

  std::vector<std::string> Texts(const char* aName)
  {
    std::vector<std::string> texts;
    if (const Json* value = Get(aName, &Json::is_array)) {
      for (const Json& text : *value) {
        if (!text.is_string()) {
          Fail(aName);
          break;
        }
        texts.push_back(text.get<std::string>());
      }
    }
    return texts;
  }

  const Json* Object(const char* aName) { return Get(aName, &Json::is_object); }

  const Json* Array(const char* aName) { return Get(aName, &Json::is_array); }

  void Fail(const std::string& aName)
  {
    if (wrong_.empty()) {
      wrong_ = aName;
    }
  }

  const std::string& Wrong() const { return wrong_; }

private:
  const Json* Get(const char* aName, bool (Json::*aIsType)() const noexcept)
  {
    const auto found = object_.find(aName);
    if (found == object_.end() || !((*found).*aIsType)()) {
      Fail(aName);
      return nullptr;
    }
    return &*found;
  }

  std::string Decoded(const char* aName, const Json& aValue)
  {
    std::optional<std::string> bytes = FromBase64(aValue.get_ref<const std::string&>());
    if (!bytes) {
      Fail(aName);
    }
    return std::move(bytes).value_or("");
  }

  const Json& object_;
  std::string wrong_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_RECORD_FIELDS_H_
