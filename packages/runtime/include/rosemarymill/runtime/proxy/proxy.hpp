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
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

struct evconnlistener;

namespace rosemarymill::runtime::proxy {

/// Settings of the proxy, fixed for its lifetime.
struct ProxySettings {
    SocketAddress address;
    DataCentreId dataCentre;
    HeaderNames names;
    dispatch::RetryLimits retryLimits;
    dispatch::BalancerSettings balancer;
    std::uint64_t seed { 0 };
};

/// Limit in bytes on the memory of all buffered server responses together: a tenth of the 160 MB of an entry VM.
inline constexpr std::size_t maxBufferedBytes = 16 * 1024 * 1024;

/// Counters of the proxy since process start.
struct ProxyCounters {
    std::uint64_t requests { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t aborted { 0 };
    std::uint64_t abandoned { 0 };
    /// Retries by the outcome of the previous attempt.
    std::array<std::uint64_t, dispatch::attemptOutcomeCount> repeats {};
    std::uint64_t resumed { 0 };
    std::uint64_t events { 0 };
    /// Requests that were rejected or cancelled because they crash servers.
    std::uint64_t quarantined { 0 };
};

/// Reverse proxy that forwards client requests to backend servers according to the routing table.
class Proxy {
public:
    /// Called with a server that is unreachable, stalled, misdirected or named as the cause of a rejection.
    using StallHandler = std::function<void(const ServerId&)>;

    /// Listens on the address. Throws std::runtime_error when it cannot be bound. The budget must outlive the proxy.
    Proxy(event_base* base, ProxySettings settings, ConnectionBudget& budget);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    /// Installs a routing table for all later requests.
    void setTable(std::shared_ptr<const routes::Table> table);
    [[nodiscard]] const std::shared_ptr<const routes::Table>& table() const noexcept { return m_table; }

    void applyTargets(const fleet::TargetDelta& delta);
    [[nodiscard]] dispatch::Balancer& balancer() noexcept { return m_balancer; }

    void onStall(StallHandler handler) { m_stallHandler = std::move(handler); }

    /// Sets the handler that is called when crash reports are waiting to be sent.
    void onCrashReports(std::function<void()> handler) { m_crashHandler = std::move(handler); }
    [[nodiscard]] quarantine::CrashTracker& quarantine() noexcept { return m_quarantine; }
    /// Applies crash reports from the control VM and cancels the calls whose requests are now quarantined.
    void applyCrashReports(std::span<const quarantine::CrashReport> reports);

    /// Servers whose responses made progress since the last call.
    [[nodiscard]] std::set<ServerId> takeServersWithProgress() { return std::exchange(m_serversWithProgress, {}); }

    /// Adds `Connection: close` to responses from now on, and refuses requests that cannot finish before the shutdown.
    void shutDown(const dispatch::Shutdown& shutdown) noexcept { m_shutdown = shutdown; }
    [[nodiscard]] bool draining() const noexcept { return m_shutdown.has_value(); }
    /// Closes client connections without a request in progress.
    void closeIdle();
    /// Ends all calls in progress, before the process ends.
    void endCalls(std::string_view why);

    [[nodiscard]] std::size_t activeCalls() const noexcept { return m_calls.size(); }
    /// Whether no call is in progress and all responses are sent.
    [[nodiscard]] bool drained() const;
    [[nodiscard]] const ProxyCounters& counters() const noexcept { return m_counters; }
    void writeMetrics(std::ostream& out) const;

    [[nodiscard]] SocketAddress address() const;

private:
    friend class Call;
    friend class ClientConnection;

    struct FreeListener {
        void operator()(evconnlistener* it) const noexcept;
    };

    void accept(int socket);
    void tick();
    void remove(ClientConnection& client);
    void finish(std::unique_ptr<Call> call);
    void scheduleCleanUp();
    /// Ends attempts, largest response first, until the buffered responses of all calls are within the limit.
    void limitBuffered();
    /// Tries to connect to the unreachable servers that could take the request and are due for it.
    void connectToUnreachableServers(const dispatch::Query& query);
    /// A connection to the server was established, or was not because it was refused or for another reason.
    void serverConnected(const ServerId& server, Instant now);
    void serverNotConnected(const ServerId& server, bool refused, Instant now);
    /// Cancels calls whose requests are quarantined.
    void enforceQuarantine();
    [[nodiscard]] dispatch::RetryBudget& budget(const ServiceName& service);
    [[nodiscard]] const routes::Limits& limits() const noexcept;

    event_base* m_base;
    ProxySettings m_settings;
    ConnectionBudget& m_budget;
    Instant m_startedAt;
    std::shared_ptr<const routes::Table> m_table;
    dispatch::Balancer m_balancer;
    std::map<ServiceName, dispatch::RetryBudget> m_budgets;
    UpstreamPool m_pool;
    std::unordered_map<ClientConnection*, std::unique_ptr<ClientConnection>> m_clients;
    /// Removed clients and finished calls, destroyed outside of their callbacks.
    std::vector<std::unique_ptr<ClientConnection>> m_removed;
    std::vector<std::unique_ptr<Call>> m_finished;
    std::set<Call*> m_calls;
    std::size_t m_bufferedBytes { 0 };
    std::set<ServerId> m_serversWithProgress;
    StallHandler m_stallHandler;
    /// Uses the limit for concurrent requests: servers run suspected requests beside others.
    quarantine::CrashTracker m_quarantine { quarantine::sharedRequestCrashLimit };
    std::function<void()> m_crashHandler;
    bool m_quarantineChanged { false };
    ProxyCounters m_counters;
    /// Requests for which no server was chosen, by reason.
    std::array<std::uint64_t, 4> m_withoutServer {};
    TimeSummary m_firstEventTimes;
    TimeSummary m_callTimes;
    std::minstd_rand m_random;
    std::optional<dispatch::Shutdown> m_shutdown;
    unsigned m_ticks { 0 };
    EventHandle m_tick;
    EventHandle m_cleanUp;
    std::unique_ptr<evconnlistener, FreeListener> m_listener;
    std::optional<ListenerGuard> m_listenerGuard;
};

} // namespace rosemarymill::runtime::proxy
