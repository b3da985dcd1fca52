// Writes answers to callers: tokens, whole answers, errors and outcomes of actions.
//
//   ReplyWriter replies(world);
//   replies.SendError(id, row, { ErrorKind::NoBackend, "service app has no live backend"
//   });

#ifndef GOOSEBERRYPATH_REPLY_WRITER_H_
#define GOOSEBERRYPATH_REPLY_WRITER_H_

#include <string>
#include <string_view>

#include "gooseberrypath/chat_format.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Path of the queries about queued requests, followed by the id.
inline constexpr std::string_view kJobPrefix = "/v1/jobs/";

/// Tells whether a caller asks for the outcome of an action.
bool IsOutcomeQuery(const CallerRequest& aRequest);

/// Tells whether a caller asks about a queued request or cancels it.
bool IsJobQuery(const CallerRequest& aRequest);

/// Emits the actions that answer a caller. The answers of a row that runs a queued
/// request go to World::jobEnds instead.
class ReplyWriter
{
public:
  explicit ReplyWriter(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Adds a token to the row and sends it if the caller streams.
  void SendToken(RequestId aId, RequestRow& aRow, const std::string& aText);

  /// Ends the answer of a model request.
  void SendModelEnd(RequestId aId, const RequestRow& aRow,
                    std::string_view aFinishReason);

  /// Sends the error's answer from the table, or an error event in a running stream.
  void SendError(RequestId aId, const RequestRow& aRow, const Error& aError);

  /// Sends a whole answer.
  void SendWhole(RequestId aId, const RequestRow& aRow, const StoredAnswer& aAnswer);

  /// Sends the decision of a request that needs no attempt, unless the caller is gone.
  void SendDecision(RequestId aId, const RequestRow& aRow);

  /// Answers GET /v1/outcomes/{service}/{key}. Fails with BadRequest or NotReady.
  void SendOutcome(const CallerRequest& aEvent);

private:
  AnswerIdentity IdentityOf(const RequestRow& aRow) const;
  void SendEvent(RequestId aId, std::string aData);

  World& world_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_REPLY_WRITER_H_
