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

/// Fixed choices of an entry VM.
struct EntryNodeSettings {
    VmId vm;
    DataCentreId dataCentre;
    std::vector<std::string> seeds;
    proxy::ProxySettings proxy;
    /// Time for a graceful shutdown, after which the platform kills the process.
    Duration grace { 8s };
    std::uint64_t seed { 0 };
};

/// Process on an entry VM: serves clients with the document and the servers that it last learned.
class EntryNode {
public:
    /// Shortest interval of the reports to the leader, and the part of it for each entry VM, which bounds the
    /// leader's work.
    static constexpr Duration minReportInterval = 150ms;
    static constexpr Duration reportIntervalPerVm = 5ms;
    /// A stall of one server is reported at most this often.
    static constexpr Duration stallInterval = 300ms;
    /// After SIGTERM the balancer needs up to three questions, a second apart, to send no more connections.
    static constexpr Duration drainTime = 3500ms;
    /// Part of the grace that is kept for the end of the process.
    static constexpr Duration exitMargin = 400ms;

    EntryNode(event_base* base, EntryNodeSettings settings);
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    void setSeeds(std::vector<std::string> seeds) { m_link.setSeeds(std::move(seeds)); }

    /// Whether clients should be sent here.
    [[nodiscard]] bool ready() const;

    /// Begins a graceful shutdown. `finished` is called once all requests are answered or the grace is over.
    void shutDown(std::function<void()> finished);

    void writeMetrics(std::ostream& out) const;

private:
    void receive(const fleet::Message& message);
    void receive(const fleet::DocumentPart& part);
    void putInForce(std::span<const std::byte> bytes);
    void receive(const fleet::Members& members);
    /// Sends the leader what was seen of crashes.
    void reportCrashes();
    void sendCrashes(std::vector<quarantine::CrashReport> reports);
    void reportStall(const ServerId& server);
    /// Reports requests and progress, and servers at which requests are stuck. A report replaces the sender's earlier
    /// requests, so each one names all of them.
    void report(Instant now);
    void tick();

    event_base* m_base;
    EntryNodeSettings m_settings;
    proxy::Proxy m_proxy;
    ControlLink m_link;
    routes::DocumentTable m_documents;
    fleet::PartReassembler m_parts;
    /// When a version began to arrive that is not in force yet.
    std::optional<Instant> m_behindSince;
    bool m_targetsKnown { false };
    bool m_trafficReported { false };
    bool m_loadsReported { false };
    Instant m_reportedAt;
    std::map<ServerId, Instant> m_stalls;
    std::function<void()> m_onFinished;
    Instant m_drainSince;
    /// Servers to name in the next report.
    std::vector<ServerId> m_stalled;
    EventHandle m_tick;
    EventHandle m_stallReport;
    EventHandle m_crashReport;
};

} // namespace rosemarymill::runtime::nodes
