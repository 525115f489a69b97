#pragma once

#include <rosemarymill/core/admission/home.hpp>
#include <rosemarymill/core/admission/lease.hpp>
#include <rosemarymill/core/admission/queue.hpp>
#include <rosemarymill/core/call/request.hpp>
#include <rosemarymill/core/lifecycle/lifecycle.hpp>
#include <rosemarymill/core/quarantine/part_evidence.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/core/retry/budget.hpp>
#include <rosemarymill/core/retry/hedge.hpp>
#include <rosemarymill/core/routing/choice.hpp>
#include <rosemarymill/core/routing/latency.hpp>
#include <rosemarymill/core/routing/remote.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// State of admission, routing, retries, quarantine and shutdown in one process.
namespace rosemarymill::node {

/// Scheduling policy of a process. The baseline serves as a comparison in the benchmarks.
enum class PolicyChoice { Shipped, Baseline };

/// What the servers of a pool have in common: they serve the same model version or service.
struct PoolTarget {
    call::Target target { call::Target::Model };
    ModelName model;
    std::string version;
    ServiceName service;
};

/// Calls that wait for one pool.
template <admission::AdmissionQueue Order> struct Pool {
    PoolTarget target;
    Order order;
};

/// Waiting calls and routing of one policy.
template <admission::AdmissionQueue AdmissionQueue, routing::RoutingPolicy RoutingPolicy> struct Scheduler {
    using Order = AdmissionQueue;
    using Choice = RoutingPolicy;
    std::map<std::string, Pool<Order>> pools;
    Choice choice;
};

using ShippedScheduler = Scheduler<admission::WeightedFairQueue, routing::PowerOfTwoChoices>;
using BaselineScheduler = Scheduler<admission::FifoQueue, routing::RoundRobin>;

/// Server of this data centre with the entry VM that is its home.
struct LocatedServer {
    VmId home;
    Instant lastAnnounced;
    admission::DigestEntry entry;
};

/// Exponentially weighted mean times of one pool, in microseconds.
struct PoolTimes {
    double firstResponse { 0.0 };
    double finish { 0.0 };
    /// Mean number of tokens in an answer.
    double outputTokens { 0.0 };
    std::uint64_t samples { 0 };
    retry::HedgeDelay hedgeDelay;
};

/// When the last messages of each kind were sent to another entry VM, for their rate limit.
struct PeerMessageTimes {
    Instant lastReportsAt;
    Instant lastGrantsAt;
};

/// Counters for the metrics endpoint.
struct PolicyCounters {
    std::uint64_t retries { 0 };
    std::uint64_t hedges { 0 };
    std::uint64_t resumes { 0 };
    std::uint64_t forwards { 0 };
    std::map<call::RefusalReason, std::uint64_t> refusals;
};

/// State of scheduling, admission, retries, quarantine and shutdown.
struct Policy {
    std::variant<ShippedScheduler, BaselineScheduler> scheduler;
    admission::Home home;
    std::map<ServerId, admission::Lease> leases;
    std::map<ServerId, LocatedServer> directory;
    std::map<ServiceName, std::set<ServerId>> services;
    std::map<VmId, PeerMessageTimes> messageTimes;
    std::map<std::string, PoolTimes> times;
    routing::LatencyTable latency;
    std::map<ServerId, routing::PrefixCache> caches;
    routing::RemoteDataCentres remotes;
    retry::Budget budget;
    quarantine::State quarantine;
    /// Evidence on leading blocks of prompts, from the reports of all entry VMs.
    quarantine::PartEvidence parts;
    lifecycle::OutOfServiceSet outOfServiceSet;
    lifecycle::Shutdown shutdown;
    /// Digest of this home's servers as last sent to the peers of the data centre.
    std::vector<admission::DigestEntry> sentDigest;
    Instant digestSentAt;
    std::uint32_t digestRepeats { 0 };
    Instant capacitySentAt;
    std::uint64_t capacityRounds { 0 };
    PolicyCounters counters;
};

/// Creates the initial policy state of a process.
[[nodiscard]] Policy makePolicy(PolicyChoice choice, std::uint64_t seed);

} // namespace rosemarymill::node
