// Rows of the tables about streams that outlive their caller's connection.

#ifndef GOOSEBERRYPATH_STREAM_ROWS_H_
#define GOOSEBERRYPATH_STREAM_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gooseberrypath/messages.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// An ended model request that a caller may still read. Its id is the request's public
/// id.
struct EndedStreamRow
{
  std::string model;
  int64_t createdSeconds = 0; // since 1970
  std::vector<std::string> tokens;
  StreamEnd end;
  TimePoint keptUntil;
  size_t bytes = 0; // for the limit
};

/// A caller that reads a stream by GET /v1/streams/{request-id}.
struct StreamReaderRow
{
  std::string stream; // public id of the request
  uint64_t next = 0;  // offset of the next token
  bool headSent = false;
  RequestId source;               // own request that was found last; 0: none
  std::string address;            // of the peer that has the stream; empty: none
  std::vector<std::string> toAsk; // addresses of peers, the next one last
  uint32_t searches = 0;          // begun so far
  bool hasMissed = false;         // a peer could not be asked in this search
  QuestionId question;            // 0: not waiting for an answer
  TimePoint due{};                // end of the wait, or of a pause
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_STREAM_ROWS_H_
