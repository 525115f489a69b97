#pragma once

#include <rosemarymill/core/node/reduce.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Several node states in one process under virtual time, with fake servers and callers at their interfaces. Equal
/// seeds give equal runs.
namespace rosemarymill::bench {

/// Properties of a fake server.
struct ServerSpec {
    std::string id;
    std::string service;
    /// Node to which it announces first.
    std::size_t home { 0 };
    std::uint32_t capacity { 8 };
    std::uint32_t coldCapacity { 2 };
    Duration first { 100ms };
    Duration total { 1s };
    /// Token events of an answer; zero gives an answer that is not a stream.
    std::uint64_t tokens { 0 };
    /// Probability that a request breaks its connection while it runs.
    double breakChance { 0.0 };
    /// Age of the load in its announcements.
    Duration reportLag { 500ms };
};

/// A request of a fake caller.
struct CallSpec {
    std::string account;
    std::string service { "draft" };
    std::string method { "POST" };
    std::string key;
    Fingerprint fingerprint;
    Duration deadline { 0 };
};

/// What became of a call.
struct CallResult {
    CallSpec spec;
    Instant arrivedAt;
    std::optional<Duration> first;
    std::optional<Instant> finishedAt;
    std::optional<call::Refusal> refusal;
    /// Times that a server ran the call.
    std::uint32_t executions { 0 };
    std::uint64_t tokens { 0 };
    bool outOfOrder { false };
};

/// Counts over a run.
struct Totals {
    /// Requests that found a server already full, not counting the second after it became cold without warning.
    std::uint64_t overloads { 0 };
    std::uint64_t crashes { 0 };
    std::uint64_t attempts { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t exits { 0 };
    std::uint64_t lateDispatches { 0 };
    /// Slot time in which a slot was idle while a call waited, and all slot time while a call waited, in samples.
    double idle { 0.0 };
    double offered { 0.0 };
    std::uint64_t peerMessages { 0 };
};

class Fleet {
public:
    Fleet(node::PolicyChoice policy, std::uint64_t seed)
        : m_policy(policy)
        , m_random(seed)
    {
    }

    std::size_t addNode(const std::string& dataCentre);
    void addServer(const ServerSpec& spec);
    void addAccount(const std::string& id, double weight);
    /// Starts nodes, servers and timers.
    void start(Duration length);
    /// Runs until the end.
    void run();

    void at(Duration time, std::function<void()> action);
    /// Calls with exponential gaps at a rate per second from one node on.
    void load(std::size_t node, double rate, Duration from, Duration to, std::function<CallSpec()> make);
    /// Sends one call. The callback gets its result when it has ended.
    std::uint64_t send(std::size_t node, const CallSpec& spec, std::function<void(const CallResult&)> done = {});

    void killNode(std::size_t node);
    void pauseNode(std::size_t node, Duration time);
    void shutDown(std::size_t node);
    void cut(std::size_t a, std::size_t b, Duration time);
    void turnCold(const std::string& server, Duration time);
    void setOutOfService(const std::string& dataCentre, bool out);
    void setAnnouncing(const std::string& server, bool announcing);
    /// Requests with this fingerprint crash the server that runs them.
    void makeCrashing(const Fingerprint& fingerprint) { m_crashing.insert(fingerprint); }

    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] const std::deque<CallResult>& results() const { return m_results; }
    [[nodiscard]] const Totals& totals() const { return m_totals; }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const node::State& stateOf(std::size_t node) const { return *m_nodes[node].state; }
    [[nodiscard]] std::uint64_t executionsOf(const std::string& key) const;

private:
    struct Node {
        std::unique_ptr<node::State> state;
        std::string dataCentre;
        bool alive { true };
        Instant pausedUntil;
        std::map<CallId, std::uint64_t> calls;
        /// Calls that another node forwarded to this one, with that node and its attempt.
        std::map<CallId, std::pair<std::size_t, AttemptId>> forwarded;
        std::uint64_t lastCall { 0 };
    };
    struct Running {
        std::uint64_t result { 0 };
        std::uint64_t token { 0 };
        bool cancelled { false };
    };
    using AttemptKey = std::pair<std::size_t, AttemptId>;
    struct Server {
        ServerSpec spec;
        std::size_t home { 0 };
        /// Its announcements carry this number, so that it gets the replies to them.
        RequestId number;
        std::uint64_t boot { 1 };
        bool alive { true };
        bool announcing { true };
        Instant coldUntil;
        Instant coldSince;
        bool coldAnnounced { false };
        int unanswered { 0 };
        std::map<AttemptKey, Running> running;
        std::deque<std::pair<Instant, std::uint32_t>> loads;
    };
    struct Timed {
        Instant at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Timed& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    void after(Duration delay, std::function<void()> action) { at(m_now - m_start + delay, std::move(action)); }
    void deliver(std::size_t node, node::Event event);
    void executeEffect(std::size_t node, node::Effect& effect);
    void arrive(std::size_t node, const node::Dispatch& effect, std::uint64_t result);
    void runOn(Server& server, const AttemptKey& key);
    void sendToken(Server& server, const AttemptKey& key, std::uint64_t boot, Duration gap);
    void finish(Server& server, const AttemptKey& key, std::uint64_t boot);
    void crash(Server& server);
    void announce(Server& server);
    void tick(std::size_t node);
    void sample();
    void endCall(std::size_t node, CallId call, std::optional<call::Refusal> refusal);
    [[nodiscard]] std::uint64_t resultOf(std::size_t node, CallId call) const;
    [[nodiscard]] std::uint32_t sustained(const Server& server) const;
    [[nodiscard]] std::optional<std::size_t> nodeOf(const VmId& vm) const;
    template <typename Make> void respond(const AttemptKey& key, const Make& make);

    node::PolicyChoice m_policy;
    std::mt19937_64 m_random;
    Instant m_start { 1000s };
    Instant m_now { m_start };
    Duration m_length { 0 };
    std::uint64_t m_sequence { 0 };
    std::priority_queue<Timed> m_queue;
    std::vector<Node> m_nodes;
    std::map<ServerId, Server> m_servers;
    configuration::Manifest m_manifest;
    std::deque<CallResult> m_results;
    std::map<std::uint64_t, std::function<void(const CallResult&)>> m_done;
    std::map<std::string, std::uint64_t> m_keyExecutions;
    std::set<Fingerprint> m_crashing;
    std::map<std::pair<std::size_t, std::size_t>, Instant> m_cuts;
    std::map<std::string, Instant> m_outSince;
    Totals m_totals;
};

} // namespace rosemarymill::bench
