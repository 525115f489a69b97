#include <rosemarymill/daemon/run.hpp>

#include <rosemarymill/runtime/backend/announcement_handler.hpp>
#include <rosemarymill/runtime/backend/client.hpp>
#include <rosemarymill/runtime/backend/order_sender.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/caller/listener.hpp>
#include <rosemarymill/runtime/forward/forwarder.hpp>
#include <rosemarymill/runtime/link/peer_links.hpp>
#include <rosemarymill/runtime/loop/process.hpp>
#include <rosemarymill/runtime/metrics/calls.hpp>
#include <rosemarymill/runtime/metrics/process.hpp>
#include <rosemarymill/runtime/operator/listener.hpp>
#include <rosemarymill/runtime/operator/pages.hpp>
#include <rosemarymill/runtime/storage/data_folder.hpp>
#include <rosemarymill/runtime/storage/storage.hpp>
#include <rosemarymill/runtime/trace/recorder.hpp>
#include <rosemarymill/runtime/trace/spans.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>

namespace rosemarymill::daemon {

namespace {

using runtime::Process;
using runtime::forward::Forwarder;

/// Adapters of one process. Members are destroyed in reverse order, so that the caller server and the connection pool
/// outlive the adapters that use them.
struct Adapters {
    Adapters(Process& process, const Settings& settings)
        : state(process.state())
        , budget(process.base(), { settings.connectionBytes, settings.maxConnections })
        , callerServer(process.base(), runtime::parseAddress(settings.callerAddress).value(), budget)
        , pool(process.base())
        , announcements(callerServer, postTo(process))
        , callers(process.base(), callerServer, postTo(process))
        , client(
              process.base(), pool, postTo(process), [this](CallId call) { return findRequest(call); },
              process.state().settings.vm.text() + "-" + process.state().settings.bootId.text())
        , orders(process.base(), postTo(process))
        , operators(runtime::OperatorListener::open(
              *process.base(), settings.operatorAddress, process.state(), postTo(process), [this] {
                  return metrics();
              }).value())
    {
        if (!settings.peerAddress.empty())
            openLinks(process, settings);
        for (const auto* path : { "/healthz", "/readyz", "/metrics" }) {
            callerServer.route("GET", path, [this, &process](runtime::http::Exchange& exchange) {
                const auto page
                    = runtime::monitoringPage(exchange.path(), process.state(), [this] { return metrics(); });
                exchange.reply(page->status, page->contentType, page->body);
            });
        }
    }

    void openLinks(Process& process, const Settings& settings)
    {
        links = runtime::PeerLinks::open(*process.base(), runtime::parseAddress(settings.peerAddress).value(),
            process.state().settings, postTo(process))
                    .value();
        forwarder = std::make_unique<Forwarder>(
            process.base(), *links, process.state().settings, settings.peerAddress, postTo(process),
            [this](CallId call) { return findRequest(call); },
            [&process](CallId call) { return requestWithTimeLeft(process.state(), call); });
    }

    /// Request of a call that was received from a caller or forwarded by another data centre.
    [[nodiscard]] const runtime::backend::OutgoingRequest* findRequest(CallId call) const
    {
        const auto* forwarded = forwarder ? forwarder->find(call) : nullptr;
        return forwarded ? forwarded : callers.find(call);
    }

    /// Request of an active call, with the remaining time as its deadline.
    static std::optional<call::Request> requestWithTimeLeft(const node::State& state, CallId call)
    {
        const auto it = state.calls.active.find(call);
        if (it == state.calls.active.end())
            return std::nullopt;
        auto request = it->second.request;
        if (it->second.deadline)
            request.deadline = std::max(*it->second.deadline - state.now, Duration { 1ms });
        return request;
    }

    static runtime::PostEvent postTo(Process& process)
    {
        return [&process](node::Event&& event) { process.post(std::move(event)); };
    }

    [[nodiscard]] std::string metrics() const
    {
        const auto& streams = state.streams;
        std::ostringstream out;
        out << "# TYPE rosemarymill_calls gauge\nrosemarymill_calls " << callers.calls()
            << "\n# TYPE rosemarymill_attempts gauge\nrosemarymill_attempts " << client.inFlight()
            << "\n# TYPE rosemarymill_stream_bytes gauge\nrosemarymill_stream_bytes " << streams.bytes
            << "\n# TYPE rosemarymill_streams_parked counter\nrosemarymill_streams_parked "
            << streams.counters.suspended
            << "\n# TYPE rosemarymill_streams_resumed counter\nrosemarymill_streams_resumed "
            << streams.counters.resumed << "\n# TYPE rosemarymill_stream_gaps counter\nrosemarymill_stream_gaps "
            << streams.counters.gaps << "\n# TYPE rosemarymill_connections gauge\nrosemarymill_connections "
            << callerServer.connections() << '\n';
        budget.writeMetrics(out);
        callMetrics.write(out);
        if (links)
            runtime::writeLinkMetrics(out, links->counters());
        runtime::writeProcessMetrics(out);
        return out.str();
    }

    const node::State& state;
    runtime::CallMetrics callMetrics;
    runtime::ConnectionBudget budget;
    runtime::http::Server callerServer;
    runtime::backend::ConnectionPool pool;
    runtime::backend::AnnouncementHandler announcements;
    runtime::caller::Listener callers;
    runtime::backend::Client client;
    runtime::backend::OrderSender orders;
    std::unique_ptr<runtime::OperatorListener> operators;
    /// Null without a peer address.
    std::unique_ptr<runtime::PeerLinks> links;
    std::unique_ptr<Forwarder> forwarder;
};

void connectCallEffects(Process& process, Adapters& adapters)
{
    auto& client = adapters.client;
    auto& callers = adapters.callers;
    process.onEffect<node::Dispatch>([&](auto& it) { client.dispatch(it); });
    process.onEffect<node::CancelAttempt>([&](auto& it) { client.cancel(it); });
    process.onEffect<node::SetReading>([&](auto& it) { client.setReading(it); });
    process.onEffect<node::ParkStream>([&](auto& it) { callers.suspend(it); });
    process.onEffect<node::BeginResponse>([&](auto& it) { callers.begin(it); });
    process.onEffect<node::ForwardToken>([&](auto& it) { callers.append(it.call, client.currentToken(it.attempt)); });
    process.onEffect<node::FinishCall>([&](auto& it) { callers.finish(it.call, client.answer(it.attempt)); });
    process.onEffect<node::AnswerCall>([&](auto& it) { callers.answer(it); });
    process.onEffect<node::RefuseCall>([&](auto& it) { callers.refuse(it); });
}

/// Routes effects to the forwarder when they belong to a call that was received from another data centre or to an
/// attempt that runs in one.
void connectForwardedCallEffects(Process& process, Adapters& adapters)
{
    auto& client = adapters.client;
    auto& callers = adapters.callers;
    auto& forwarder = *adapters.forwarder;
    const auto ifOwned = [&forwarder](const auto& owner, auto&& action) {
        const bool owned = forwarder.owns(owner);
        if (owned)
            action();
        return owned;
    };
    process.onEffect<node::ForwardCall>([&](auto& it) { forwarder.forward(it); });
    process.interceptEffect<node::CancelAttempt>(
        [&, ifOwned](auto& it) { return ifOwned(it.attempt, [&] { forwarder.cancel(it); }); });
    process.interceptEffect<node::SetReading>(
        [&, ifOwned](auto& it) { return ifOwned(it.attempt, [&] { forwarder.setReading(it); }); });
    process.interceptEffect<node::BeginResponse>(
        [&, ifOwned](auto& it) { return ifOwned(it.call, [&] { forwarder.begin(it); }); });
    process.interceptEffect<node::AnswerCall>(
        [&, ifOwned](auto& it) { return ifOwned(it.call, [&] { forwarder.answer(it); }); });
    process.interceptEffect<node::RefuseCall>(
        [&, ifOwned](auto& it) { return ifOwned(it.call, [&] { forwarder.refuse(it); }); });
    process.interceptEffect<node::ForwardToken>([&, ifOwned](auto& it) {
        return ifOwned(it.call, [&] { forwarder.append(it.call, client.currentToken(it.attempt)); })
            || ifOwned(it.attempt, [&] { callers.append(it.call, forwarder.currentToken()); });
    });
    process.interceptEffect<node::FinishCall>([&, ifOwned](auto& it) {
        return ifOwned(it.call, [&] { forwarder.finish(it.call, client.answer(it.attempt)); })
            || ifOwned(it.attempt, [&] { callers.finish(it.call, forwarder.answer(it.attempt)); });
    });
}

/// Records all events and effects as metrics, trace and spans. It must outlive Process::run().
class Observers {
public:
    Observers(Process& process, runtime::CallMetrics& metrics, const Settings& settings)
        : m_metrics(metrics)
    {
        if (!settings.traceFile.empty())
            m_recorder = runtime::TraceRecorder::open(settings.traceFile, process.state().settings).value();
        if (!settings.spanFile.empty())
            openSpans(settings);
        process.observe([this](const node::Event& event, const node::State& state, const node::Effects& effects) {
            observe(event, state, effects);
        });
    }

    Observers(const Observers&) = delete;
    Observers& operator=(const Observers&) = delete;

private:
    void openSpans(const Settings& settings)
    {
        m_spanFile.open(settings.spanFile, std::ios::binary | std::ios::app);
        if (!m_spanFile)
            throw std::runtime_error(settings.spanFile + " cannot be opened");
        const auto epochOffset = std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch() - runtime::readClock().time_since_epoch());
        m_spans.emplace(m_spanFile, settings.vm, epochOffset, std::random_device {}());
    }

    void observe(const node::Event& event, const node::State& state, const node::Effects& effects)
    {
        m_metrics.observe(event, state, effects);
        if (m_recorder)
            m_recorder->record(event, effects);
        if (m_spans)
            m_spans->observe(event, effects);
    }

    runtime::CallMetrics& m_metrics;
    std::unique_ptr<runtime::TraceRecorder> m_recorder;
    std::ofstream m_spanFile;
    std::optional<runtime::SpanRecorder> m_spans;
};

/// Write-ahead logs in the data folder. It must outlive Process::run().
class DurableLogs {
public:
    DurableLogs(Process& process, const std::string& folder)
        : m_folder(valueOrThrow(folder, runtime::storage::DataFolder::open(folder)))
        , m_configuration(valueOrThrow(folder,
              runtime::storage::Storage<runtime::storage::ConfigurationLog>::open(
                  process.base(), folder, Adapters::postTo(process))))
    {
        process.recoverConfiguration(m_configuration->takePersistedState());
        process.onEffect<node::PersistConfiguration>([this](auto& it) { m_configuration->executeEffect(it); });
        for (const auto& [home, state] : process.state().ledger.homes) {
            auto& ledgerLog = m_ledgers[home];
            ledgerLog = valueOrThrow(
                folder, LedgerStorage::open(process.base(), folder, Adapters::postTo(process), { home }));
            process.recoverLedger(home, ledgerLog->takePersistedState());
        }
        process.onEffect<node::PersistLedger>([this](auto& it) { m_ledgers.at(it.home)->executeEffect(it); });
    }

    DurableLogs(const DurableLogs&) = delete;
    DurableLogs& operator=(const DurableLogs&) = delete;

private:
    using LedgerStorage = runtime::storage::Storage<runtime::storage::LedgerLog>;

    template <typename T> static T valueOrThrow(const std::string& folder, Result<T>&& opened)
    {
        if (!opened)
            throw std::runtime_error("data folder " + folder + ": " + opened.error().message());
        return std::move(opened.value());
    }

    runtime::storage::DataFolder m_folder;
    std::unique_ptr<runtime::storage::Storage<runtime::storage::ConfigurationLog>> m_configuration;
    std::map<DataCentreId, std::unique_ptr<LedgerStorage>> m_ledgers;
};

} // namespace

int run(const Settings& settings)
{
    runtime::setUpLog(settings.logLevel, settings.logFormat);
    Process process(nodeSettings(settings));
    Adapters adapters(process, settings);
    const auto announceAddress = runtime::formatAddress(adapters.callerServer.address());
    process.setAnnounceAddress(announceAddress);
    connectCallEffects(process, adapters);
    if (adapters.forwarder)
        connectForwardedCallEffects(process, adapters);
    const Observers observers(process, adapters.callMetrics, settings);
    std::optional<DurableLogs> durableLogs;
    if (!settings.dataFolder.empty())
        durableLogs.emplace(process, settings.dataFolder);
    process.onEffect<node::ReplyAnnouncement>([&](auto& it) { adapters.announcements.reply(it); });
    process.onEffect<node::SendOrder>([&](auto& it) { adapters.orders.send(it); });
    process.onEffect<node::ReplyOperator>([&](auto& it) { adapters.operators->executeEffect(it); });
    process.onEffect<node::SendPeer>([&](auto& it) {
        if (adapters.links)
            adapters.links->executeEffect(it);
    });
    process.onEffect<node::WriteLog>([](auto& it) { runtime::writeLog(it.level, it.part, it.text); });
    process.onEffect<node::Exit>([&](auto&) {
        if (adapters.callers.calls() == 0 && (!adapters.forwarder || adapters.forwarder->calls() == 0))
            process.stop();
    });
    runtime::writeLog(node::LogLevel::Info, "daemon", "Callers at " + announceAddress + ".");
    runtime::writeLog(node::LogLevel::Info, "daemon",
        "Operators at " + runtime::formatIp(runtime::parseAddress(settings.operatorAddress).value()) + ":"
            + std::to_string(adapters.operators->port()) + ".");
    process.run();
    runtime::writeLog(node::LogLevel::Info, "daemon", "Stopped.");
    return 0;
}

} // namespace rosemarymill::daemon
