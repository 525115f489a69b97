#include <rosemarymill/runtime/nodes/control_node.hpp>

#include "crash_reports.hpp"

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <utility>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

namespace {

/// Timeout of the probe that disproves a reported crash. A crashed server takes longer than this to restart.
constexpr Duration crashProbeTimeout = 500ms;

/// Logs a refused part with the crashes that it accounts for, as `server/boot`.
void logRefusedPart(const quarantine::PartEvidence::Verdict& verdict)
{
    std::string crashes;
    for (const auto& it : verdict.crashes)
        crashes += it.server.text() + '/' + it.bootId.text() + ' ';
    writeDecision("quarantine", "refused part",
        { { "refused_part", formatFingerprint(verdict.part) }, { "n", std::to_string(verdict.crashes.size()) },
            { "crashes", crashes } });
}

} // namespace

void ControlNode::onCrashes(Subscriber& from, const core::CrashReports& crashes)
{
    if (!m_leads)
        return;
    quarantine::Outcome outcome;
    for (const auto& it : crashes.reports) {
        const auto* registered = m_control.registry().find(it.crash.server);
        const bool leaving
            = registered && registered->record.bootId() == it.crash.bootId && registered->record.draining;
        if (leaving && it.kind != quarantine::ReportKind::Cleared) {
            writeDecision("quarantine", "ignored crash report",
                { { "server", it.crash.server.text() }, { "why", "the server is draining" },
                    { "from", from.vm().text() } });
            continue;
        }
        m_quarantine.report(it, readClock(), outcome);
    }
    executeOutcome(std::move(outcome), &from);
}

bool ControlNode::hasEnded(const quarantine::Crash& crash) const
{
    const auto* registered = m_control.registry().find(crash.server);
    if (!registered)
        return m_control.targetsComplete();
    return registered->record.bootId() != crash.bootId || m_control.isDead(*registered);
}

void ControlNode::reviewCrashes(Instant now)
{
    quarantine::Outcome outcome;
    m_quarantine.review([this](const quarantine::Crash& it) { return hasEnded(it); }, now, outcome);
    const auto unstored = std::exchange(m_unstoredCrashes, {});
    outcome.store.insert(outcome.store.end(), unstored.begin(), unstored.end());
    executeOutcome(std::move(outcome));
}

void ControlNode::executeOutcome(quarantine::Outcome outcome, Subscriber* from)
{
    for (const auto& it : outcome.reply)
        logCrashReport("granted trial", it);
    if (from && !outcome.reply.empty())
        m_subscribers.send(*from, core::CrashReports { std::move(outcome.reply) });
    for (const auto& it : outcome.verdicts)
        logRefusedPart(it);
    for (const auto& it : outcome.publish)
        logCrashReport("published crash report", it);
    sendInParts(outcome.publish,
        [this](const core::CrashReports& it) { m_subscribers.broadcast(it, SubscriberServer::Audience::EntryVms); });
    if (!outcome.store.empty())
        storeCrashes(std::move(outcome.store));
    probeCrashedServers();
}

void ControlNode::probeCrashedServers()
{
    for (const auto& crash : m_quarantine.takeCrashesToProbe()) {
        const auto* registered = m_control.registry().find(crash.server);
        if (!registered || registered->record.bootId() != crash.bootId) {
            onCrashProbeAnswered(crash, false);
            continue;
        }
        m_servers.send(registered->record.address, m_platformAdapter.encodeProbe(crash.server), crashProbeTimeout,
            [this, crash](const ServerAnswer& answer) {
                onCrashProbeAnswered(crash,
                    !answer.refused
                        && m_platformAdapter.interpretProbeStatus(answer.status) == core::event::ProbeResult::Alive);
            });
    }
}

void ControlNode::onCrashProbeAnswered(const quarantine::Crash& crash, bool alive)
{
    if (!m_leads)
        return;
    quarantine::Outcome outcome;
    m_quarantine.applyProbeResult(crash, alive, readClock(), outcome);
    executeOutcome(std::move(outcome));
}

void ControlNode::storeCrashes(std::vector<quarantine::CrashReport> reports)
{
    core::StoreCrashes command { nextSubmission(), reports };
    propose(std::move(command), [this, reports = std::move(reports)](bool committed) {
        if (!committed && m_leads)
            m_unstoredCrashes.insert(m_unstoredCrashes.end(), reports.begin(), reports.end());
    });
}

} // namespace rosemarymill::runtime::nodes
