#include "entry/limit_wire.h"

namespace gooseberrypath::entry {

void FillStatement(const LimitStatement& aStatement,
                   wire::LimitStatement::Builder aBuilder)
{
  aBuilder.setIsLimited(aStatement.perSecond.has_value());
  aBuilder.setPerSecond(aStatement.perSecond.value_or(0));
  aBuilder.setSentMs(aStatement.sentAt.count());
  aBuilder.setReceivedMs(aStatement.receivedAt.count());
}

LimitStatement ReadStatement(wire::LimitStatement::Reader aReader)
{
  LimitStatement statement{ .sentAt = WallTime(aReader.getSentMs()),
                            .receivedAt = WallTime(aReader.getReceivedMs()) };
  if (aReader.getIsLimited()) {
    statement.perSecond = aReader.getPerSecond();
  }
  return statement;
}

} // namespace gooseberrypath::entry
