#include "gooseberrypath/client_transport.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

namespace gooseberrypath {

namespace {

using Outcome = ClientAnswer::Outcome;

kj::Promise<ClientAnswer> Exchange(kj::HttpClient& aClient,
                                   const kj::HttpHeaderTable& aTable,
                                   const ClientRequest& aRequest)
{
  kj::HttpHeaders headers(aTable);
  headers.set(kj::HttpHeaderId::HOST, kj::heapString(aRequest.server.c_str()));
  if (aRequest.isPost) {
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
  }
  auto request = aClient.request(
    aRequest.isPost ? kj::HttpMethod::POST : kj::HttpMethod::GET, aRequest.target.c_str(),
    headers, static_cast<uint64_t>(aRequest.body.size()));
  kj::Promise<void> written = kj::READY_NOW;
  if (!aRequest.body.empty()) {
    written = request.body->write(aRequest.body.data(), aRequest.body.size());
  }
  written = written.attach(kj::mv(request.body));
  return written.then([response = kj::mv(request.response)]() mutable {
    return response.then([](kj::HttpClient::Response&& aResponse) {
      const auto status = static_cast<int>(aResponse.statusCode);
      return aResponse.body->readAllText()
        .attach(kj::mv(aResponse.body))
        .then([status](kj::String aBody) {
          return ClientAnswer{ .outcome = Outcome::Answered,
                               .status = status,
                               .body = aBody.cStr() };
        });
    });
  });
}

} // namespace

ClientAnswer SendByHttp(const ClientRequest& aRequest)
{
  auto io = kj::setupAsyncIo();
  kj::Timer& timer = io.provider->getTimer();
  const kj::Duration timeout = aRequest.timeout.count() * kj::MICROSECONDS;
  ClientAnswer answer;
  const auto problem = kj::runCatchingExceptions([&] {
    auto& network = io.provider->getNetwork();
    auto address = network.parseAddress(aRequest.server.c_str()).wait(io.waitScope);
    auto stream = timer.timeoutAfter(timeout, address->connect()).wait(io.waitScope);
    answer.outcome = Outcome::Unknown;
    const auto table = kj::HttpHeaderTable::Builder().build();
    auto client = kj::newHttpClient(*table, *stream);
    answer =
      timer.timeoutAfter(timeout, Exchange(*client, *table, aRequest)).wait(io.waitScope);
  });
  KJ_IF_MAYBE (exception, problem) {
    answer.reason = exception->getDescription().cStr();
  }
  return answer;
}

} // namespace gooseberrypath
