#include "gooseberrypath/tracing.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

namespace gooseberrypath {

namespace {

using nlohmann::json;

std::string MillisecondsText(int64_t aUs)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f ms", static_cast<double>(aUs) / 1000);
  return text.data();
}

/// Returns the spans of the request, ordered by start, without repeated lines.
std::vector<const SpanLine*> SelectSpans(std::span<const SpanLine> aSpans,
                                         std::string_view aRequest)
{
  std::set<std::string_view> traces;
  for (const SpanLine& span : aSpans) {
    if (span.request == aRequest && !span.trace.empty()) {
      traces.insert(span.trace);
    }
  }
  std::vector<const SpanLine*> selected;
  for (const SpanLine& span : aSpans) {
    if (span.request == aRequest || span.trace == aRequest ||
        (span.request.empty() && traces.contains(span.trace))) {
      selected.push_back(&span);
    }
  }
  std::ranges::stable_sort(selected, {}, [](const SpanLine* aSpan) {
    return std::tie(aSpan->startUs, aSpan->span);
  });
  // clang-tidy 14 cannot compile std::ranges::unique() of this standard library.
  selected.erase(
    std::unique(selected.begin(), selected.end(),
                [](const auto* aLeft, const auto* aRight) { return *aLeft == *aRight; }),
    selected.end());
  return selected;
}

std::string RenderLine(const SpanLine& aSpan, size_t aDepth, int64_t aTraceStartUs,
                       const std::string& aRemark)
{
  std::string line(2 * aDepth, ' ');
  line += aSpan.name + "  +" + MillisecondsText(aSpan.startUs - aTraceStartUs) +
          "  took " + MillisecondsText(aSpan.durationUs);
  for (const auto& [label, value] :
       { std::pair{ "daemon", &aSpan.daemon }, std::pair{ "request", &aSpan.request },
         std::pair{ "attempt", &aSpan.attempt }, std::pair{ "note", &aSpan.note } }) {
    if (!value->empty()) {
      line += std::string("  ") + label + "=" + *value;
    }
  }
  return line + aRemark + "\n";
}

} // namespace

std::string SpanToJson(const WriteSpan& aSpan, std::string_view aDaemon,
                       Duration aWallOffset)
{
  const json line = {
    { "trace", aSpan.trace },
    { "span", aSpan.span },
    { "parent", aSpan.parent },
    { "name", aSpan.name },
    { "request", aSpan.request },
    { "attempt", aSpan.attempt },
    { "daemon", aDaemon },
    { "note", aSpan.note },
    { "start_us", (aSpan.start.time_since_epoch() + aWallOffset).count() },
    { "duration_us", (aSpan.end - aSpan.start).count() },
  };
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<SpanLine> ParseSpanLine(std::string_view aLine)
{
  const json line = json::parse(aLine, nullptr, false);
  if (!line.is_object()) {
    return std::nullopt;
  }
  try {
    const auto text = [&](const char* aKey) { return line.value(aKey, std::string()); };
    return SpanLine{ .trace = text("trace"),
                     .span = line.at("span").get<std::string>(),
                     .parent = text("parent"),
                     .name = line.at("name").get<std::string>(),
                     .request = text("request"),
                     .attempt = text("attempt"),
                     .daemon = text("daemon"),
                     .note = text("note"),
                     .startUs = line.at("start_us").get<int64_t>(),
                     .durationUs = line.at("duration_us").get<int64_t>() };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string RenderTrace(std::span<const SpanLine> aSpans, std::string_view aRequest)
{
  const std::vector<const SpanLine*> selected = SelectSpans(aSpans, aRequest);
  if (selected.empty()) {
    return {};
  }
  const int64_t startUs = selected.front()->startUs;
  std::set<std::string_view> ids;
  for (const SpanLine* span : selected) {
    ids.insert(span->span);
  }
  std::map<std::string_view, std::vector<const SpanLine*>> children;
  std::vector<const SpanLine*> tops;
  for (const SpanLine* span : selected) {
    if (span->parent.empty() || !ids.contains(span->parent)) {
      tops.push_back(span);
    } else {
      children[span->parent].push_back(span);
    }
  }

  std::string text;
  std::set<const SpanLine*> printed;
  std::vector<std::pair<const SpanLine*, size_t>> stack;
  const auto printTree = [&](const SpanLine* aTop, const std::string& aRemark) {
    stack.emplace_back(aTop, 0);
    while (!stack.empty()) {
      const auto [span, depth] = stack.back();
      stack.pop_back();
      if (!printed.insert(span).second) {
        continue;
      }
      text += RenderLine(*span, depth, startUs, depth == 0 ? aRemark : "");
      if (const auto found = children.find(span->span); found != children.end()) {
        // The stack reverses the order, so the last child is pushed first.
        const size_t count = found->second.size();
        for (size_t i = 0; i < count; ++i) {
          stack.emplace_back(found->second[count - 1 - i], depth + 1);
        }
      }
    }
  };
  for (const SpanLine* top : tops) {
    printTree(top, top->parent.empty() ? "" : "  (parent " + top->parent + " not found)");
  }
  // Spans that are their own ancestors have no top.
  for (const SpanLine* span : selected) {
    if (!printed.contains(span)) {
      printTree(span, "  (parent " + span->parent + " is also a descendant)");
    }
  }
  return text;
}

int RunTrace(std::span<const std::string> aArgs, std::ostream& aOut,
             std::ostream& aErrors)
{
  constexpr std::string_view kUsage = "usage: gooseberrypath trace FILE... REQUEST\n";
  if (aArgs.size() == 1 && aArgs.front() == "--help") {
    aOut << kUsage;
    return 0;
  }
  if (aArgs.size() < 2) {
    aErrors << kUsage;
    return 2;
  }
  std::vector<SpanLine> spans;
  size_t broken = 0;
  bool isReadable = true;
  for (const std::string& name : aArgs.first(aArgs.size() - 1)) {
    std::ifstream file(name);
    if (!file) {
      aErrors << "file \"" << name << "\" cannot be read\n";
      isReadable = false;
      continue;
    }
    for (std::string line; std::getline(file, line);) {
      if (auto span = ParseSpanLine(line)) {
        spans.push_back(std::move(*span));
      } else if (!line.empty()) {
        ++broken;
      }
    }
  }
  if (broken > 0) {
    aErrors << broken << " broken lines were skipped\n";
  }
  const std::string text = RenderTrace(spans, aArgs.back());
  if (text.empty()) {
    aErrors << "no span of request \"" << aArgs.back() << "\" was found\n";
    return 1;
  }
  aOut << text;
  return isReadable ? 0 : 1;
}

} // namespace gooseberrypath
