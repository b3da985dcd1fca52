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

ProbePort::Page ProbePort::PageFor(kj::StringPtr aPath) const
{
  if (aPath.endsWith("/metrics")) {
    return { .contentType = "text/plain", .body = options_.renderMetrics() };
  }
  if (aPath.endsWith("/status")) {
    return { .contentType = "application/json", .body = options_.renderStatus() };
  }
  return { .status = isReady_ ? 200 : 503,
           .contentType = "text/plain",
           .body = isReady_ ? "ready\n" : "not ready\n" };
}

kj::Promise<void> ProbePort::request(kj::HttpMethod, kj::StringPtr aUrl,
                                     const kj::HttpHeaders&, kj::AsyncInputStream&,
                                     Response& aResponse)
{
  auto page = kj::heap<Page>(PageFor(aUrl));
  kj::HttpHeaders headers(HeaderTable());
  headers.set(kj::HttpHeaderId::CONTENT_TYPE, page->contentType);
  auto out = aResponse.send(static_cast<kj::uint>(page->status),
                            ReasonPhrase(page->status), headers, page->body.size());
  auto written = out->write(page->body.data(), page->body.size());
  return written.attach(kj::mv(out), kj::mv(page));
}

} // namespace gooseberrypath::entry
