#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/membership/message.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

/// Membership of one data centre by probing, suspicion and refutation, and digests between data centres.
///
/// Every process probes its successor in the hash order of the members once a second, so each member is probed by
/// exactly one process and the load is the same at any size. A changed claim is pushed to a few random members at once
/// and piggy-backed on later messages.
namespace rosemarymill::membership {

inline constexpr Duration probeInterval = 1s;
/// A probe without answer for this long is repeated through other members.
inline constexpr Duration directTimeout = 250ms;
/// Without any answer for this long since the direct probe the member is suspected.
inline constexpr Duration indirectTimeout = 500ms;
/// Time for a suspected member to refute. Probe interval, indirect timeout and this time add up to 2.5 s, which leaves
/// 0.5 s of the 3 s bound for spreading the claim.
inline constexpr Duration suspicionTimeout = 1s;
/// Time between probes of a member that this process suspects.
inline constexpr Duration suspectProbeInterval = 250ms;
/// Ticks come every 100 ms. A longer gap than this means that the process itself was paused.
inline constexpr Duration pauseThreshold = 500ms;
/// Time between attempts to reach a dead member or a seed that is not a member yet.
inline constexpr Duration rejoinInterval = 5s;
/// Members that are dead or have left are removed after this time. It exceeds the longest expected partition of one
/// hour.
inline constexpr Duration removedMemberRetention = 2h;
inline constexpr std::size_t indirectPeers = 2;
/// Members that receive a changed claim at once. Four reach 98% of the members in the first wave.
inline constexpr std::size_t pushFanout = 4;
/// Pushes per second, so that a burst of changes costs a bounded number of messages.
inline constexpr std::uint32_t pushesPerSecond = 10;
/// Further successors probed within one second when one does not answer, so that adjacent members that fail together
/// are detected.
inline constexpr std::uint32_t extraProbesPerSecond = 4;
inline constexpr std::size_t maxUpdatesPerMessage = 6;
/// Time for a change to spread by gossip before different views cause a full exchange.
inline constexpr Duration syncDelay = 500ms;
/// Full exchanges that one process starts per second.
inline constexpr std::uint32_t syncsPerSecond = 4;
/// Claims in one message of a full exchange.
inline constexpr std::size_t maxUpdatesPerSync = 64;
inline constexpr std::size_t relaysPerDataCentre = 2;
inline constexpr std::size_t maxRelayedProbes = 64;

/// Process named in the settings as a first contact.
struct Seed {
    VmId vm;
    DataCentreId dataCentre;
    std::string address;
};

/// Identity of the process.
struct Settings {
    VmId vm;
    DataCentreId dataCentre;
    std::string address;
    std::string announceAddress;
    BootId bootId;
    std::uint64_t seed { 0 };
    std::vector<Seed> seeds;
};

struct Started {
    Instant now;
};

/// Periodic timer, every 100 ms.
struct Tick {
    Instant now;
};

struct Received {
    Instant now;
    VmId from;
    Message message;
};

/// The process shuts down gracefully.
struct Leaving {
    Instant now;
};

using Event = std::variant<Started, Tick, Received, Leaving>;

struct Send {
    VmId to;
    std::string address;
    Message message;
};

/// How a member changed in this process's view.
enum class Change {
    Joined,
    /// Back with the same boot id: it was paused or unreachable and kept its state.
    Resumed,
    /// Back with another boot id: it crashed and lost its soft state.
    Restarted,
    Suspected,
    Died,
    Left
};

struct Changed {
    VmId vm;
    Change change { Change::Joined };
};

/// This process did not run for the given time. Its view of other processes may be out of date.
struct SelfPaused {
    Duration gap { 0 };
};

/// A member holds a configuration revision above that of this process.
struct RevisionSeen {
    VmId from;
    std::string address;
    Revision revision;
};

using Effect = std::variant<Send, Changed, SelfPaused, RevisionSeen>;
using Effects = EffectList<Effect>;

/// Direct probe that awaits its answer.
struct PendingProbe {
    std::uint64_t sequence { 0 };
    VmId target;
    Instant startedAt;
    bool indirect { false };
};

/// Probe made for another member.
struct RelayedProbe {
    std::uint64_t sequence { 0 };
    VmId target;
    VmId origin;
    std::string originAddress;
    std::uint64_t originSequence { 0 };
};

/// State of the module in one process.
struct State {
    explicit State(Settings fixed);

    Settings settings;
    std::uint64_t incarnation { 1 };
    /// Facts about this process, kept up to date by the top reducer.
    Facts facts;
    /// Load of the whole data centre; set only at the placement leader.
    std::optional<LoadDigest> dataCentreLoad;
    /// All other members of the data centre.
    std::map<VmId, Member> members;
    /// Hash over the running members, kept up to date with every change.
    std::uint64_t membersHash { 0 };
    std::map<DataCentreId, DataCentreDigest> digests;
    std::vector<PendingProbe> pending;
    std::vector<RelayedProbe> relayed;
    std::minstd_rand random;
    std::uint64_t lastSequence { 0 };
    Instant lastTick;
    Instant nextProbe;
    Instant nextRejoin;
    Instant lastReceived;
    std::uint32_t pushesLeft { pushesPerSecond };
    std::uint32_t extraProbesLeft { extraProbesPerSecond };
    std::uint32_t syncsLeft { syncsPerSecond };
    /// Time of the last change of a member, and start of the current series of changes that come within syncDelay of
    /// each other.
    Instant lastChange;
    Instant changingSince;
    bool pushDue { false };
    bool leaving { false };
};

/// Applies one event.
void reduce(State& state, const Event& event, Effects& effects);

/// Whether a member counts as running. A suspected member does until it is declared dead.
[[nodiscard]] bool isRunning(const State& state, const VmId& vm);

/// All running members of the data centre, this process included, in order of name.
[[nodiscard]] std::vector<VmId> runningMembers(const State& state);

/// Peer address of a member, or an empty text if there is no such member.
[[nodiscard]] std::string addressOf(const State& state, const VmId& vm);

/// The two members that exchange digests with other data centres.
[[nodiscard]] std::vector<VmId> relaysOf(const State& state);

} // namespace rosemarymill::membership
