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

/// Choice of a server for each request on an entry VM.
namespace rosemarymill::dispatch {

/// Bounds of the choice.
struct BalancerSettings {
    DataCentreId dataCentre;
    /// Requests beyond a server's slots that may wait there, as a part of the slots.
    double queueShare { 0.25 };
    /// Added to the load of servers in other data centres, as a part of their slots.
    double remotePenalty { 0.05 };
    /// A load that a server told is used for this long; afterwards only this VM's own requests count.
    Duration loadReportLifetime { 1500ms };
    /// First and longest time for which a failing server gets no requests.
    Duration minSuspension { 250ms };
    Duration maxSuspension { 4s };
    /// Factor by which cold servers may be given more than their rate, and the requests beside it, from the platform.
    double coldOvershoot { 1 };
    double coldSlack { 0 };
    /// Differs between entry VMs.
    std::uint64_t vmHash { 0 };
};

/// Work that a request brings to a group, and how fast the group does it.
struct Work {
    unsigned promptTokens { 0 };
    /// Prompt tokens that the group reads in a second; 0 for plain services.
    double promptRate { 0 };
    /// Time that each request of a batch adds to the next event of the others.
    Duration eventCost {};
    /// Time until a full group has room for one more request.
    Duration slotWait {};
};

/// Work of a request with a prompt of `promptTokens` at a group of the model.
[[nodiscard]] Work workOf(const routes::Engine& engine, const ModelName& model, unsigned promptTokens);

/// What is asked of the choice.
struct Query {
    ServiceName service;
    /// Empty for plain services.
    ModelName model;
    std::span<const ServerId> tried;
    /// Requests per second that a cold server of the service bears; 0 means no limit.
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

/// Server chosen, with the inputs of the choice.
struct Choice {
    const fleet::Target* target { nullptr };
    /// Requests at the server in relation to its slots, as estimated.
    double load { 0 };
    unsigned candidates { 0 };
};

/// Servers known to an entry VM with the load it sees. Chooses the least loaded server of a plain service, and the
/// group of a model that is expected to send the first event soonest.
class Balancer {
public:
    Balancer(BalancerSettings settings, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_random(static_cast<std::minstd_rand::result_type>(seed))
    {
    }

    /// Takes over a change of the targets. Servers that still hold requests of this VM are kept until they end.
    void apply(const fleet::TargetDelta& delta, Instant now);

    [[nodiscard]] std::variant<Choice, Refusal> choose(const Query& query);

    /// A request was sent to the server; ended() follows.
    void sent(const ServerId& server, Instant now, const Work& work = {});
    void ended(const ServerId& server);

    /// Requests of this VM at servers that have any.
    [[nodiscard]] std::vector<fleet::ServerLoad> localLoads(Instant now);

    /// Requests of all entry VMs at the servers, as summed by the control VM from reports that are up to two intervals
    /// old. Servers that are not named have none. What a server told itself since then is kept.
    void applyFleetLoads(std::span<const fleet::ServerLoad> loads, Instant now);

    /// When the last sums arrived; none if there were no sums yet.
    [[nodiscard]] std::optional<Instant> fleetLoadsReceivedAt() const noexcept
    {
        return m_sumsAt == Instant {} ? std::nullopt : std::optional { m_sumsAt };
    }

    /// The server told its running and waiting requests.
    void loadReported(const ServerId& server, unsigned requests, Instant now);

    /// The server answered or sent part of a stream.
    void succeeded(const ServerId& server, Instant now);

    /// The server did not take or finish a request. It gets no requests for a time that doubles.
    void failed(const ServerId& server, Instant now);

    /// The server does not serve what it was announced for. It gets no requests until it is announced again, or for the
    /// longest suspension.
    void misdirected(const ServerId& server, Instant now);

    /// The server took no request because it was full.
    void full(const ServerId& server, Instant now);

    /// The server's process is known to be gone; it gets no requests until it is announced again.
    void terminated(const ServerId& server);

    /// Number of entry VMs, and the place of this one among them. VMs at different places prefer different groups among
    /// those that are equally soon.
    void setEntryVms(unsigned n, unsigned position = 0) noexcept
    {
        m_entryVms = n;
        m_position = position;
        m_entryVmsReported = true;
    }
    /// Number of entry VMs once a control VM has told it, 0 before.
    [[nodiscard]] unsigned reportedEntryVms() const noexcept { return m_entryVmsReported ? m_entryVms : 0; }
    [[nodiscard]] unsigned entryVms() const noexcept { return m_entryVms; }
    [[nodiscard]] const fleet::Target* find(const ServerId& server) const;
    [[nodiscard]] Instant lastProgress(const ServerId& server) const;
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct Entry {
        fleet::Target target;
        bool withdrawn { false };
        bool terminated { false };
        bool misdirected { false };
        unsigned outstanding { 0 };
        unsigned reported { 0 };
        unsigned outstandingAtReport { 0 };
        Instant reportedAt;
        /// When the server itself told its requests.
        Instant toldAt;
        Instant progressAt;
        Instant suspendedUntil;
        Duration suspension {};
        Instant coldUntil;
        /// Requests that this VM may send to the server while it is cold.
        double coldTokens { 0 };
        Instant coldTokensAt;
        /// Prompt tokens that the group has yet to read: of this VM's requests, as last reported, and of other VMs.
        double ownPrompts { 0 };
        double reportedPrompts { 0 };
        double otherPrompts { 0 };
        Instant promptsAt;
        double promptRate { 0 };
    };

    /// Group that may be chosen, with the time until it is expected to send the first event.
    struct Candidate {
        Entry* entry { nullptr };
        double score { 0 };
        double load { 0 };
    };

    /// Work of this VM's requests for a model, in seconds of a group per second, as an exponential average.
    struct WorkRate {
        double rate { 0 };
        Instant at;
    };

    /// Accounts for the prompts that the group has read since the last call.
    static void readPrompts(Entry& entry, Instant now);
    /// Time until the group is expected to send the first event of a request.
    [[nodiscard]] double expectedDelay(Entry& entry, const Query& query) const;

    /// Work that other entry VMs are expected to have given to the model's groups since the sums were taken, in seconds
    /// of a group.
    [[nodiscard]] double unseenWork(const Query& query);
    /// Chooses among the candidates in the proportion in which the unseen work levels their delays. Without unseen work
    /// that is the soonest one.
    [[nodiscard]] const Candidate& chooseSoonest(std::span<const Candidate> candidates, double unseen);
    void countWork(const ModelName& model, const Work& work, Instant now);

    [[nodiscard]] double loadOf(const Entry& entry, Instant now) const;
    [[nodiscard]] static bool isCold(const Entry& entry, const Query& query);
    [[nodiscard]] bool coldTokenReady(Entry& entry, double rate, Instant now) const;
    /// Whether this VM is one of those that send to a server while it is cold.
    [[nodiscard]] bool isDelegate(const Entry& entry, double all) const;
    static void setReported(Entry& entry, unsigned requests, Instant now);
    void withdraw(const ServerId& server);
    /// When a request should come back that found all groups full. Later ones come back later.
    [[nodiscard]] Duration returnTime(const Query& query, std::size_t groups);

    BalancerSettings m_settings;
    std::minstd_rand m_random;
    std::map<ServerId, Entry> m_entries;
    /// Assumed before a control VM tells the number, so that shares of limits start small.
    unsigned m_entryVms { 16 };
    bool m_entryVmsReported { false };
    unsigned m_position { 0 };
    /// When the request that was refused last comes back.
    std::map<ModelName, Instant> m_lastReturn;
    std::map<ModelName, WorkRate> m_workRates;
    /// Arrival of the last sums, and the time since those before.
    Instant m_sumsAt;
    Duration m_sumsInterval {};
};

} // namespace rosemarymill::dispatch
