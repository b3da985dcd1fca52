// Lets callers read streams again: GET /v1/streams/{request-id} with Last-Event-ID.
//
// A reader is served from this daemon's own requests and ended streams, or else from the
// peer that has the stream, which is looked for in the order of HoldersOf(). A reader
// whose source is gone looks for the stream again.

#ifndef GOOSEBERRYPATH_STREAM_SYSTEM_H_
#define GOOSEBERRYPATH_STREAM_SYSTEM_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberrypath/kept_streams.h"
#include "gooseberrypath/reply_writer.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Tells whether a caller asks to read a stream again.
bool IsStreamQuery(const CallerRequest& aRequest);

/// Serves readers of streams and answers the peers' reads.
class StreamSystem
{
public:
  explicit StreamSystem(World& aWorld)
    : world_(aWorld)
    , replies_(aWorld)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start();

  /// Serves the readers and the peers' reads for which there is news.
  void Run();

  void Handle(const CallerRequest& aEvent);
  void Handle(const CallerGone& aEvent);
  void Handle(const StreamAsked& aEvent);
  void Handle(const StreamAnswered& aEvent);

private:
  /// A peer's read that waits for a token.
  struct Question
  {
    StreamAsked asked;
    RequestId source;
    TimePoint due; // answered then, with or without a token
  };

  /// What a reader gets at once.
  struct Batch
  {
    std::string_view model;
    int64_t createdSeconds = 0;
    uint64_t total = 0; // tokens that the source has
    std::span<const std::string> tokens;
    const StreamEnd* end = nullptr; // null: running
  };

  Result<StreamReaderRow> TakeIn(const CallerRequest& aEvent) const;
  /// Each of these returns whether the reader is done and to be removed.
  bool Drive(RequestId aId, StreamReaderRow& aReader);
  bool Search(RequestId aId, StreamReaderRow& aReader);
  bool Send(RequestId aId, StreamReaderRow& aReader, const Batch& aBatch);
  bool Fail(RequestId aId, const StreamReaderRow& aReader, const Error& aError);
  void Ask(StreamReaderRow& aReader, const std::string& aAddress);
  void Lose(StreamReaderRow& aReader, bool aIsUnreachable);
  void Pause(StreamReaderRow& aReader, Duration aTime);
  bool Answer(Question& aQuestion);

  World& world_;
  ReplyWriter replies_;
  std::vector<Question> questions_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_STREAM_SYSTEM_H_
