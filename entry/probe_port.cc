#include "entry/probe_port.h"

#include <utility>

#include <kj/debug.h>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

ProbePort::ProbePort(ProbePortOptions aOptions)
  : options_(std::move(aOptions))
  , server_(options_.timer, HeaderTable(), *this)
  , tasks_(errors_)
{
  KJ_IF_MAYBE (address, ParseAddress(options_.network, options_.address)) {
    listener_ = (*address)->listen();
  } else {
    kj::throwFatalException(
      KJ_EXCEPTION(FAILED, "the listen address for probes is malformed"));
  }
  tasks_.add(server_.listenHttp(*listener_));
}

kj::Promise<void> ProbePort::request(kj::HttpMethod, kj::StringPtr aUrl,
                                     const kj::HttpHeaders&, kj::AsyncInputStream&,
                                     Response& aResponse)
{
  const bool isMetrics = aUrl.endsWith("/metrics");
  auto body = kj::heap<std::string>(isMetrics  ? options_.renderMetrics()
                                    : isReady_ ? "ready\n"
                                               : "not ready\n");
  kj::HttpHeaders headers(HeaderTable());
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, "text/plain");
  const int status = isMetrics || isReady_ ? 200 : 503;
  auto out = aResponse.send(static_cast<kj::uint>(status), ReasonPhrase(status), headers,
                            body->size());
  auto written = out->write(body->data(), body->size());
  return written.attach(kj::mv(out), kj::mv(body));
}

} // namespace gooseberrypath::entry
