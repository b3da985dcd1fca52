#include "gooseberrypath/reply_writer.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "gooseberrypath/request_intake.h"

namespace gooseberrypath {

namespace {

constexpr std::string_view kOutcomePrefix = "/v1/outcomes/";
constexpr int64_t kMsPerSecond = 1000;

std::string_view NameOf(ActionRow::State aState)
{
  switch (aState) {
    case ActionRow::State::Claimed:
      return "claimed";
    case ActionRow::State::Done:
      return "done";
    case ActionRow::State::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

bool IsOutcomeQuery(const CallerRequest& aRequest)
{
  return aRequest.method == "GET" && aRequest.target.starts_with(kOutcomePrefix);
}

bool IsJobQuery(const CallerRequest& aRequest)
{
  return (aRequest.method == "GET" || aRequest.method == "DELETE") &&
         aRequest.target.starts_with(kJobPrefix);
}

AnswerIdentity ReplyWriter::IdentityOf(const RequestRow& aRow) const
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(world_.Now() - aRow.arrived);
  return { .requestId = aRow.publicId,
           .model = aRow.chat.model,
           .createdSeconds = (world_.WallMs() - age.count()) / kMsPerSecond };
}

void ReplyWriter::SendEvent(RequestId aId, std::string aData)
{
  world_.Emit(
    ReplyStreamEvent{ .request = aId, .id = {}, .event = {}, .data = std::move(aData) });
}

void ReplyWriter::SendToken(RequestId aId, RequestRow& aRow, const std::string& aText)
{
  const uint64_t offset = aRow.tokens.size();
  aRow.tokens.push_back(aText);
  aRow.tokenBytes += aText.size();
  world_.counters.Add(Counter::TokensReceived);
  if (!aRow.chat.streams || aRow.callerGone) {
    return;
  }
  if (!aRow.headSent) {
    aRow.headSent = true;
    world_.Emit(ReplyStreamHead{ aId, { { "X-Request-Id", aRow.publicId } } });
  }
  world_.Emit(ReplyStreamEvent{ .request = aId,
                                .id = aRow.publicId + ":" + std::to_string(offset),
                                .event = {},
                                .data = ChunkData(IdentityOf(aRow), offset, aText) });
}

void ReplyWriter::SendModelEnd(RequestId aId, const RequestRow& aRow,
                               std::string_view aFinishReason)
{
  if (!aRow.job.empty()) {
    world_.jobEnds.push_back({ .job = aRow.job,
                               .tokens = aRow.tokens,
                               .finishReason = std::string(aFinishReason),
                               .error = std::nullopt });
    return;
  }
  if (!aRow.chat.streams) {
    SendWhole(aId, aRow,
              { .status = 200,
                .headers = { { "Content-Type", "application/json" } },
                .body = CompletionBody(IdentityOf(aRow), aRow.tokens, aFinishReason) });
    return;
  }
  if (!aRow.headSent) {
    world_.Emit(ReplyStreamHead{ aId, { { "X-Request-Id", aRow.publicId } } });
  }
  SendEvent(aId, LastChunkData(IdentityOf(aRow), aFinishReason));
  SendEvent(aId, "[DONE]");
  world_.Emit(ReplyStreamEnd{ aId });
  world_.counters.Add(Counter::RequestsAnswered);
}

void ReplyWriter::SendError(RequestId aId, const RequestRow& aRow, const Error& aError)
{
  if (!aRow.job.empty()) {
    const bool isFinal = aError.kind == ErrorKind::DeadlineExceeded ||
                         aError.kind == ErrorKind::QueueTimeout;
    world_.jobEnds.push_back({ .job = aRow.job,
                               .tokens = aRow.tokens,
                               .finishReason = {},
                               .error = aError,
                               .isFinal = isFinal });
    return;
  }
  const ErrorInfo& info = InfoOf(aError.kind);
  const std::string body = ErrorBody(aError, aRow.key);
  if (aRow.headSent) {
    world_.Emit(
      ReplyStreamEvent{ .request = aId, .id = {}, .event = "error", .data = body });
    world_.Emit(ReplyStreamEnd{ aId });
    return;
  }
  Headers headers = { { "Content-Type", "application/json" },
                      { "X-Request-Id", aRow.publicId } };
  if (info.retryAfterSeconds > 0) {
    headers.push_back({ "Retry-After", std::to_string(info.retryAfterSeconds) });
  }
  world_.Emit(ReplyWhole{
    .request = aId, .status = info.status, .headers = std::move(headers), .body = body });
}

void ReplyWriter::SendWhole(RequestId aId, const RequestRow& aRow,
                            const StoredAnswer& aAnswer)
{
  if (!aRow.job.empty()) {
    // An engine refused the request itself, so that another run has the same end.
    world_.jobEnds.push_back(
      { .job = aRow.job,
        .tokens = aRow.tokens,
        .finishReason = {},
        .error = Error{ ErrorKind::BadRequest, "the engine answered " +
                                                 std::to_string(aAnswer.status) + ": " +
                                                 std::string(aAnswer.body.View()) } });
    return;
  }
  world_.counters.Add(Counter::RequestsAnswered);
  Headers headers = aAnswer.headers;
  headers.push_back({ "X-Request-Id", aRow.publicId });
  world_.Emit(ReplyWhole{ .request = aId,
                          .status = aAnswer.status,
                          .headers = std::move(headers),
                          .body = aAnswer.body });
}

void ReplyWriter::SendDecision(RequestId aId, const RequestRow& aRow)
{
  if (!aRow.decision || aRow.callerGone) {
    return;
  }
  if (const auto* error = std::get_if<Error>(&*aRow.decision)) {
    world_.counters.Add(Counter::RequestsRefused);
    SendError(aId, aRow, *error);
  } else {
    SendWhole(aId, aRow, std::get<StoredAnswer>(*aRow.decision));
  }
}

void ReplyWriter::SendOutcome(const CallerRequest& aEvent)
{
  const std::string_view rest = PathOf(aEvent.target).substr(kOutcomePrefix.size());
  const size_t slash = rest.find('/');
  RequestRow row{ .caller = aEvent };
  if (slash == std::string_view::npos || !CheckKey(rest.substr(slash + 1))) {
    SendError(aEvent.request, row,
              { ErrorKind::BadRequest, "the path must be /v1/outcomes/{service}/{key}" });
    return;
  }
  // A daemon that has not read the log cannot say that there is no outcome.
  if (!world_.IsCaughtUp()) {
    SendError(aEvent.request, row,
              { ErrorKind::NotReady, "the log has not been read yet" });
    return;
  }
  const ActionId action{ rest.substr(0, slash), rest.substr(slash + 1) };
  nlohmann::json body = { { "service", action.first },
                          { "key", action.second },
                          { "state", "none" } };
  if (const ActionRow* known = world_.actions.Find(action)) {
    body["state"] = NameOf(known->state);
    if (known->state == ActionRow::State::Done) {
      body["status"] = known->answer.status;
      body["body"] = known->answer.body.View();
    }
  }
  using Json = nlohmann::json;
  world_.Emit(
    ReplyWhole{ .request = aEvent.request,
                .status = 200,
                .headers = { { "Content-Type", "application/json" } },
                .body = body.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

} // namespace gooseberrypath
