#pragma once

/// Forward declarations of the placement types.
namespace rosemarymill::placement {

enum class GroupPhase;
struct Group;
struct LeaseSettings;
struct PlannerState;
struct PlannerInput;
struct LeaseState;

} // namespace rosemarymill::placement
