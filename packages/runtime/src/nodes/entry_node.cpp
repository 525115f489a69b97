#include <rosemarymill/runtime/nodes/entry_node.hpp>

#include "crash_reports.hpp"

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/routes/codec.hpp>

#include <algorithm>
#include <ostream>
#include <utility>

#include <event2/event.h>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

namespace {

/// Interval at which the connection to the leader is checked.
constexpr timeval tickInterval { 0, 100'000 };

} // namespace

EntryNode::EntryNode(event_base* base, EntryNodeSettings settings, ConnectionBudget& budget)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_proxy(base, m_settings.proxy, budget)
    , m_link(base, { m_settings.vm, m_settings.dataCentre, BootId { std::to_string(m_settings.seed) } },
          { [this](const core::Message& message) { receive(message); },
              [this] {
                  return core::Subscribe { {}, false, m_documents.version() };
              },
              [this](bool connected) {
                  // Reports that an earlier leader received may be lost with it, so recent ones are sent again.
                  if (connected)
                      sendCrashes(m_proxy.quarantine().recentReports(readClock()));
              } })
    , m_tick(event_new(
          base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<EntryNode*>(self)->tick(); },
          this))
    , m_stallReport(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<EntryNode*>(self)->report(readClock()); },
          this))
    , m_crashReport(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<EntryNode*>(self)->reportCrashes(); },
          this))
{
    m_link.setSeeds(m_settings.seeds);
    m_proxy.onStall([this](const ServerId& server) { reportStall(server); });
    // Crashes detected in one iteration of the event loop are sent in one message.
    m_proxy.onCrashReports([this] { event_active(m_crashReport.get(), EV_TIMEOUT, 0); });
    event_add(m_tick.get(), &tickInterval);
}

bool EntryNode::ready() const { return m_proxy.table() && m_targetsReceived && !m_onFinished; }

void EntryNode::receive(const core::Message& message)
{
    if (const auto* part = std::get_if<core::DocumentPart>(&message)) {
        receive(*part);
    } else if (const auto* targets = std::get_if<core::TargetsPush>(&message)) {
        m_targetsReceived = m_targetsReceived || targets->delta.full || !targets->delta.upserts.empty();
        m_proxy.applyTargets(targets->delta);
        writeDecision("fleet", "changed servers",
            { { "full", targets->delta.full ? "yes" : "no" },
                { "upserts", std::to_string(targets->delta.upserts.size()) },
                { "withdrawn", std::to_string(targets->delta.withdrawn.size()) },
                { "lost", std::to_string(targets->delta.lost.size()) },
                { "known", std::to_string(m_proxy.balancer().size()) } });
    } else if (const auto* members = std::get_if<core::Members>(&message)) {
        receive(*members);
    } else if (const auto* loads = std::get_if<core::LoadsPush>(&message)) {
        m_proxy.balancer().applyFleetLoads(loads->loads, readClock());
    } else if (const auto* crashes = std::get_if<core::CrashReports>(&message)) {
        m_proxy.applyCrashReports(crashes->reports);
    }
}

void EntryNode::receive(const core::Members& members)
{
    // Other control VMs are connected to a few entry VMs only; limits divided by that number would be too large.
    if (!m_link.connected())
        return;
    const auto& all = members.entryVms;
    const auto self = std::find(all.begin(), all.end(), m_settings.vm.text());
    if (all.empty())
        return;
    const auto n = static_cast<unsigned>(all.size());
    if (n != m_proxy.balancer().entryVms())
        writeDecision("fleet", "changed number of entry VMs",
            { { "n", std::to_string(n) }, { "before", std::to_string(m_proxy.balancer().entryVms()) },
                { "leader", members.leader }, { "connected", m_link.connected() ? "yes" : "no" } });
    m_proxy.balancer().setEntryVms(n, static_cast<unsigned>(self - all.begin()));
}

void EntryNode::receive(const core::DocumentPart& part)
{
    if (part.part == 0 && part.to > m_documents.version() && !m_behindSince)
        m_behindSince = readClock();
    switch (m_parts.add(part)) {
    case core::PartReassembler::State::Incomplete:
        return;
    case core::PartReassembler::State::Complete:
        applyDocument(m_parts.take());
        break;
    case core::PartReassembler::State::Broken:
        writeLog(node::LogLevel::Error, "fleet", "Dropped document push: its parts do not belong together.");
        break;
    }
    // When the version shows that the changes did not apply, the leader sends the whole document next.
    m_link.send(core::DocumentInForce { m_documents.version() });
}

void EntryNode::applyDocument(std::span<const std::byte> bytes)
{
    const auto startedAt = readClock();
    const auto before = m_documents.version();
    const auto changes = wire::routes::unpack(bytes, core::maxPushBytes);
    if (!changes) {
        writeLog(node::LogLevel::Error, "fleet", "Rejected document push: it cannot be decoded.");
        return;
    }
    // An active document is never replaced by an older one.
    if (!m_documents.apply(changes.value())) {
        writeDecision("fleet", "rejected document changes",
            { { "version", std::to_string(changes.value().to) }, { "from", std::to_string(changes.value().from) },
                { "held", std::to_string(before) } });
        return;
    }
    m_proxy.setTable(std::make_shared<routes::Table>(m_documents.document()));
    const auto now = readClock();
    const auto receivedFor = startedAt - m_behindSince.value_or(startedAt);
    m_behindSince.reset();
    writeDecision("fleet", "activated document",
        { { "version", std::to_string(m_documents.version()) }, { "before", std::to_string(before) },
            { "entries", std::to_string(changes.value().entries.size()) }, { "bytes", std::to_string(bytes.size()) },
            { "received_us", std::to_string(receivedFor.count()) },
            { "applied_us", std::to_string((now - startedAt).count()) } });
}

void EntryNode::reportCrashes()
{
    if (m_proxy.quarantine().hasReports())
        sendCrashes(m_proxy.quarantine().takeReports());
}

void EntryNode::sendCrashes(std::vector<quarantine::CrashReport> reports)
{
    if (reports.empty())
        return;
    for (const auto& it : reports)
        logCrashReport("reported crash", it);
    sendInParts(reports, [this](core::CrashReports&& it) { m_link.send(std::move(it)); });
}

void EntryNode::reportStall(const ServerId& server)
{
    const auto now = readClock();
    auto& reportedAt = m_stallReportTimes[server];
    if (reportedAt != Instant {} && now < reportedAt + stallInterval)
        return;
    reportedAt = now;
    // Servers that stall in one iteration of the event loop are listed in one report.
    m_stalled.push_back(server);
    event_active(m_stallReport.get(), EV_TIMEOUT, 0);
}

void EntryNode::report(Instant now)
{
    m_reportedAt = now;
    const auto progress = m_proxy.takeServersWithProgress();
    auto stalled = std::exchange(m_stalled, {});
    const bool traffic = m_proxy.counters().requests > 0 && !m_trafficReported;
    core::Report report;
    report.loads = m_proxy.balancer().localLoads(now);
    const bool hadLoads = std::exchange(m_loadsReported, !report.loads.empty());
    if (!m_link.connected() || (progress.empty() && stalled.empty() && !traffic && report.loads.empty() && !hadLoads))
        return;
    report.progressed.assign(progress.begin(), progress.end());
    report.stalled = std::move(stalled);
    report.traffic = m_proxy.counters().requests > 0;
    report.documentVersion = m_documents.version();
    m_trafficReported = report.traffic;
    m_link.send(report);
}

void EntryNode::shutDown(std::function<void()> finished)
{
    if (m_onFinished)
        return;
    m_onFinished = std::move(finished);
    m_drainSince = readClock();
    m_proxy.shutDown({ m_drainSince, m_settings.grace });
}

void EntryNode::tick()
{
    const auto now = readClock();
    m_link.tick(now);
    reportCrashes();
    if (now >= m_reportedAt + std::max(minReportInterval, reportIntervalPerVm * m_proxy.balancer().entryVms()))
        report(now);
    if (!m_onFinished)
        return;
    const auto drained = now - m_drainSince;
    if (drained < drainTime)
        return;
    m_proxy.closeIdle();
    if (drained >= m_settings.grace - exitMargin - answerTime)
        m_proxy.endCalls("shutting down");
    if (m_proxy.drained() || drained >= m_settings.grace - exitMargin)
        m_onFinished();
}

void EntryNode::writeMetrics(std::ostream& out) const
{
    m_proxy.writeMetrics(out);
    out << "# TYPE rosemarymill_control_connected gauge\nrosemarymill_control_connected "
        << (m_link.connected() ? 1 : 0) << '\n';
    const auto behind = m_behindSince ? readClock() - *m_behindSince : Duration {};
    out << "# TYPE rosemarymill_document_behind_ms gauge\nrosemarymill_document_behind_ms " << behind / 1ms << '\n';
}

} // namespace rosemarymill::runtime::nodes
