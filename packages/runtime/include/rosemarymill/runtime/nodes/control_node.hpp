#pragma once

#include <rosemarymill/core/fleet/control.hpp>
#include <rosemarymill/core/fleet/document_feed.hpp>
#include <rosemarymill/core/fleet/entry_vm_registry.hpp>
#include <rosemarymill/core/fleet/forwarded_call_table.hpp>
#include <rosemarymill/core/fleet/load_table.hpp>
#include <rosemarymill/core/fleet/machine.hpp>
#include <rosemarymill/core/fleet/voters.hpp>
#include <rosemarymill/core/quarantine/coordinator.hpp>
#include <rosemarymill/runtime/metrics/summary.hpp>
#include <rosemarymill/runtime/nodes/control_calls.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/runtime/nodes/platform_adapter.hpp>
#include <rosemarymill/runtime/nodes/seed_links.hpp>
#include <rosemarymill/runtime/nodes/server_client.hpp>
#include <rosemarymill/runtime/nodes/subscriber_server.hpp>
#include <rosemarymill/runtime/nodes/voter_links.hpp>
#include <rosemarymill/runtime/storage/data_folder.hpp>
#include <rosemarymill/runtime/storage/storage.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Settings of a control VM that do not change while it runs.
struct ControlNodeSettings {
    /// Address for other processes, which also identifies the voter.
    std::string address;
    DataCentreId dataCentre;
    /// Addresses of control VMs and gateways to connect to first.
    std::vector<std::string> seeds;
    /// The system starts for the first time: the seeds bootstrap the control log.
    bool bootstrap { false };
    std::string dataFolder;
    fleet::ControlSettings controlSettings;
    /// Number of control VMs that may be lost at the same time.
    unsigned toleratedFailures { 1 };
    /// Time in which a restarted control VM, or the replacement of a lost one, has to catch up and vote. The next
    /// control VM may be lost afterwards.
    Duration catchUpTime { 4s };
    std::uint64_t seed { 0 };
};

/// Process on a control VM: voter of the control log, and controller of the fleet while it leads.
class ControlNode {
public:
    /// Receives whether a command is committed; false means that the outcome is unknown.
    using CommitHandler = std::function<void(bool)>;
    /// Document as it was submitted; version 0 when none is stored.
    struct StoredDocument {
        std::uint64_t version { 0 };
        std::string text;
    };
    /// Receives the stored document, or null when it cannot be read or this VM cannot confirm that it is the latest.
    using ReadHandler = std::function<void(const StoredDocument*)>;

    /// Time after which the outcome of an uncommitted proposal is reported as unknown: callers time out after 1 s.
    static constexpr Duration proposalTimeout = 900ms;

    /// Throws std::runtime_error when the address cannot be bound or the data folder cannot be read.
    ControlNode(event_base* base, ControlNodeSettings settings, PlatformAdapter platformAdapter);
    ~ControlNode();
    ControlNode(const ControlNode&) = delete;
    ControlNode& operator=(const ControlNode&) = delete;

    void setSeeds(const std::vector<std::string>& seeds);

    /// Transfers leadership when this VM leads, and calls `finished` once another VM leads, at the latest after
    /// `limit`.
    void shutDown(Duration limit, std::function<void()> finished);

    /// Whether this VM leads and has applied all entries that were committed before it led.
    [[nodiscard]] bool leads() const noexcept { return m_leads; }
    /// Address of the leader according to the control log or the control link. Empty when there is none, or while
    /// the log receives no heartbeats from it.
    [[nodiscard]] std::string leader() const;

    /// Calls of operators, which any control VM accepts. Their executor has to be set before the event loop runs.
    [[nodiscard]] ControlCalls& calls() noexcept { return m_calls; }

    /// Handles a server's heartbeat. Only for the leader. `done` tells whether it may be acknowledged: one that reports
    /// draining only after that is committed.
    void heartbeat(fleet::ServerRecord record, CommitHandler done);
    /// Handles a server's leave notice. Only for the leader. `done` tells whether it is committed.
    void serverLeft(const ServerId& server, CommitHandler done);

    /// Replicates a valid document and its text as it was submitted, which is compressed here once. `done` is not
    /// called after an error: a text longer than fleet::maxDocumentBytes, or fleet::maxStoredDocumentBytes once it is
    /// compressed, is rejected with std::errc::message_size; the other errors are those of wire::compress.
    [[nodiscard]] Result<void> storeDocument(routes::Document document, std::string_view text, CommitHandler done);
    void setOutOfService(const DataCentreId& dataCentre, bool outOfService, CommitHandler done);
    /// Reads the latest document, after a barrier in the log is committed.
    void readDocument(ReadHandler done);

    void writeMetrics(std::ostream& out) const;

private:
    using Replica = fleet::Replica;

    struct Proposal {
        Instant proposedAt;
        CommitHandler done;
    };

    /// Decoded document of a proposal.
    struct DecodedProposal {
        std::string submission;
        routes::Document document;
    };

    /// Maximum of decoded documents that are kept until their proposals are applied.
    static constexpr std::size_t maxDecodedProposals = 8;

    /// Voters that bootstrapped the log, from a file in the data folder. Empty without that file, as on a VM that did
    /// not bootstrap the log or lost its disk. Throws std::runtime_error when the file cannot be read.
    [[nodiscard]] std::vector<std::string> bootstrapVoters();
    /// Whether the system starts for the first time and this VM has neither voters nor entries of a log.
    [[nodiscard]] bool mayBootstrap() const;
    /// Bootstraps the log once enough control VMs have subscribed, or the time to wait for them is over. One VM does
    /// so: the first seed, or the VM that the first seed chooses when that is a gateway.
    void reviewBootstrap(Instant now);
    /// Addresses of discovered control VMs, voters and learners.
    [[nodiscard]] std::set<std::string> controlAddresses() const;
    void startReplica();
    /// Updates the learners and changes the voters when the review returns a change.
    void reviewVoters(Instant now);
    [[nodiscard]] std::vector<fleet::VoterCandidate> voterCandidates() const;
    void post(Replica::Event&& event);
    void executeEffect(Replica::Effect& effect);
    void executeEffect(fleet::ControlEffect& effect);
    void decide(const fleet::ControlEvent& event);
    void reviewLeadership();
    /// Updates this VM from the replicated state after a change. `submission` identifies the command that changed it; a
    /// restored snapshot has none.
    void onStateApplied(const std::string& submission = {});
    /// Passes the routing table to m_control and pushes its document to the entry VMs.
    void publishDocument();
    /// Milliseconds since a pending proposal of this VM was made; an empty text when it is not pending here.
    [[nodiscard]] std::string ageOf(const std::string& submission) const;
    [[nodiscard]] std::string nextSubmission();
    /// Proposes a command, which contains its submission id.
    void propose(fleet::Command command, CommitHandler done);
    /// Commits a departure unless the control log holds it already.
    void storeDeparture(const fleet::Departure& departure, CommitHandler done);
    void finishProposal(const std::string& submission, bool committed);
    /// Text of the stored document. The errors are those of wire::decompress.
    [[nodiscard]] Result<std::string> documentText() const;
    /// Sets the routing table from the stored document, reusing the decoded document of that submission when it is
    /// kept. Only a leader needs the table. Returns false and keeps the current table when the stored document is
    /// invalid.
    [[nodiscard]] bool loadTable(const std::string& submission = {});
    void failProposals(Instant now, bool all);
    void sendOrder(const fleet::effect::SendOrder& effect);
    void probe(const fleet::effect::ProbeServer& effect);

    [[nodiscard]] fleet::Members members() const;
    void onSubscribed(Subscriber& subscriber);
    bool onLogFrame(const VmId& from, std::span<const std::byte> payload);
    void onReport(const Subscriber& from, const fleet::Report& report);
    /// Sends a ticket for a call that another VM offers, or the answer when the call is answered already.
    void onOffer(Subscriber& from, const fleet::CallOffer& offer);
    void onCall(const Subscriber& from, const fleet::ForwardedCall& call);
    /// Handles an entry VM's crash reports.
    void onCrashes(Subscriber& from, const fleet::CrashReports& crashes);
    /// Whether the server process at which requests timed out is known to have ended.
    [[nodiscard]] bool hasEnded(const quarantine::Crash& crash) const;
    /// Counts crashes that have been confirmed, and retries to store reports that could not be stored.
    void reviewCrashes(Instant now);
    /// Sends, publishes and stores the reports of an outcome. `from` is the subscriber whose report caused it, or null.
    void executeOutcome(quarantine::Outcome outcome, Subscriber* from = nullptr);
    /// Probes servers whose crash is not confirmed.
    void probeCrashedServers();
    void onCrashProbeAnswered(const quarantine::Crash& crash, bool alive);
    void storeCrashes(std::vector<quarantine::CrashReport> reports);
    /// Sends a subscriber its next push of the document, if there is one.
    void pushDocument(Subscriber& subscriber);
    [[nodiscard]] std::shared_ptr<const Frames> framesOf(const fleet::DocumentFeed::Push& push);
    void countEntryVms();
    void pushLoads(Instant now);
    void reviewShutDown(Instant now);
    void tick();

    event_base* m_base;
    ControlNodeSettings m_settings;
    fleet::VoterSettings m_voterSettings;
    PlatformAdapter m_platformAdapter;
    wire::link::Hello m_self;
    std::unique_ptr<storage::DataFolder> m_folder;
    std::unique_ptr<storage::Storage<storage::ControlLog>> m_storage;
    std::unique_ptr<Replica> m_replica;
    std::deque<Replica::Event> m_events;
    bool m_reducing { false };
    fleet::Control m_control;
    fleet::Control::Effects m_decisions;
    bool m_leads { false };
    std::uint64_t m_documentVersion { 0 };
    /// Table of the stored document while this VM leads.
    std::shared_ptr<const routes::Table> m_table;
    fleet::DocumentFeed m_feed;
    /// Encoded pushes to the newest version.
    std::map<fleet::DocumentFeed::Push, std::shared_ptr<const Frames>> m_pushes;
    std::deque<DecodedProposal> m_decodedProposals;
    std::set<DataCentreId> m_outOfService;
    std::map<std::string, Proposal> m_proposals;
    std::uint64_t m_submissions { 0 };
    std::uint64_t m_unknownProposals { 0 };
    /// Last committed index, and when it was committed here.
    agreement::Index m_commit { 0 };
    Instant m_committedAt;
    /// Time from a proposal to its commit.
    TimeSummary m_commitTimes;
    /// Time to decode a document.
    TimeSummary m_decodeTimes;
    ServerClient m_servers;
    VoterLinks m_voterLinks;
    SubscriberServer m_subscribers;
    std::vector<VmId> m_learners;
    fleet::VoterReview m_review;
    Instant m_reviewedAt;
    /// Connection to the leader while this VM does not lead.
    ControlLink m_link;
    ControlCalls m_calls;
    /// Connections to the seeds that are not control VMs, so that they discover this VM.
    SeedLinks m_seedLinks;
    /// When this VM was chosen to bootstrap the log.
    std::optional<Instant> m_bootstrapSince;
    /// Control VMs that may bootstrap the log, this one included.
    std::map<VmId, DataCentreId> m_bootstrapCandidates;
    fleet::ForwardedCallTable m_forwardedCalls;
    fleet::EntryVmRegistry m_entryVms;
    /// Number of entry VMs at the last count, announced to all subscribers while this VM leads.
    unsigned m_entryCount { 0 };
    fleet::LoadTable m_loads;
    quarantine::Coordinator m_quarantine { quarantine::sharedRequestCrashLimit, m_settings.controlSettings.heartbeat };
    /// Reports that could not be stored yet.
    std::vector<quarantine::CrashReport> m_unstoredCrashes;
    Instant m_loadsSentAt;
    std::string m_lastLeader;
    Instant m_shutDownDeadline;
    std::function<void()> m_onFinished;
    unsigned m_ticks { 0 };
    EventHandle m_tick;
};

} // namespace rosemarymill::runtime::nodes
