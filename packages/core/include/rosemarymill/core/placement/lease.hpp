#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

/// Lease of the placement authority in one data centre, granted by a majority of acceptors.
namespace rosemarymill::placement {

inline constexpr Duration leaseDuration = 3s;
inline constexpr Duration leaseRenewal = 1s;
/// The holder stops acting this long before its lease ends. Over one lease, clocks whose rates differ by 1% drift apart
/// by 30 ms; the rest covers the time that an order takes from the decision to the socket.
inline constexpr Duration leaseMargin = 200ms;
/// Longest random delay before a request for a free lease, so that candidates rarely collide.
inline constexpr Duration leaseBackoff = 300ms;
/// Maximum number of doublings of the delay after split votes: up to 2.4 s.
inline constexpr std::uint32_t maxBackoffDoublings = 3;
/// An acceptor keeps its grants in memory only, so after a start it answers no requests until all grants of its
/// previous incarnation have expired. The margin covers a clock that is fast by 1%.
inline constexpr Duration acceptorStartupDelay = leaseDuration + leaseDuration / 50;

/// Requests the lease from an acceptor, or renews it.
struct LeaseRequest {
    VmId candidate;
    BootId boot;
    FencingNumber fencing;
    /// Time of sending on the candidate's clock in microseconds, returned by the acceptor.
    std::int64_t sentAt { 0 };

    friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

/// Answer of an acceptor.
struct LeaseReply {
    BootId boot;
    FencingNumber fencing;
    std::int64_t sentAt { 0 };
    bool granted { false };
    /// Highest fencing number that the acceptor has granted.
    FencingNumber highest;
    /// Holder of the conflicting grant, and the time until that grant expires in microseconds.
    VmId holder;
    std::int64_t remaining { 0 };

    friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

/// Releases a grant. The sender no longer acts as the holder.
struct LeaseRelease {
    BootId boot;
    FencingNumber fencing;

    friend bool operator==(const LeaseRelease&, const LeaseRelease&) = default;
};

using LeaseMessage = std::variant<LeaseRequest, LeaseReply, LeaseRelease>;

/// Acceptor of the lease. Its grants are kept in memory only.
struct Acceptor {
    Instant startupDelayEnd;
    /// Highest fencing number granted.
    FencingNumber highest;
    VmId holder;
    BootId holderBoot;
    FencingNumber granted;
    Instant grantedUntil;
};

/// Candidate for the lease and its holder.
struct Candidate {
    /// Number under which the lease is requested or held.
    FencingNumber fencing;
    /// Time of sending of the newest granted request, by acceptor.
    std::map<VmId, Instant> grants;
    std::uint32_t denials { 0 };
    /// Split votes since the last lease: attempts that ended with some grants, but no majority.
    std::uint32_t splitVotes { 0 };
    /// The holder acts only before this instant.
    Instant validUntil;
    /// When the lease was acquired; absent while it is not held.
    std::optional<Instant> acquiredAt;
    Instant nextRequest;
    Instant lastRequest;
};

struct LeaseSettings {
    VmId vm;
    BootId boot;
    std::uint64_t seed { 0 };
    std::vector<VmId> acceptors;
    /// Whether this process may hold the lease: it is an acceptor in the lease's own data centre.
    bool candidate { false };
};

/// State of the lease in one process.
struct LeaseState {
    explicit LeaseState(LeaseSettings fixed);

    LeaseSettings settings;
    Acceptor acceptor;
    Candidate candidate;
    /// Highest fencing number in announcements and membership messages.
    FencingNumber seen;
    std::minstd_rand random;
};

struct LeaseStarted {
    Instant now;
};

/// Periodic timer, every 100 ms.
struct LeaseTick {
    Instant now;
};

struct LeaseReceived {
    Instant now;
    VmId from;
    LeaseMessage message;
};

/// Fencing number in an announcement or membership message.
struct FencingSeen {
    Instant now;
    FencingNumber fencing;
};

/// Releases the lease before a graceful shutdown.
struct LeaseReleaseRequested {
    Instant now;
};

using LeaseEvent = std::variant<LeaseStarted, LeaseTick, LeaseReceived, FencingSeen, LeaseReleaseRequested>;

struct LeaseSend {
    VmId to;
    LeaseMessage message;
};

struct LeaseAcquired {
    FencingNumber fencing;
};

struct LeaseLost { };

using LeaseEffect = std::variant<LeaseSend, LeaseAcquired, LeaseLost>;
using LeaseEffects = EffectList<LeaseEffect>;

/// Applies one event. Its time is the clock's reading when the event is processed, so that a holder that was paused
/// detects the end of its lease before it acts.
void reduce(LeaseState& state, const LeaseEvent& event, LeaseEffects& effects);

/// Whether the process holds the lease and may act at the instant.
[[nodiscard]] bool holdsLease(const LeaseState& state, Instant now) noexcept;

} // namespace rosemarymill::placement
