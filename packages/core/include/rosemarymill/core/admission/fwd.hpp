#pragma once

/// Forward declarations of the admission types.
namespace rosemarymill::admission {

struct SlotRequest;
struct SlotGrant;
struct SlotReturn;
struct HomeDigest;
struct ServerSlots;
struct Home;
struct Lease;
class ServerLimit;
class WeightedFairQueue;
class FifoQueue;

} // namespace rosemarymill::admission
