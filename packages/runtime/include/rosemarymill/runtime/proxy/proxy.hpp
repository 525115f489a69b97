#pragma once

#include <rosemarymill/core/dispatch/balancer.hpp>
#include <rosemarymill/core/dispatch/retry_budget.hpp>
#include <rosemarymill/core/quarantine/crash_tracker.hpp>
#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/metrics/summary.hpp>
#include <rosemarymill/runtime/proxy/call.hpp>
#include <rosemarymill/runtime/proxy/client_connection.hpp>
#include <rosemarymill/runtime/proxy/header_names.hpp>
#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

struct evconnlistener;

namespace rosemarymill::runtime::proxy {

/// Fixed choices of the proxy.
struct ProxySettings {
    SocketAddress address;
    DataCentreId dataCentre;
    HeaderNames names;
    dispatch::RetryLimits retryLimits;
    dispatch::BalancerSettings balancer;
    std::uint64_t seed { 0 };
};

/// Memory in bytes that answers of servers may take together until they are passed on: a tenth of the 160 MB of an
/// entry VM.
inline constexpr std::size_t maxCollectedBytes = 16 * 1024 * 1024;

/// Counters of the proxy since the start.
struct ProxyCounters {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t aborted { 0 };
    std::uint64_t abandoned { 0 };
    /// Repeats by the end of the attempt before.
    std::array<std::uint64_t, dispatch::attemptOutcomeCount> repeats {};
    std::uint64_t resumed { 0 };
    std::uint64_t events { 0 };
    /// Requests that were given up because they crash servers.
    std::uint64_t quarantined { 0 };
};

/// Takes requests from clients and sends them to backend servers by the routing table.
class Proxy {
public:
    /// Told about a server at which requests are stuck.
    using StallHandler = std::function<void(const ServerId&)>;

    /// Listens on the address. Throws std::runtime_error when it cannot be bound.
    Proxy(event_base* base, ProxySettings settings);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// Puts a routing table in force for all later requests.
    void setTable(std::shared_ptr<const routes::Table> table);
    [[nodiscard]] const std::shared_ptr<const routes::Table>& table() const noexcept { return m_table; }

    void applyTargets(const fleet::TargetDelta& delta);
    [[nodiscard]] dispatch::Balancer& balancer() noexcept { return m_balancer; }

    void onStall(StallHandler handler) { m_stallHandler = std::move(handler); }

    /// `handler` is called when there are crash reports to take.
    void onCrashReports(std::function<void()> handler) { m_crashHandler = std::move(handler); }
    [[nodiscard]] quarantine::CrashTracker& quarantine() noexcept { return m_quarantine; }
    /// Takes in what the control VM tells of crashes, and gives up the calls that are refused from now on.
    void applyCrashReports(std::span<const quarantine::CrashReport> reports);

    /// Servers that sent bytes since the last call.
    [[nodiscard]] std::set<ServerId> takeServersWithProgress() { return std::exchange(m_progress, {}); }

    /// Answers carry `Connection: close` from now on, and requests that cannot be finished in time are refused.
    void shutDown(const dispatch::Shutdown& shutdown) noexcept { m_shutdown = shutdown; }
    [[nodiscard]] bool draining() const noexcept { return m_shutdown.has_value(); }
    /// Closes connections without a request.
    void closeIdle();

    [[nodiscard]] std::size_t activeCalls() const noexcept { return m_calls.size(); }
    [[nodiscard]] const ProxyCounters& counters() const noexcept { return m_counters; }
    void writeMetrics(std::ostream& out) const;

    [[nodiscard]] SocketAddress address() const;

private:
    friend class Call;
    friend class ClientConnection;

    struct FreeListener {
        void operator()(evconnlistener* it) const noexcept;
    };

    void tick();
    void remove(ClientConnection& client);
    void finish(std::unique_ptr<Call> call);
    void scheduleCleanUp();
    /// Ends attempts until the answers of all calls keep within their bound.
    void limitCollected();
    /// Gives up calls of requests that are refused.
    void enforceQuarantine();
    [[nodiscard]] dispatch::RetryBudget& budget(const ServiceName& service);
    [[nodiscard]] const routes::Limits& limits() const noexcept;

    event_base* m_base;
    ProxySettings m_settings;
    Instant m_startedAt;
    std::shared_ptr<const routes::Table> m_table;
    dispatch::Balancer m_balancer;
    std::map<ServiceName, dispatch::RetryBudget> m_budgets;
    UpstreamPool m_pool;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> m_clients;
    /// Destroyed outside of callbacks.
    std::vector<std::unique_ptr<ClientConnection>> m_removed;
    std::vector<std::unique_ptr<Call>> m_finished;
    std::set<Call*> m_calls;
    std::size_t m_collected { 0 };
    std::set<ServerId> m_progress;
    StallHandler m_stallHandler;
    /// Servers run requests beside each other, whether they are suspected or not.
    quarantine::CrashTracker m_quarantine { quarantine::sharedRequestCrashLimit };
    std::function<void()> m_crashHandler;
    bool m_quarantineChanged { false };
    ProxyCounters m_counters;
    /// Requests for which no server was chosen, by reason.
    std::array<std::uint64_t, 4> m_withoutServer {};
    TimeSummary m_firstByte;
    TimeSummary m_total;
    std::minstd_rand m_random;
    std::optional<dispatch::Shutdown> m_shutdown;
    unsigned m_ticks { 0 };
    EventHandle m_tick;
    EventHandle m_cleanUp;
    std::unique_ptr<evconnlistener, FreeListener> m_listener;
};

} // namespace rosemarymill::runtime::proxy
