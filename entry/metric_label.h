// Label values of metrics in the Prometheus text format.
//
//   text.append("{backend=").append(QuoteLabel(id)).append("} ");

#ifndef ENTRY_METRIC_LABEL_H_
#define ENTRY_METRIC_LABEL_H_

#include <string>

namespace gooseberrypath::entry {

/// Returns the text as a quoted label value. Ids of backends come from outside and may
/// contain any character.
inline std::string QuoteLabel(const std::string& aText)
{
  std::string quoted = "\"";
  for (const char character : aText) {
    if (character == '\n') {
      quoted += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  return quoted + "\"";
}

} // namespace gooseberrypath::entry

#endif // ENTRY_METRIC_LABEL_H_
