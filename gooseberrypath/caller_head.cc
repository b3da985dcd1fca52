#include "gooseberrypath/caller_head.h"

#include <algorithm>

#include "gooseberrypath/types.h"

namespace gooseberrypath {

namespace {

// kj reads heads into a buffer that begins with this size and doubles.
constexpr size_t kFirstParserBytes = 4096;
constexpr size_t kParserGrowth = 2;

// kj keeps a list with two pointers and two lengths for each field. Its capacity doubles.
constexpr size_t kParserFieldBytes = kParserGrowth * 4 * sizeof(size_t);

// Fewer fields are not counted.
constexpr size_t kFirstParserFields = 32;

// The head of a request is held by the core and by the attempt that is being sent.
constexpr size_t kCopies = 2;

// The shortest field: a name of one letter, a colon and the end of the line.
constexpr size_t kShortestFieldBytes = 4;

// kj refuses a head above this.
constexpr size_t kMostParserBytes = size_t{ 128 } * 1024;

} // namespace

HeadSize SizeOf(const kj::HttpHeaders& aHeaders)
{
  HeadSize size;
  aHeaders.forEach([&](kj::StringPtr aName, kj::StringPtr aValue) {
    size.bytes += aName.size() + aValue.size();
    ++size.fields;
  });
  return size;
}

size_t ParserMemory(size_t aBytes, size_t aFields)
{
  const size_t buffer = aBytes > kFirstParserBytes ? kParserGrowth * aBytes : 0;
  return buffer + (aFields > kFirstParserFields ? kParserFieldBytes * aFields : 0);
}

size_t HeadMemory(const HeadSize& aSize)
{
  return kCopies * (aSize.bytes + aSize.fields * sizeof(Header));
}

size_t LargestHeadMemory(size_t aHeaderBytes)
{
  const size_t fields = std::min(aHeaderBytes, kMostParserBytes / kShortestFieldBytes);
  return ParserMemory(kMostParserBytes, fields) +
         HeadMemory({ .bytes = aHeaderBytes, .fields = fields });
}

} // namespace gooseberrypath
