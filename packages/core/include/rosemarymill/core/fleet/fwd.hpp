#pragma once

/// Forward declarations of the fleet module.
namespace rosemarymill::fleet {

class Control;
class DepartureTable;
class EntryVmRegistry;
class Machine;
class Registry;
struct Departure;
struct Group;
struct GroupRecord;
struct ServerRecord;
struct Target;

} // namespace rosemarymill::fleet
