#pragma once

/// Forward declarations of the routing types.
namespace rosemarymill::routing {

struct Candidate;
struct Query;
struct State;
struct CapacityDigest;
class PowerOfTwoChoices;
class RoundRobin;

} // namespace rosemarymill::routing
