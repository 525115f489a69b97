#pragma once

/// Forward declarations of the fleet module.
namespace rosemarymill::fleet {

class Control;
class EntryRoster;
class Machine;
class Registry;
struct Group;
struct ServerRecord;
struct Target;

} // namespace rosemarymill::fleet
