#include <rosemarymill/runtime/nodes/control_node.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <vector>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

void ControlNode::writeMetrics(std::ostream& out) const
{
    const auto gauge = [&](const char* name, std::uint64_t value) {
        out << "# TYPE rosemarymill_control_" << name << " gauge\nrosemarymill_control_" << name << ' ' << value
            << '\n';
    };
    const auto counter = [&](const char* name, std::uint64_t value) {
        out << "# TYPE rosemarymill_control_" << name << "_total"
            << " counter\nrosemarymill_control_" << name << "_total" << ' ' << value << '\n';
    };
    std::size_t open = 0;
    std::map<ModelName, std::size_t> openByModel;
    for (const auto& [name, group] : m_control.groups()) {
        const bool isOpen = group.phase == core::GroupPhase::Open;
        open += isOpen ? 1 : 0;
        openByModel[group.model] += isOpen ? 1 : 0;
    }
    gauge("leads", m_leads ? 1 : 0);
    gauge("term", m_replica->term());
    const auto now = readClock();
    gauge("voters", m_replica->voters().size());
    const auto candidates = m_leads ? voterCandidates() : std::vector<core::VoterCandidate> {};
    gauge("voters_answering", core::workingVoters(candidates, m_voterSettings, now));
    gauge("voters_caught_up",
        static_cast<std::uint64_t>(std::count_if(
            candidates.begin(), candidates.end(), [](const auto& it) { return it.votes && it.caughtUp; })));
    gauge("standbys", m_learners.size());
    gauge("leader_known", leader().empty() ? 0 : 1);
    gauge("last_commit_age_ms", static_cast<std::uint64_t>((now - m_committedAt) / 1ms));
    gauge("document_version", m_documentVersion);
    gauge("servers", m_control.registry().servers().size());
    gauge("groups", m_control.groups().size());
    gauge("open_groups", open);
    out << "# TYPE rosemarymill_control_open_model_groups gauge\n";
    for (const auto& [model, n] : openByModel)
        out << "rosemarymill_control_open_model_groups{model=\"" << model.text() << "\"} " << n << '\n';
    gauge("entry_vms", m_entryVms.size());
    gauge("proposals", m_proposals.size());
    gauge("quarantine_suspects", m_quarantine.suspects());
    gauge("quarantine_refused", m_quarantine.refused());
    gauge("quarantine_refused_parts", m_quarantine.refusedParts().size());
    counter("quarantine_parts_suspected", m_quarantine.counters().partsSuspected);
    counter("quarantine_parts_refused", m_quarantine.counters().partsRefused);
    counter("quarantine_parts_cleared", m_quarantine.counters().partsCleared);
    gauge("quarantine_stored", m_replica->machine().state().crashes.size());
    const auto statistics = m_feed.statistics(now);
    gauge("oldest_document_version", statistics.oldestInForce);
    gauge("oldest_document_age_ms", static_cast<std::uint64_t>(statistics.age / 1ms));
    gauge("subscribers_behind", statistics.behind);
    gauge("document_versions_skipped", statistics.skipped);
    gauge("document_pushes", statistics.pushes);
    gauge("document_pushes_whole", statistics.whole);
    const auto unsent = m_subscribers.unsent();
    gauge("subscriber_unsent_bytes", unsent.sum);
    gauge("subscriber_unsent_bytes_max", unsent.max);
    gauge("document_bytes", m_replica->machine().state().bytes.size());
    gauge("log_commit", m_replica->commit());
    out << "# TYPE rosemarymill_control_log_waiting_bytes gauge\n";
    m_voterLinks.forEachUnsent([&](const VmId& vm, std::size_t bytes) {
        out << "rosemarymill_control_log_waiting_bytes{vm=\"" << vm.text() << "\"} " << bytes << '\n';
    });
    m_calls.writeMetrics(out);
    out << "# TYPE rosemarymill_control_unknown_proposals_total counter\nrosemarymill_control_unknown_proposals_total "
        << m_unknownProposals << '\n';
    out << "# TYPE rosemarymill_control_commit_seconds summary\n";
    m_commitTimes.write(out, "rosemarymill_control_commit_seconds", "");
    out << "# TYPE rosemarymill_control_decode_seconds summary\n";
    m_decodeTimes.write(out, "rosemarymill_control_decode_seconds", "");
}

} // namespace rosemarymill::runtime::nodes
