// The encoding of a backend's statement about its limit in messages between daemons.
//
//   FillStatement(statement, builder.initStatement());
//   LimitStatement received = ReadStatement(reader.getStatement());

#ifndef ENTRY_LIMIT_WIRE_H_
#define ENTRY_LIMIT_WIRE_H_

#include "entry/backend_limit.h"
#include "entry/permit.capnp.h"

namespace gooseberrypath::entry {

/// Writes the statement into a message.
void FillStatement(const LimitStatement& aStatement,
                   wire::LimitStatement::Builder aBuilder);

/// Reads a statement from a message. It may be invalid; see IsValid().
LimitStatement ReadStatement(wire::LimitStatement::Reader aReader);

} // namespace gooseberrypath::entry

#endif // ENTRY_LIMIT_WIRE_H_
