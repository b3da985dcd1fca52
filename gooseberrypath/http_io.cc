#include "gooseberrypath/http_io.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sys/socket.h>
#include <utility>

#include <kj/debug.h>

namespace gooseberrypath {

namespace {

bool IsTokenCharacter(char aCharacter)
{
  static constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         kOthers.find(aCharacter) != std::string_view::npos;
}

/// Tells whether a comma-separated list names this field.
bool ListNames(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const size_t comma = aList.find(',');
    std::string_view item = aList.substr(0, comma);
    aList.remove_prefix(comma == std::string_view::npos ? aList.size() : comma + 1);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (EqualsIgnoreCase(item, aName)) {
      return true;
    }
  }
  return false;
}

} // namespace

const kj::HttpHeaderTable& HeaderTable()
{
  static const kj::HttpHeaderTable table;
  return table;
}

kj::Duration ToKj(Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

TimePoint TimeOf(const kj::Timer& aTimer)
{
  return TimePoint{ Duration{ (aTimer.now() - kj::origin<kj::TimePoint>()) /
                              kj::MICROSECONDS } };
}

namespace {

std::minstd_rand& JitterGenerator()
{
  static thread_local std::minstd_rand generator{ std::random_device{}() };
  return generator;
}

} // namespace

void SeedJitter(uint32_t aSeed)
{
  JitterGenerator().seed(aSeed);
}

kj::Duration Jittered(Duration aDuration)
{
  std::uniform_int_distribution<int64_t> distribution(aDuration.count() / 2,
                                                      aDuration.count() * 3 / 2);
  return distribution(JitterGenerator()) * kj::MICROSECONDS;
}

double RandomShare()
{
  return std::uniform_real_distribution<double>(0, 1)(JitterGenerator());
}

kj::Maybe<kj::Own<kj::NetworkAddress>> ParseAddress(kj::Network& aNetwork,
                                                    const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return nullptr;
  }
  uint16_t port = 0;
  const char* const end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return nullptr;
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    sockaddr_in6 address{};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(port);
    if (inet_pton(AF_INET6, host.c_str(), &address.sin6_addr) != 1) {
      return nullptr;
    }
    return aNetwork.getSockaddr(&address, sizeof(address));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return nullptr;
  }
  return aNetwork.getSockaddr(&address, sizeof(address));
}

kj::Promise<kj::Own<kj::AsyncIoStream>> Connect(kj::Network& aNetwork, kj::Timer& aTimer,
                                                const std::string& aAddress,
                                                Duration aTimeout)
{
  return kj::evalNow([&]() -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
    KJ_IF_MAYBE (address, ParseAddress(aNetwork, aAddress)) {
      auto connected = (*address)->connect().attach(kj::mv(*address));
      return aTimer.timeoutAfter(ToKj(aTimeout), kj::mv(connected));
    }
    return KJ_EXCEPTION(FAILED, "address is not IP:port", aAddress.c_str());
  });
}

void BreakWhenSilent(kj::AsyncIoStream& aStream, std::chrono::milliseconds aLimit)
{
  const auto set = [&](int aLevel, int aOption, int aValue) {
    auto ignored = kj::runCatchingExceptions(
      [&] { aStream.setsockopt(aLevel, aOption, &aValue, sizeof(aValue)); });
    (void)ignored;
  };
  const auto ms = static_cast<int>(aLimit.count());
  constexpr int kMsPerProbe = 2000; // two probes, a whole second apart at least
  const int seconds = std::max(1, ms / kMsPerProbe);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, 2);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
}

Headers FromKj(const kj::HttpHeaders& aHeaders)
{
  Headers result;
  result.reserve(aHeaders.size());
  aHeaders.forEach([&](kj::StringPtr aName, kj::StringPtr aValue) {
    result.push_back(
      Header{ { aName.begin(), aName.size() }, { aValue.begin(), aValue.size() } });
  });
  return result;
}

void AddHeaders(kj::HttpHeaders& aInto, const Headers& aHeaders)
{
  for (const Header& header : aHeaders) {
    const bool isName =
      !header.name.empty() && std::ranges::all_of(header.name, IsTokenCharacter);
    if (isName && kj::HttpHeaders::isValidHeaderValue(View(header.value))) {
      aInto.add(kj::heapString(header.name.data(), header.name.size()),
                kj::heapString(header.value.data(), header.value.size()));
    }
  }
}

Headers EndToEndHeaders(const Headers& aHeaders)
{
  static constexpr std::array<std::string_view, 12> kHopByHop = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Trailers",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
  };
  Headers result;
  for (const Header& header : aHeaders) {
    const bool isHop =
      std::ranges::any_of(
        kHopByHop, [&](auto aName) { return EqualsIgnoreCase(aName, header.name); }) ||
      std::ranges::any_of(aHeaders, [&](const Header& aOther) {
        return EqualsIgnoreCase(aOther.name, "Connection") &&
               ListNames(aOther.value, header.name);
      });
    if (!isHop) {
      result.push_back(header);
    }
  }
  return result;
}

kj::StringPtr ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 301:
      return "Moved Permanently";
    case 302:
      return "Found";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return aStatus < 400 ? "Other" : "Error";
  }
}

bool IsValidTarget(std::string_view aTarget)
{
  return !aTarget.empty() && std::ranges::all_of(aTarget, [](unsigned char aCharacter) {
    return aCharacter > 0x20 && aCharacter != 0x7f;
  });
}

kj::Promise<bool> ReadBounded(kj::AsyncInputStream& aStream, size_t aLimit,
                              std::string& aInto)
{
  static constexpr size_t kChunk = size_t{ 16 } * 1024;
  const size_t before = aInto.size();
  const size_t room = std::min(kChunk, aLimit + 1 - before);
  aInto.resize(before + room);
  return aStream.tryRead(aInto.data() + before, 1, room)
    .then([&aStream, aLimit, &aInto, before](size_t aRead) -> kj::Promise<bool> {
      aInto.resize(before + aRead);
      if (aRead == 0) {
        return true;
      }
      if (aInto.size() > aLimit) {
        return false;
      }
      return ReadBounded(aStream, aLimit, aInto);
    });
}

HttpCall::HttpCall(kj::HttpClient& aClient, HttpRequest aRequest)
  : client_(aClient)
  , request_(std::move(aRequest))
{
}

kj::Promise<void> HttpCall::Send()
{
  return kj::evalNow([&]() -> kj::Promise<void> {
    KJ_IF_MAYBE (method, kj::tryParseHttpMethod(View(request_.method))) {
      if (!IsValidTarget(request_.target)) {
        return KJ_EXCEPTION(FAILED, "the request target is malformed");
      }
      kj::HttpHeaders headers(HeaderTable());
      AddHeaders(headers, request_.headers);
      auto request =
        client_.request(*method, View(request_.target), headers, request_.body.size());
      out_ = kj::mv(request.body);
      if (!request_.body.empty()) {
        // The answer may come before the whole body was sent, so a failed write only
        // matters if reading the answer fails too.
        writing_ = out_->write(request_.body.begin(), request_.body.size())
                     .then([this] { out_ = nullptr; })
                     .eagerlyEvaluate([](kj::Exception&&) {});
      } else {
        out_ = nullptr;
      }
      return request.response.then([this](kj::HttpClient::Response&& aResponse) {
        reply.status = static_cast<int>(aResponse.statusCode);
        reply.headers = FromKj(*aResponse.headers);
        in_ = kj::mv(aResponse.body);
      });
    }
    return KJ_EXCEPTION(FAILED, "the method is unknown", request_.method.c_str());
  });
}

kj::Promise<void> HttpCall::ReadWhole(size_t aLimit)
{
  return ReadBounded(*in_, aLimit, reply.body).then([](bool aIsWhole) {
    KJ_REQUIRE(aIsWhole, "the answer is over the size limit");
  });
}

kj::Promise<HttpReply> Fetch(kj::HttpClient& aClient, kj::Timer& aTimer,
                             HttpRequest aRequest, size_t aLimit, Duration aTimeout)
{
  auto call = kj::heap<HttpCall>(aClient, std::move(aRequest));
  HttpCall& ref = *call;
  auto fetched = ref.Send()
                   .then([&ref, aLimit] { return ref.ReadWhole(aLimit); })
                   .then([&ref] { return std::move(ref.reply); })
                   .attach(kj::mv(call));
  return aTimer.timeoutAfter(ToKj(aTimeout), kj::mv(fetched));
}

} // namespace gooseberrypath
