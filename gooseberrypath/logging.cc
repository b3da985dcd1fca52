#include "gooseberrypath/logging.h"

#include <memory>
#include <stdexcept>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "gooseberrypath/tracing.h"

namespace gooseberrypath {

namespace {

log4cplus::LogLevel ToLog4cplus(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

std::string EscapeControls(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string escaped;
  escaped.reserve(aText.size());
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    if (byte < 0x20 || byte == 0x7f) {
      escaped += "\\x";
      escaped += kDigits[byte >> 4U];
      escaped += kDigits[byte & 15U];
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

void OpenForAppending(std::ofstream& aStream, const std::string& aFile)
{
  aStream.open(aFile, std::ios::app);
  if (!aStream) {
    throw std::runtime_error("file \"" + aFile + "\" cannot be opened for writing");
  }
}

} // namespace

Observation::Observation(ObservationOptions aOptions)
  : options_(std::move(aOptions))
{
  log4cplus::SharedAppenderPtr appender;
  if (options_.logFile.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    // log4cplus reports a file that it cannot open only on standard error.
    std::ofstream probe;
    OpenForAppending(probe, options_.logFile);
    appender = new log4cplus::FileAppender(options_.logFile, std::ios::app, true);
  }
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%qZ} %p %c: %m%n"));
  log4cplus::Logger root = hierarchy_.getRoot();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(options_.level));
  if (!options_.spanFile.empty()) {
    OpenForAppending(spans_, options_.spanFile);
  }
}

Observation::~Observation()
{
  hierarchy_.shutdown();
}

void Observation::Execute(const WriteLog& aLog)
{
  hierarchy_.getInstance(aLog.part).log(ToLog4cplus(aLog.level),
                                        EscapeControls(aLog.text));
}

void Observation::Execute(const WriteSpan& aSpan)
{
  if (spans_.is_open()) {
    spans_ << SpanToJson(aSpan, options_.daemon, options_.wallOffset) << std::endl;
  }
}

} // namespace gooseberrypath
