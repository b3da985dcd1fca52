// The concept of a system: code that reacts to events and runs over the tables of the
// World once per tick.
//
// A system has an overload Handle(const E&) for each event type E that concerns it. Core
// finds the overloads at compile time.

#ifndef GOOSEBERRYPATH_SYSTEM_CONCEPT_H_
#define GOOSEBERRYPATH_SYSTEM_CONCEPT_H_

namespace gooseberrypath {

/// Something that Core runs on each tick.
template<typename S>
concept System = requires(S aSystem)
{
  aSystem.Start();
  aSystem.Run();
};

/// A system that reacts to events of type E.
template<typename S, typename E>
concept Handles = requires(S aSystem, const E& aEvent)
{
  aSystem.Handle(aEvent);
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_SYSTEM_CONCEPT_H_
