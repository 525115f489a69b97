#pragma once

#include <rosemarymill/core/dispatch/call.hpp>
#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/core/fleet/server.hpp>
#include <rosemarymill/core/routes/document.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

/// Load balancing on an entry VM: choice of a server for each request.
namespace rosemarymill::dispatch {

/// Parameters of the load balancing.
struct BalancerSettings {
    DataCentreId dataCentre;
    /// Requests beyond a server's slots that may wait there, as a fraction of the slots.
    double queueShare { 0.25 };
    /// Added to the load of servers in other data centres, as a fraction of their slots.
    double remotePenalty { 0.05 };
    /// Time for which a reported load is used; afterwards only this VM's own requests count.
    Duration loadReportLifetime { 1500ms };
    /// Initial and maximum time for which a failing server gets no requests.
    Duration minSuspension { 250ms };
    Duration maxSuspension { 4s };
    /// Initial and maximum interval at which it is tried to connect to an unreachable server, while requests arrive.
    Duration minReconnectInterval { 100ms };
    Duration maxReconnectInterval { 1s };
    /// Minimum interval of connection attempts to a server that refused the last one, by requests that no other server
    /// can take. A refusal arrives at once, so that these requests are not delayed.
    Duration refusedRetryInterval { 20ms };
    /// Limit on the requests in one second to a cold server over all entry VMs: its cold rate times `coldOvershoot`,
    /// plus `coldSlack` requests. Both values come from the platform's settings.
    double coldOvershoot { 1 };
    double coldSlack { 0 };
    /// Hash seed that differs between entry VMs.
    std::uint64_t vmHash { 0 };
};

/// Cost of a request at a group of servers.
struct Work {
    unsigned promptTokens { 0 };
    /// Prompt tokens that the group prefills per second; 0 for plain services.
    double prefillRate { 0 };
    /// Time that each request of a batch adds to the next event of the others.
    Duration eventCost {};
    /// Time until a full group has room for one more request.
    Duration slotWait {};
};

/// Computes the work of a request with a prompt of `promptTokens` at a group of the model.
[[nodiscard]] Work workOf(const routes::Engine& engine, const ModelName& model, unsigned promptTokens);

/// Request for which a server is chosen.
struct Query {
    ServiceName service;
    /// Empty for plain services.
    ModelName model;
    std::span<const ServerId> tried;
    /// Requests per second that a cold server of the service sustains; 0 means no limit.
    double coldRate { 0 };
    Instant now;
    Work work {};
};

/// Why no server was chosen.
enum class NoServer : std::uint8_t {
    /// No server serves the model or service.
    Unknown,
    /// All servers that serve it have failed this call or failed recently.
    Failing,
    /// All servers are full.
    Full,
    /// All servers with room are cold.
    Cold
};

/// Refusal with the time after which a request is expected to be served.
struct Refusal {
    NoServer reason { NoServer::Unknown };
    Duration retryAfter {};
};

/// Why a server gets no requests for a time.
enum class SuspensionReason : std::uint8_t {
    None,
    /// It rejected a request because it was full.
    Full,
    /// It did not accept or finish a request.
    Failing,
    /// It does not serve the service or model that it was announced for.
    Misdirected,
    /// A connection to it was refused.
    Refused,
    /// A connection to it was not established, for another reason or in time.
    NotConnected
};

/// Suspension of a server by this VM's own observations. It ends with time, or for an unreachable server, to which no
/// connection was established, with the next connection; the server's announcement may end it earlier.
struct Suspension {
    SuspensionReason reason { SuspensionReason::None };
    Instant since;
    /// End of the suspension; without a connection, the time of the next attempt to connect.
    Instant until;
    /// Last time for which the server was suspended, which doubles with each failure.
    Duration period {};
    /// Last attempt to connect, and whether its outcome is not known yet.
    Instant attemptedAt;
    bool attempting { false };

    [[nodiscard]] bool unreachable() const noexcept
    {
        return reason == SuspensionReason::Refused || reason == SuspensionReason::NotConnected;
    }
    [[nodiscard]] bool active(Instant now) const noexcept
    {
        return reason != SuspensionReason::None && (unreachable() || now < until);
    }
};

/// Server chosen, with the inputs of the choice.
struct Choice {
    const fleet::Target* target { nullptr };
    /// Requests at the server in relation to its slots, as estimated.
    double load { 0 };
    unsigned candidates { 0 };
    /// The server is unreachable, and this request finds out whether it still is, since no other one can take it.
    bool unreachable { false };
};

/// Load balancer of an entry VM, with the announced servers and its view of their load. Chooses the least loaded server
/// of a plain service, and the group of a model that is expected to send the first event soonest.
class Balancer {
public:
    Balancer(BalancerSettings settings, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /// Applies a change of the targets. Withdrawn servers are kept until this VM's requests at them have ended.
    void apply(const fleet::TargetDelta& delta, Instant now);

    [[nodiscard]] std::variant<Choice, Refusal> choose(const Query& query);

    /// Records that a request was sent to the server; ended() must follow.
    void sent(const ServerId& server, Instant now, const Work& work = {});
    void ended(const ServerId& server);

    /// Requests of this VM in progress at each server that has any.
    [[nodiscard]] std::vector<fleet::ServerLoad> localLoads(Instant now);

    /// Applies the requests of all entry VMs at the servers, as summed by the control VM from reports that are up to
    /// two intervals old. Servers that are not listed have none. Loads reported since then by the servers themselves
    /// are kept.
    void applyFleetLoads(std::span<const fleet::ServerLoad> loads, Instant now);

    /// Time at which the last fleet loads were received, if any.
    [[nodiscard]] std::optional<Instant> fleetLoadsReceivedAt() const noexcept
    {
        return m_fleetLoadsAt == Instant {} ? std::nullopt : std::optional { m_fleetLoadsAt };
    }

    /// The server reported the number of its running and waiting requests.
    void loadReported(const ServerId& server, unsigned requests, Instant now);

    /// The server answered or sent part of a stream.
    void succeeded(const ServerId& server, Instant now);

    /// The server did not accept or finish a request. It is suspended for a time that doubles with each failure.
    void failed(const ServerId& server, Instant now);

    /// The server does not serve the service or model it was announced for. It gets no requests until it is announced
    /// again, or for the maximum suspension.
    void misdirected(const ServerId& server, Instant now);

    /// No connection to the server was established: it was `refused` or timed out. The process may have ended, or may
    /// accept connections again at any moment. The server gets no requests until one is established, except requests
    /// that no other server can take. Returns whether this begins a suspension.
    bool notConnected(const ServerId& server, bool refused, Instant now);

    /// A connection to the server was established. Returns how long it had got no requests because of connections that
    /// were not; zero if it was not suspended for that.
    Duration connected(const ServerId& server, Instant now);

    /// Unreachable servers of the service or model that are due for an attempt to connect, so that further requests
    /// need not find out whether they still are. The attempt counts as begun: connected() or notConnected() follows.
    [[nodiscard]] std::vector<fleet::Target> takeServersToConnect(const Query& query);

    /// The server rejected a request because it was full. It is suspended for a short time.
    void full(const ServerId& server, Instant now);

    /// Sets the number of entry VMs and the index of this one among them. VMs with different indexes prefer different
    /// groups among those with equal expected delay.
    void setEntryVms(unsigned n, unsigned position = 0) noexcept
    {
        m_entryVms = n;
        m_position = position;
        m_entryVmsReported = true;
    }
    /// Number of entry VMs as reported by a control VM; 0 before the first report.
    [[nodiscard]] unsigned reportedEntryVms() const noexcept { return m_entryVmsReported ? m_entryVms : 0; }
    [[nodiscard]] unsigned entryVms() const noexcept { return m_entryVms; }
    [[nodiscard]] const fleet::Target* find(const ServerId& server) const;
    [[nodiscard]] Instant lastProgress(const ServerId& server) const;
    [[nodiscard]] std::size_t size() const noexcept;
    /// Number of servers to which no connection is established at present.
    [[nodiscard]] std::size_t unreachable() const noexcept;

private:
    struct Entry {
        fleet::Target target;
        bool withdrawn { false };
        unsigned outstanding { 0 };
        unsigned reported { 0 };
        unsigned outstandingAtReport { 0 };
        Instant reportedAt;
        /// Time of the last load report of the server itself.
        Instant serverReportedAt;
        Instant progressAt;
        Suspension suspension;
        Instant coldUntil;
        /// Token bucket: requests that this VM may send to the server while it is cold.
        double coldTokens { 0 };
        Instant coldTokensAt;
        /// Prompt tokens that the group has yet to prefill: of this VM's requests, the part of them last reported to
        /// the control VM, and of other VMs' requests.
        double ownPromptTokens { 0 };
        double reportedPromptTokens { 0 };
        double otherPromptTokens { 0 };
        Instant prefilledAt;
        double prefillRate { 0 };
    };

    /// Server that may be chosen. The lowest score is best: the expected time in seconds until a group sends the first
    /// event, or the load of a server of a plain service.
    struct Candidate {
        Entry* entry { nullptr };
        double score { 0 };
        double load { 0 };
    };

    /// Work of this VM's requests for a model, in group seconds per second, as an exponential average.
    struct WorkRate {
        double rate { 0 };
        Instant at;
    };

    /// Subtracts the prompt tokens that the group has prefilled since the last call.
    static void advancePrefill(Entry& entry, Instant now);
    /// Expected time in seconds until the group sends the first event of a request.
    [[nodiscard]] double expectedDelay(Entry& entry, const Query& query) const;

    /// Estimated work that other entry VMs have sent to the model's groups since the last fleet loads were summed, in
    /// group seconds.
    [[nodiscard]] double unreportedWork(const Query& query);
    /// Chooses a candidate at random, weighted by the part of the unreported work that would level their expected
    /// delays. Without unreported work this is the candidate with the lowest score.
    [[nodiscard]] const Candidate& chooseByDelay(std::span<const Candidate> candidates, double unreported);
    void countWork(const ModelName& model, const Work& work, Instant now);

    [[nodiscard]] double loadOf(const Entry& entry, Instant now) const;
    /// Chooses an unreachable server that is due for an attempt to connect, or null, for a request that no other server
    /// can take.
    [[nodiscard]] Entry* chooseUnreachable(const Query& query);
    static void beginAttempt(Suspension& suspension, Instant now) noexcept;
    [[nodiscard]] bool attemptDue(const Suspension& suspension, Instant now) const noexcept;
    [[nodiscard]] static bool serves(const Entry& entry, const Query& query);
    [[nodiscard]] static bool isCold(const Entry& entry, const Query& query);
    [[nodiscard]] bool coldTokenReady(Entry& entry, double rate, Instant now) const;
    /// Whether this VM is in the subset of entry VMs that send to the server while it is cold. `totalRate` is the rate
    /// of all entry VMs in requests per second.
    [[nodiscard]] bool isColdSender(const Entry& entry, double totalRate) const;
    static void setReported(Entry& entry, unsigned requests, Instant now);
    void withdraw(const ServerId& server);
    /// Time after which a request that found all groups full should be retried. The retries of successive requests are
    /// spaced out.
    [[nodiscard]] Duration retryDelay(const Query& query, std::size_t groups);

    BalancerSettings m_settings;
    std::minstd_rand m_random;
    std::map<ServerId, Entry> m_entries;
    /// The initial value is assumed until a control VM reports the number, so that shares of limits start small.
    unsigned m_entryVms { 16 };
    bool m_entryVmsReported { false };
    unsigned m_position { 0 };
    /// Time at which the last refused request should be retried, by model.
    std::map<ModelName, Instant> m_lastRetryAt;
    std::map<ModelName, WorkRate> m_workRates;
    /// Time at which the last fleet loads were received, and the interval to the ones before them.
    Instant m_fleetLoadsAt;
    Duration m_fleetLoadsInterval {};
};

} // namespace rosemarymill::dispatch
