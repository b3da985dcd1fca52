// The memory that the head of a caller's request takes up at the callers' port of
// `serve`.
//
//   const HeadSize size = SizeOf(headers);
//   charge.TryResize(HeadMemory(size));

#ifndef GOOSEBERRYPATH_CALLER_HEAD_H_
#define GOOSEBERRYPATH_CALLER_HEAD_H_

#include <cstddef>

#include <kj/compat/http.h>

namespace gooseberrypath {

/// What a head consists of.
struct HeadSize
{
  size_t bytes = 0; // of names and values
  size_t fields = 0;
};

HeadSize SizeOf(const kj::HttpHeaders& aHeaders);

/// Returns the bytes that kj's parser takes up for a head of this many bytes. The first
/// ones are not counted, since each connection has them.
size_t ParserMemory(size_t aBytes, size_t aFields);

/// Returns the bytes that the copies of a head take up while its request is read and
/// runs.
size_t HeadMemory(const HeadSize& aSize);

/// Returns the most bytes that kj's parser and the copies take up together for a head
/// whose names and values have this many bytes.
size_t LargestHeadMemory(size_t aHeaderBytes);

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_CALLER_HEAD_H_
