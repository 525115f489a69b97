#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <algorithm>
#include <array>
#include <ostream>
#include <stdexcept>

#include <event2/event.h>
#include <event2/listener.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// Interval at which the calls' time limits are checked: 50 ms.
constexpr timeval tickInterval { 0, 50'000 };

/// Number of ticks between checks of idle connections: once a second.
constexpr unsigned idleTicks = 20;

constexpr int listenBacklog = 1024;

} // namespace

void Proxy::FreeListener::operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }

Proxy::Proxy(event_base* base, ProxySettings settings, ConnectionBudget& budget)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_budget(budget)
    , m_startedAt(readClock())
    , m_balancer(m_settings.balancer, m_settings.seed)
    , m_pool(base)
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
    , m_tick(event_new(
          base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Proxy*>(self)->tick(); }, this))
    , m_cleanUp(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
              auto& it = *static_cast<Proxy*>(self);
              it.m_finished.clear();
              it.m_removed.clear();
              it.m_pool.cleanUp();
          },
          this))
{
    m_pool.onConnect([this](const ServerId& server, ConnectResult result) {
        if (result == ConnectResult::Connected)
            serverConnected(server, readClock());
        else
            serverNotConnected(server, result == ConnectResult::Refused, readClock());
    });
    auto address = m_settings.address;
    m_listener.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
            static_cast<Proxy*>(self)->accept(static_cast<int>(socket));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog, address.get(),
        static_cast<int>(address.length)));
    if (!m_listener)
        throw std::runtime_error("the address " + formatAddress(address) + " cannot be bound");
    m_listenerGuard.emplace(base, m_listener.get(), m_budget);
    evconnlistener_set_error_cb(m_listener.get(),
        [](evconnlistener*, void* self) { static_cast<Proxy*>(self)->m_listenerGuard->acceptFailed(); });
    event_add(m_tick.get(), &tickInterval);
}

Proxy::~Proxy()
{
    m_clients.clear();
    m_finished.clear();
    m_removed.clear();
}

void Proxy::accept(int socket)
{
    if (!m_budget.makeRoom()) {
        ConnectionBudget::rejectAndClose(socket);
        return;
    }
    auto client = std::make_unique<ClientConnection>(*this, socket);
    auto* it = client.get();
    m_clients.emplace(it, std::move(client));
}

void Proxy::setTable(std::shared_ptr<const routes::Table> table) { m_table = std::move(table); }

void Proxy::applyTargets(const fleet::TargetDelta& delta)
{
    m_balancer.apply(delta, readClock());
    for (const auto& server : delta.lost) {
        const auto calls = m_calls;
        for (auto* it : calls)
            it->serverLost(server);
    }
}

void Proxy::connectToUnreachableServers(const dispatch::Query& query)
{
    for (const auto& it : m_balancer.takeServersToConnect(query)) {
        m_budget.setOutgoing(m_pool.connections());
        if (!m_budget.makeRoom())
            return;
        m_pool.connect(it, query.now);
    }
}

void Proxy::serverConnected(const ServerId& server, Instant now)
{
    if (const auto suspended = m_balancer.connected(server, now); suspended > Duration::zero())
        writeDecision("proxy", "reached server again",
            { { "server", server.text() }, { "after_ms", std::to_string(suspended / 1ms) } });
}

void Proxy::serverNotConnected(const ServerId& server, bool refused, Instant now)
{
    if (m_balancer.notConnected(server, refused, now))
        writeDecision("proxy", "suspended server",
            { { "server", server.text() }, { "why", refused ? "connection refused" : "connection not established" } });
}

void Proxy::applyCrashReports(std::span<const quarantine::CrashReport> reports)
{
    const auto now = readClock();
    for (const auto& it : reports)
        m_quarantine.receive(it, now);
    enforceQuarantine();
    if (m_quarantine.hasReports() && m_crashHandler)
        m_crashHandler();
}

void Proxy::enforceQuarantine()
{
    m_quarantineChanged = false;
    if (m_quarantine.refused() == 0 && m_quarantine.refusedParts() == 0)
        return;
    const auto calls = m_calls;
    for (auto* it : calls)
        it->enforceQuarantine();
}

const routes::Limits& Proxy::limits() const noexcept
{
    static const routes::Limits defaults;
    return m_table ? m_table->document().limits : defaults;
}

dispatch::RetryBudget& Proxy::budget(const ServiceName& service)
{
    return m_budgets.try_emplace(service, m_settings.retryLimits, m_startedAt).first->second;
}

void Proxy::limitBuffered()
{
    while (m_bufferedBytes > maxBufferedBytes) {
        const auto largest = std::max_element(m_calls.begin(), m_calls.end(),
            [](const auto* a, const auto* b) { return a->bufferedBytes() < b->bufferedBytes(); });
        if (largest == m_calls.end() || (*largest)->bufferedBytes() == 0)
            return;
        (*largest)->dropBuffered();
    }
}

void Proxy::scheduleCleanUp() { event_active(m_cleanUp.get(), EV_TIMEOUT, 0); }

void Proxy::finish(std::unique_ptr<Call> call)
{
    m_calls.erase(call.get());
    m_finished.push_back(std::move(call));
    scheduleCleanUp();
}

void Proxy::remove(ClientConnection& client)
{
    const auto it = m_clients.find(&client);
    if (it == m_clients.end())
        return;
    client.dropCall();
    client.close();
    m_removed.push_back(std::move(it->second));
    m_clients.erase(it);
    scheduleCleanUp();
}

void Proxy::closeIdle()
{
    std::vector<ClientConnection*> idle;
    for (const auto& [client, owner] : m_clients) {
        if (client->idle())
            idle.push_back(client);
    }
    for (auto* it : idle)
        remove(*it);
}

void Proxy::endCalls(std::string_view why)
{
    const auto now = readClock();
    const auto calls = m_calls;
    for (auto* it : calls)
        it->end(now, why);
}

bool Proxy::drained() const
{
    return m_calls.empty()
        && std::none_of(m_clients.begin(), m_clients.end(), [](const auto& it) { return it.first->unsentBytes() > 0; });
}

void Proxy::tick()
{
    const auto now = readClock();
    const auto calls = m_calls;
    for (auto* it : calls)
        it->tick(now);
    if (m_quarantineChanged)
        enforceQuarantine();
    if (++m_ticks % idleTicks != 0)
        return;
    m_pool.tick(now);
    m_quarantine.expire(now);
    std::vector<ClientConnection*> timedOut;
    for (const auto& [client, owner] : m_clients) {
        if (client->timedOut(now))
            timedOut.push_back(client);
    }
    for (auto* it : timedOut)
        remove(*it);
    scheduleCleanUp();
}

SocketAddress Proxy::address() const { return localAddress(evconnlistener_get_fd(m_listener.get())).value(); }

void Proxy::writeMetrics(std::ostream& out) const
{
    const auto counter = [&](const char* name, std::uint64_t value) {
        out << "# TYPE rosemarymill_proxy_" << name << "_total counter\nrosemarymill_proxy_" << name << "_total "
            << value << '\n';
    };
    const auto gauge = [&](const char* name, std::size_t value) {
        out << "# TYPE rosemarymill_proxy_" << name << " gauge\nrosemarymill_proxy_" << name << ' ' << value << '\n';
    };
    counter("requests", m_counters.requests);
    counter("answered", m_counters.answered);
    counter("refused", m_counters.refused);
    counter("failed", m_counters.failed);
    counter("aborted", m_counters.aborted);
    counter("abandoned", m_counters.abandoned);
    counter("resumed", m_counters.resumed);
    counter("events", m_counters.events);
    counter("quarantined", m_counters.quarantined);
    counter("quarantine_crashes", m_quarantine.counters().crashes);
    counter("quarantine_unanswered", m_quarantine.counters().unanswered);
    counter("quarantine_cleared", m_quarantine.counters().cleared);
    counter("quarantine_survived", m_quarantine.counters().survived);
    gauge("quarantine_suspects", m_quarantine.suspects());
    gauge("quarantine_refused", m_quarantine.refused());
    counter("quarantine_part_exposures", m_quarantine.counters().partExposures);
    counter("quarantine_part_survivals", m_quarantine.counters().partSurvivals);
    gauge("quarantine_watched_parts", m_quarantine.watchedParts());
    gauge("quarantine_refused_parts", m_quarantine.refusedParts());
    gauge("calls", m_calls.size());
    gauge("clients", m_clients.size());
    gauge("server_connections", m_pool.connections());
    gauge("collected_bytes", m_bufferedBytes);
    gauge("targets", m_balancer.size());
    gauge("unreachable_targets", m_balancer.unreachable());
    gauge("document_version", m_table ? m_table->document().version : 0);
    constexpr std::array<const char*, 4> reasons { "unknown", "failing", "full", "cold" };
    out << "# TYPE rosemarymill_proxy_without_server_total counter\n";
    for (std::size_t i = 0; i < reasons.size(); ++i)
        out << "rosemarymill_proxy_without_server_total{reason=\"" << reasons[i] << "\"} " << m_withoutServer[i]
            << '\n';
    if (const auto at = m_balancer.fleetLoadsReceivedAt())
        out << "# TYPE rosemarymill_proxy_fleet_loads_age_seconds gauge\nrosemarymill_proxy_fleet_loads_age_seconds "
            << std::chrono::duration<double>(readClock() - *at).count() << '\n';
    gauge("entry_vms", m_balancer.reportedEntryVms());
    out << "# TYPE rosemarymill_proxy_repeats_total counter\n";
    for (std::size_t i = 0; i < m_counters.repeats.size(); ++i)
        out << "rosemarymill_proxy_repeats_total{cause=\"" << nameOf(static_cast<dispatch::AttemptOutcome>(i)) << "\"} "
            << m_counters.repeats[i] << '\n';
    out << "# TYPE rosemarymill_proxy_retry_budget_left gauge\n";
    for (const auto& [service, budget] : m_budgets)
        out << "rosemarymill_proxy_retry_budget_left{service=\"" << service.text() << "\"} "
            << budget.remaining(readClock(), m_balancer.reportedEntryVms()) << '\n';
    m_firstEventTimes.write(out, "rosemarymill_proxy_first_event_seconds", {});
    m_callTimes.write(out, "rosemarymill_proxy_call_seconds", {});
}

} // namespace rosemarymill::runtime::proxy
