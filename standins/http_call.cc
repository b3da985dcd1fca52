#include "standins/http_call.h"

#include <charconv>
#include <poll.h>
#include <sys/socket.h>

#include <kj/compat/url.h>

namespace gooseberrypath::standins {

using nlohmann::json;

namespace {

constexpr auto kWatchInterval = 5 * kj::MILLISECONDS;

const char* StatusText(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Error";
  }
}

} // namespace

HttpCall::HttpCall(const CallContext& aContext, kj::HttpMethod aMethod,
                   kj::StringPtr aTarget, const kj::HttpHeaders& aHeaders,
                   kj::HttpService::Response& aResponse)
  : context_(aContext)
  , method_(aMethod)
  , target_(aTarget.cStr())
  , response_(aResponse)
{
  KJ_IF_MAYBE (url, kj::Url::tryParse(aTarget, kj::Url::HTTP_REQUEST)) {
    for (const auto& part : url->path) {
      path_.emplace_back(part.cStr());
    }
    for (const auto& item : url->query) {
      query_.emplace_back(item.name.cStr(), item.value.cStr());
    }
  }
  aHeaders.forEach([this](kj::StringPtr aName, kj::StringPtr aValue) {
    headers_.push_back({ aName.cStr(), aValue.cStr() });
  });
}

bool HttpCall::Is(kj::HttpMethod aMethod, std::string_view aPath) const
{
  const std::string_view path = std::string_view(target_).substr(0, target_.find('?'));
  return method_ == aMethod && path.substr(1) == aPath;
}

std::string_view HttpCall::Header(std::string_view aName) const
{
  return FindHeader(headers_, aName);
}

uint64_t HttpCall::QueryNumber(std::string_view aName, uint64_t aDefault) const
{
  for (const auto& [name, value] : query_) {
    uint64_t number = 0;
    if (name == aName &&
        std::from_chars(value.data(), value.data() + value.size(), number).ec ==
          std::errc()) {
      return number;
    }
  }
  return aDefault;
}

json HttpCall::JsonBody() const
{
  return json::parse(body_, nullptr, false);
}

kj::Promise<void> HttpCall::SendJson(int aStatus, const json& aBody,
                                     const Headers& aHeaders, bool aClose)
{
  auto text = kj::str(aBody.dump(-1, ' ', false, json::error_handler_t::replace).c_str());
  kj::HttpHeaders headers(context_.table);
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  for (const auto& header : aHeaders) {
    headers.add(kj::str(header.name.c_str()), kj::str(header.value.c_str()));
  }
  context_.close.closeNext = aClose;
  auto stream = response_.send(static_cast<kj::uint>(aStatus), StatusText(aStatus),
                               headers, text.size());
  context_.close.closeNext = false;
  auto promise = stream->write(text.begin(), text.size());
  return promise.attach(kj::mv(stream), kj::mv(text));
}

kj::Promise<void> HttpCall::SendError(int aStatus, const std::string& aMessage,
                                      bool aClose)
{
  return SendJson(aStatus, { { "error", { { "message", aMessage } } } }, {}, aClose);
}

kj::Own<kj::AsyncOutputStream> HttpCall::SendStreamHead()
{
  kj::HttpHeaders headers(context_.table);
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, "text/event-stream");
  return response_.send(200, "OK", headers);
}

kj::Promise<void> HttpCall::Cut()
{
  // kj ends a chunked body properly when its stream is destroyed, unless the socket is
  // already shut down.
  shutdown(context_.fd, SHUT_RDWR);
  return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                       kj::str("connection cut by a fault"));
}

kj::Promise<void> HttpCall::WatchClient() const
{
  pollfd state{ .fd = context_.fd, .events = POLLRDHUP, .revents = 0 };
  if (context_.fd >= 0 && poll(&state, 1, 0) > 0) {
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                         kj::str("the client closed the connection"));
  }
  return context_.timer.afterDelay(kWatchInterval).then([this] { return WatchClient(); });
}

} // namespace gooseberrypath::standins
