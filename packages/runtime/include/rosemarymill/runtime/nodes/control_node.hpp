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

/// Fixed choices of a control VM.
struct ControlNodeSettings {
    /// Address for other processes, which also names the voter.
    std::string address;
    DataCentreId dataCentre;
    /// Addresses of control VMs to start from.
    std::vector<std::string> seeds;
    /// The system starts for the first time: the seeds bootstrap the control log.
    bool bootstrap { false };
    std::string dataFolder;
    fleet::ControlSettings controlSettings;
    /// Control VMs whose loss is to be borne at once.
    unsigned toleratedFailures { 1 };
    /// Time after which a control VM that has come back, or a successor that has started, no longer counts as lost, so
    /// that the next one may be lost.
    Duration catchUpTime { 4s };
    std::uint64_t seed { 0 };
};

/// Process on a control VM: voter of the control log, and the one that decides while it leads.
class ControlNode {
public:
    /// Told whether a command is committed; false means that nobody knows.
    using Committed = std::function<void(bool)>;
    /// Document as it was submitted; version 0 when none is stored.
    struct StoredDocument {
        std::uint64_t version { 0 };
        std::string text;
    };
    /// Receives the stored document, or null when this VM cannot be sure that it is the latest.
    using DocumentRead = std::function<void(const StoredDocument*)>;

    /// Time after which a proposal that is not committed is answered as unknown: callers wait a second.
    static constexpr Duration proposalTimeout = 900ms;

    /// Throws std::runtime_error when the address cannot be bound or the data folder cannot be read.
    ControlNode(event_base* base, ControlNodeSettings settings, PlatformAdapter platformAdapter);
    ~ControlNode();
    ControlNode(const ControlNode&) = delete;
    ControlNode& operator=(const ControlNode&) = delete;

    void setSeeds(const std::vector<std::string>& seeds);

    /// Hands the lead over when this VM leads and calls `finished` once another VM leads, at the latest after `limit`.
    void shutDown(Duration limit, std::function<void()> finished);

    /// Whether this VM leads and has applied all that was committed before.
    [[nodiscard]] bool leads() const noexcept { return m_leads; }
    /// Address of the leader as far as this VM knows, or an empty text.
    [[nodiscard]] std::string leader() const;

    /// Calls of operators, which any control VM takes. What carries them out on the leader is to be set before the loop
    /// runs.
    [[nodiscard]] ControlCalls& calls() noexcept { return m_calls; }

    /// A server announced itself. Only for the leader.
    void heartbeat(fleet::ServerRecord record);
    void serverLeft(const ServerId& server);

    /// Replicates a valid document and its text as it was submitted, which is compressed here once. `done` is not
    /// called after an error: a text longer than fleet::maxDocumentBytes, or fleet::maxStoredDocumentBytes once it is
    /// compressed, is refused with std::errc::message_size; the others are those of wire::compress.
    [[nodiscard]] Result<void> storeDocument(routes::Document document, std::string_view text, Committed done);
    void setOutOfService(const DataCentreId& dataCentre, bool outOfService, Committed done);
    /// Reads the latest document through the log.
    void readDocument(DocumentRead done);

    void writeMetrics(std::ostream& out) const;

private:
    using Replica = fleet::Replica;

    struct Proposal {
        Instant proposedAt;
        Committed done;
    };

    /// Decoded document of a proposal.
    struct Submitted {
        std::string submission;
        routes::Document document;
    };

    /// Decoded documents that are kept until their proposals are applied.
    static constexpr std::size_t maxSubmitted = 8;

    /// Voters that bootstrapped the log; empty on a VM that came later or lost its disk.
    [[nodiscard]] std::vector<std::string> bootstrapVoters();
    /// Whether this VM starts with the whole system for the first time and has heard of no log.
    [[nodiscard]] bool mayBootstrap() const;
    /// Bootstraps the log once enough control VMs are known. One VM does so: the first seed, or the one that the first
    /// seed has chosen when it is no control VM.
    void reviewBootstrap(Instant now);
    /// Addresses that are known to be control VMs.
    [[nodiscard]] std::set<std::string> knownControls() const;
    void startReplica();
    /// Follows which control VMs could vote and changes the voters when the review asks for it.
    void reviewVoters(Instant now);
    [[nodiscard]] std::vector<fleet::VoterCandidate> voterCandidates() const;
    void post(Replica::Event&& event);
    void executeEffect(Replica::Effect& effect);
    void executeEffect(fleet::ControlEffect& effect);
    void decide(const fleet::ControlEvent& event);
    void reviewLeadership();
    /// Takes over the state of the log after a change. `submission` names the command that made it; a restored snapshot
    /// has none.
    void applied(const std::string& submission = {});
    /// Hands the routing table to m_control and its document to the entry VMs.
    void publishDocument();
    /// Milliseconds since a proposal of this VM, or an empty text for one that it does not wait for.
    [[nodiscard]] std::string ageOf(const std::string& submission) const;
    [[nodiscard]] std::string nextSubmission();
    /// The command carries its submission.
    void propose(fleet::Command command, Committed done);
    void finishProposal(const std::string& submission, bool committed);
    /// Text of the stored document. The errors are those of wire::decompress.
    [[nodiscard]] Result<std::string> documentText() const;
    /// Sets the routing table of the stored document, from the decoded document of that submission when it is kept.
    /// Only a leader needs the table. Returns false and keeps the table held when the stored document is not sound.
    [[nodiscard]] bool loadTable(const std::string& submission = {});
    void failProposals(Instant now, bool all);
    void sendOrder(const fleet::effect::SendOrder& effect);
    void probe(const fleet::effect::ProbeServer& effect);

    [[nodiscard]] fleet::Members members() const;
    void onSubscribed(Subscriber& subscriber);
    bool onLogFrame(const VmId& from, std::span<const std::byte> payload);
    void onReport(const Subscriber& from, const fleet::Report& report);
    /// Takes over a call that another VM carries here.
    void onOffer(Subscriber& from, const fleet::CallOffer& offer);
    void onCall(const Subscriber& from, const fleet::ForwardedCall& call);
    /// Takes in what an entry VM saw of crashes.
    void onCrashes(Subscriber& from, const fleet::CrashReports& crashes);
    /// Whether the process of a server at which requests were given up has ended.
    [[nodiscard]] bool hasEnded(const quarantine::Crash& crash) const;
    /// Counts crashes that have been confirmed, and stores what could not be stored before.
    void reviewCrashes(Instant now);
    /// `from` is the subscriber whose report it was, or null.
    void executeOutcome(quarantine::Outcome outcome, Subscriber* from = nullptr);
    /// Asks servers whose end is not certain.
    void askServers();
    void crashAnswered(const quarantine::Crash& crash, bool alive);
    void storeCrashes(std::vector<quarantine::CrashReport> reports);
    /// Sends a subscriber the changes of the document that it gets next, when there are any.
    void feedDocument(Subscriber& subscriber);
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
    std::deque<Submitted> m_submitted;
    std::set<DataCentreId> m_outOfService;
    std::map<std::string, Proposal> m_proposals;
    std::uint64_t m_submissions { 0 };
    std::uint64_t m_unknownProposals { 0 };
    /// Last index that was seen committed, and when it was.
    agreement::Index m_commit { 0 };
    Instant m_committedAt;
    /// Time from a proposal to its commit.
    TimeSummary m_commitTimes;
    /// Time that the decoding of a document took.
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
    /// Introduces this VM to seeds that are no control VMs.
    SeedLinks m_seedLinks;
    /// Since when this VM is to bootstrap the log.
    std::optional<Instant> m_bootstrapSince;
    /// Control VMs that may bootstrap the log, this one included.
    std::map<VmId, DataCentreId> m_bootstrapCandidates;
    fleet::ForwardedCallTable m_forwardedCalls;
    fleet::EntryVmRegistry m_entryVms;
    /// Number of entry VMs that was last told to them.
    unsigned m_entryCount { 0 };
    fleet::LoadTable m_loads;
    quarantine::Coordinator m_quarantine { quarantine::sharedRequestCrashLimit };
    /// Reports whose storing failed.
    std::vector<quarantine::CrashReport> m_unstoredCrashes;
    Instant m_loadsSentAt;
    std::string m_lastLeader;
    Instant m_stopsBy;
    std::function<void()> m_onFinished;
    unsigned m_ticks { 0 };
    EventHandle m_tick;
};

} // namespace rosemarymill::runtime::nodes
