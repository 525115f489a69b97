#pragma once

#include <rosemarymill/core/fleet/document_parts.hpp>
#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Settings of an entry VM that do not change while it runs.
struct EntryNodeSettings {
    VmId vm;
    DataCentreId dataCentre;
    std::vector<std::string> seeds;
    proxy::ProxySettings proxy;
    /// Time for a graceful shutdown, after which the platform kills the process.
    Duration grace { 8s };
    std::uint64_t seed { 0 };
};

/// Process on an entry VM: serves clients using the document and the targets last received from the leader.
class EntryNode {
public:
    /// Shortest interval of the reports to the leader, and the interval per entry VM, which bounds the leader's work.
    static constexpr Duration minReportInterval = 150ms;
    static constexpr Duration reportIntervalPerVm = 5ms;
    /// Shortest interval between two stall reports for one server.
    static constexpr Duration stallInterval = 300ms;
    /// Time after SIGTERM for which new connections are expected: the load balancer in front of the entry VMs stops
    /// sending them after up to three readiness checks, one second apart.
    static constexpr Duration drainTime = 3500ms;
    /// Part of the grace period that is reserved for the exit of the process.
    static constexpr Duration exitMargin = 400ms;
    /// Time before that in which requests that are still in progress are answered: two ticks.
    static constexpr Duration answerTime = 200ms;

    /// The budget must outlive the node.
    EntryNode(event_base* base, EntryNodeSettings settings, ConnectionBudget& budget);
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    void setSeeds(std::vector<std::string> seeds) { m_link.setSeeds(std::move(seeds)); }

    /// Whether this VM has a document and targets and is not shutting down, so that it can serve clients.
    [[nodiscard]] bool ready() const;

    /// Begins a graceful shutdown. Calls `finished` after `drainTime`, once all responses are sent or only `exitMargin`
    /// of the grace period is left. Requests that are still in progress shortly before that are answered.
    void shutDown(std::function<void()> finished);

    void writeMetrics(std::ostream& out) const;

private:
    void receive(const fleet::Message& message);
    void receive(const fleet::DocumentPart& part);
    void applyDocument(std::span<const std::byte> bytes);
    void receive(const fleet::Members& members);
    /// Sends pending crash reports to the leader.
    void reportCrashes();
    void sendCrashes(std::vector<quarantine::CrashReport> reports);
    void reportStall(const ServerId& server);
    /// Reports requests, and servers with progress or stalled requests. A report replaces the loads that the sender
    /// reported before, so each one lists all of them.
    void report(Instant now);
    void tick();

    event_base* m_base;
    EntryNodeSettings m_settings;
    proxy::Proxy m_proxy;
    ControlLink m_link;
    routes::DocumentTable m_documents;
    fleet::PartReassembler m_parts;
    /// When the first part of a newer version arrived that is not active yet.
    std::optional<Instant> m_behindSince;
    bool m_targetsReceived { false };
    bool m_trafficReported { false };
    bool m_loadsReported { false };
    Instant m_reportedAt;
    std::map<ServerId, Instant> m_stallReportTimes;
    std::function<void()> m_onFinished;
    Instant m_drainSince;
    /// Stalled servers to list in the next report.
    std::vector<ServerId> m_stalled;
    EventHandle m_tick;
    EventHandle m_stallReport;
    EventHandle m_crashReport;
};

} // namespace rosemarymill::runtime::nodes
