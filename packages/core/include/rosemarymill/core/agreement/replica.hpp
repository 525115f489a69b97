#pragma once

#include <rosemarymill/core/agreement/event.hpp>
#include <rosemarymill/core/agreement/leadership_transfer.hpp>
#include <rosemarymill/core/agreement/log.hpp>
#include <rosemarymill/core/agreement/progress.hpp>
#include <rosemarymill/core/agreement/rules.hpp>
#include <rosemarymill/core/agreement/voter_set.hpp>
#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <random>
#include <tuple>
#include <type_traits>
#include <utility>

namespace rosemarymill::agreement {

/// One voter of a replicated log with its state machine (Raft). All inputs arrive through `reduce`; outputs are
/// effects. Deterministic: equal settings, persisted states and events give equal effects.
template <typename M, typename Rules = StandardRules> class Replica {
    static_assert(StateMachine<M>);

public:
    using Command = typename M::Command;
    using Snapshot = typename M::Snapshot;
    using Answer = typename M::Answer;
    using PersistedState = agreement::PersistedState<Command, Snapshot>;
    using Message = agreement::Message<Command, Snapshot>;
    using Record = agreement::Record<Command, Snapshot>;
    using Event = agreement::Event<Command, Snapshot>;
    using Effect = agreement::Effect<Command, Snapshot, Answer>;
    using Effects = EffectList<Effect>;

    Replica(Settings settings, const PersistedState& persistedState, M machine = M {})
        : m_settings(std::move(settings))
        , m_hard(persistedState.hard)
        , m_voters(m_settings.voters)
        , m_damaged(persistedState.damaged)
        , m_log(persistedState)
        , m_machine(std::move(machine))
        , m_random(static_cast<std::minstd_rand::result_type>(
              hash64(m_settings.self.text(), m_settings.seed + persistedState.hard.incarnation)))
    {
        m_durableIndex = m_log.lastIndex();
        updateVoters();
        if (!m_damaged)
            applyTo(m_hard.commit, nullptr);
    }

    /// Applies one event and appends its effects.
    void reduce(const Event& event, Effects& effects)
    {
        if (m_damaged)
            return refuseWhenDamaged(event, effects);
        const auto before = leadership();
        const auto votersBefore = voters();
        std::visit(
            [&](const auto& it) {
                m_now = it.now;
                handle(it, effects);
            },
            event);
        advanceTransfer();
        if (m_damaged)
            effects(Diverged { m_hard.commit });
        flush(effects);
        if (voters() != votersBefore)
            effects(VotersChanged { voters() });
        if (const auto after = leadership(); after != before)
            effects(RoleChanged { m_role, m_hard.term, m_leader });
    }

    [[nodiscard]] const M& machine() const noexcept { return m_machine; }
    [[nodiscard]] Role role() const noexcept { return m_role; }
    [[nodiscard]] const VmId& leader() const noexcept { return m_leader; }
    /// Whether this voter leads, or has received a message from its leader within three heartbeat intervals.
    [[nodiscard]] bool hasLiveLeader(Instant now) const noexcept
    {
        return m_role == Role::Leader || (!m_leader.empty() && now < m_lastLeaderContactAt + 3 * m_settings.heartbeat);
    }
    [[nodiscard]] Term term() const noexcept { return m_hard.term; }
    /// Voters by the latest entry of the log, committed or not.
    [[nodiscard]] const std::vector<VmId>& voters() const noexcept { return m_voters.members(); }
    [[nodiscard]] bool isVoter(const VmId& vm) const { return m_voters.contains(vm); }

    /// Leader: time of the last reply from a voter or learner.
    [[nodiscard]] Instant lastReceivedAt(const VmId& vm) const
    {
        const auto it = m_peers.find(vm);
        return it == m_peers.end() ? Instant {} : it->second.lastReceivedAt;
    }
    /// Leader: whether a voter or learner holds all committed entries.
    [[nodiscard]] bool holdsCommitted(const VmId& vm) const
    {
        const auto it = m_peers.find(vm);
        return it != m_peers.end() && it->second.match >= m_hard.commit;
    }
    /// Leader: whether a change of the voters is uncommitted.
    [[nodiscard]] bool changingVoters() const noexcept { return m_voters.index() > m_hard.commit; }
    [[nodiscard]] Index commit() const noexcept { return m_hard.commit; }
    [[nodiscard]] Index applied() const noexcept { return m_applied; }
    [[nodiscard]] const Log<Command, Snapshot>& log() const noexcept { return m_log; }
    [[nodiscard]] bool damaged() const noexcept { return m_damaged; }
    [[nodiscard]] bool joined() const noexcept { return m_hard.joined; }
    [[nodiscard]] bool writable() const noexcept { return m_writable; }

    /// Whether this replica has caught up in the current term: it has applied all entries up to a commit index received
    /// from the term's leader or, as the leader, an entry of its own term.
    [[nodiscard]] bool caughtUp() const noexcept { return m_caughtUp; }

private:
    using Peer = detail::Peer;
    using PendingRecord = detail::PendingRecord;
    using HeldMessage = detail::HeldMessage<Command, Snapshot>;

    /// A snapshot is not sent again to the same voter within this time, so that heartbeats do not repeat it.
    static constexpr Duration snapshotResendInterval = 1s;

    // Event handlers

    void handle(const Started&, Effects&)
    {
        m_hard.incarnation = nextIncarnation(m_hard.incarnation, m_settings.bootNonce);
        m_hardChanged = true;
        resetElectionTimer();
        if (m_settings.firstElectionMax > Duration::zero())
            m_electionAt = m_now + randomIn(m_settings.firstElectionMax / 3, m_settings.firstElectionMax);
        if (m_settings.bootstrapDelay > Duration::zero() && m_log.lastIndex() == 0)
            m_electionAt = m_now + m_settings.bootstrapDelay;
    }

    void handle(const Tick&, Effects&)
    {
        if (m_role == Role::Leader) {
            if (!hasMajorityContact())
                return becomeFollower(m_hard.term, {});
            if (m_now >= m_nextHeartbeat)
                broadcast();
        } else if (m_now >= m_electionAt) {
            startElection(true);
        }
    }

    void handle(const Received<Command, Snapshot>& event, Effects& effects)
    {
        // The sender may be a voter only by entries that this log does not hold yet, so requests are checked by term
        // and log alone.
        if (event.from == m_settings.self)
            return;
        if (const auto* it = std::get_if<OutdatedIncarnation>(&event.message.body))
            return handleOutdated(*it, effects);
        auto& peer = m_peers[event.from];
        if (isOutdated(event.message.incarnation, peer.incarnation)) {
            send(event.from, OutdatedIncarnation { peer.incarnation }, false);
            return;
        }
        if (event.message.incarnation != peer.incarnation) {
            peer.incarnation = event.message.incarnation;
            peer.match = 0;
        }
        std::visit(
            [&](const auto& it) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(it)>, OutdatedIncarnation>)
                    handleBody(event.from, it);
            },
            event.message.body);
    }

    void handle(const Proposed<Command>& event, Effects& effects)
    {
        if (m_role != Role::Leader || !m_writable || m_transfer) {
            const auto error
                = m_role == Role::Leader && !m_writable ? ProposalError::StorageFull : ProposalError::NotLeader;
            effects(Refused<Command> { error, event.command });
            return;
        }
        appendOwn(event.command);
        broadcast();
    }

    void handle(const SetLearners& event, Effects&)
    {
        if (m_role != Role::Leader)
            return;
        m_learners.clear();
        std::copy_if(event.learners.begin(), event.learners.end(), std::back_inserter(m_learners),
            [&](const auto& it) { return !isVoter(it); });
        for (const auto& it : m_learners)
            m_peers.try_emplace(it, Peer { m_log.lastIndex() + 1 });
    }

    void handle(const ChangeVoters& event, Effects&)
    {
        const bool keepsSelf = VoterSet::contains(event.voters, m_settings.self);
        if (m_role != Role::Leader || !m_writable || !m_caughtUp || m_transfer || !keepsSelf)
            return;
        if (Rules::changesOneVoterAtOnce && (changingVoters() || m_voters.differences(event.voters) != 1))
            return;
        appendOwn(std::nullopt, event.voters);
        updateVoters();
        broadcast();
    }

    void handle(const Persisted& event, Effects& effects)
    {
        m_persistedSequence = std::max(m_persistedSequence, event.sequence);
        Index commit = 0;
        while (!m_pending.empty() && m_pending.front().sequence <= event.sequence) {
            m_durableIndex = m_pending.front().lastIndex;
            m_syncTimes.add(m_now - m_pending.front().since);
            commit = std::max(commit, m_pending.front().commit);
            m_pending.pop_front();
        }
        applyTo(std::min(commit, m_durableIndex), &effects);
        advanceCommit();
    }

    void handle(const TransferLeadership&, Effects&)
    {
        if (m_role == Role::Leader && !m_transfer)
            beginTransfer(Duration::max(), true);
    }

    void handle(const StorageChanged& event, Effects&)
    {
        m_writable = event.writable;
        if (!m_writable && m_role == Role::Leader)
            becomeFollower(m_hard.term, {});
    }

    // Elections

    void startElection(bool preliminary)
    {
        resetElectionTimer();
        if (!m_writable || !isVoter(m_settings.self))
            return;
        m_leader = {};
        m_role = preliminary ? Role::Follower : Role::Candidate;
        m_preliminary = preliminary;
        if (!preliminary) {
            ++m_hard.term;
            m_hard.vote = m_settings.self;
            m_hardChanged = true;
            m_caughtUp = false;
        }
        m_electing = true;
        m_grants.clear();
        m_grants[m_settings.self] = m_hard.joined;
        const auto term = preliminary ? m_hard.term + 1 : m_hard.term;
        for (const auto& voter : voters()) {
            if (voter != m_settings.self)
                send(voter, VoteRequest { term, m_log.lastIndex(), m_log.lastTerm(), preliminary }, !preliminary);
        }
        countGrants();
    }

    void countGrants()
    {
        const auto countedVotes = std::count_if(m_grants.begin(), m_grants.end(),
            [](const auto& it) { return it.second || !Rules::requiresUnanimityForLostDisks; });
        if (static_cast<std::size_t>(countedVotes) < m_voters.majority() && m_grants.size() < voters().size())
            return;
        m_electing = false;
        if (m_preliminary)
            startElection(false);
        else
            becomeLeader();
    }

    void becomeLeader()
    {
        m_role = Role::Leader;
        m_leader = m_settings.self;
        m_hard.joined = true;
        m_hardChanged = true;
        for (auto& [vm, peer] : m_peers) {
            peer.next = m_log.lastIndex() + 1;
            peer.match = 0;
        }
        m_learners.clear();
        for (const auto& voter : voters())
            m_peers.try_emplace(voter, Peer { m_log.lastIndex() + 1 }).first->second.lastReceivedAt = m_now;
        // Lists the voters, so that a voter that lost its disk receives them with the log.
        appendOwn(std::nullopt, voters());
        updateVoters();
        m_transferNotBefore = m_now + m_settings.electionMax;
        broadcast();
    }

    void becomeFollower(Term term, const VmId& leader)
    {
        if (term > m_hard.term) {
            m_hard.term = term;
            m_hard.vote = {};
            m_hardChanged = true;
            m_caughtUp = false;
        }
        if (m_role == Role::Leader)
            resetElectionTimer();
        m_role = Role::Follower;
        m_electing = false;
        m_leader = leader;
        m_transfer.reset();
    }

    void handleBody(const VmId& from, const VoteRequest& request)
    {
        const bool upToDate = request.lastTerm > m_log.lastTerm()
            || (request.lastTerm == m_log.lastTerm() && request.lastIndex >= m_log.lastIndex());
        if (request.preliminary) {
            const bool leaderTimedOut = m_role != Role::Leader
                && (m_leader.empty() || m_now >= m_lastLeaderContactAt + m_settings.electionMin);
            const bool granted = leaderTimedOut && upToDate && m_writable && request.term > m_hard.term;
            send(from, VoteReply { granted ? request.term : m_hard.term, granted, true, m_hard.joined }, true);
            return;
        }
        if (request.term > m_hard.term)
            becomeFollower(request.term, {});
        const bool mayVote = m_hard.vote.empty() || m_hard.vote == from || !Rules::oneVotePerTerm;
        const bool granted
            = request.term == m_hard.term && m_role == Role::Follower && mayVote && upToDate && m_writable;
        if (granted) {
            m_hard.vote = from;
            m_hardChanged = true;
            resetElectionTimer();
        }
        send(from, VoteReply { m_hard.term, granted, false, m_hard.joined }, true);
    }

    void handleBody(const VmId& from, const VoteReply& reply)
    {
        if (!reply.granted) {
            if (m_electing && reply.preliminary == m_preliminary && isVoter(from))
                m_electionAt = std::min(m_electionAt, m_now + randomIn(m_settings.retryMin, m_settings.electionMin));
            if (reply.term > m_hard.term)
                becomeFollower(reply.term, {});
            return;
        }
        const auto requestedTerm = m_preliminary ? m_hard.term + 1 : m_hard.term;
        if (!m_electing || reply.preliminary != m_preliminary || reply.term != requestedTerm || !isVoter(from))
            return;
        m_grants[from] = reply.joined;
        countGrants();
    }

    // Leadership transfer

    /// Leader: starts a transfer when its own disk is slow and another voter's is faster, and continues a transfer that
    /// is in progress.
    void advanceTransfer()
    {
        if (m_role != Role::Leader)
            return;
        if (!m_transfer && m_now >= m_transferNotBefore
            && syncTime() >= m_settings.electionMin / detail::slowDiskDivisor)
            beginTransfer(syncTime() / detail::fasterDiskFactor, false);
        if (!m_transfer)
            return;
        if (m_now >= m_transfer->deadline) {
            m_transfer.reset();
            m_transferNotBefore = m_now + m_settings.electionMax;
            return;
        }
        const bool finished = !m_transfer->appliesPendingFirst || m_applied == m_log.lastIndex();
        if (m_now < m_transfer->nextRequestAt || !finished || m_peers[m_transfer->target].match != m_log.lastIndex())
            return;
        m_transfer->nextRequestAt = m_now + m_settings.heartbeat;
        send(m_transfer->target, TakeLead { m_hard.term }, false);
    }

    /// Time that the last records took to be synced. The age of the oldest unsynced record counts half, since one late
    /// record does not make a disk slow.
    [[nodiscard]] Duration syncTime() const
    {
        const auto pending = m_pending.empty() ? Duration::zero() : (m_now - m_pending.front().since) / 2;
        return std::max(m_syncTimes.sustained(), pending);
    }

    /// Starts a transfer to the voter that holds most of the log among those that have replied within two heartbeat
    /// intervals and whose sync time is at most `maxSyncTime`.
    void beginTransfer(Duration maxSyncTime, bool appliesPendingFirst)
    {
        if (changingVoters())
            return;
        const auto receivedAfter = m_now - 2 * m_settings.heartbeat;
        if (const auto* it = detail::transferTarget(voters(), m_settings.self, m_peers, receivedAfter, maxSyncTime))
            m_transfer = detail::TransferState { *it, m_now + m_settings.electionMin, appliesPendingFirst, m_now };
    }

    void handleBody(const VmId& from, const TakeLead& request)
    {
        if (m_role == Role::Follower && request.term == m_hard.term && from == m_leader)
            startElection(false);
    }

    // Replication at the leader

    void appendOwn(std::optional<Command> command, std::vector<VmId> voters = {})
    {
        Entry<Command> entry { m_log.lastIndex() + 1, m_hard.term, std::move(command), std::move(voters) };
        m_record.entries.push_back(entry);
        m_log.append(std::move(entry));
    }

    void broadcast()
    {
        m_nextHeartbeat = m_now + m_settings.heartbeat;
        for (const auto* receivers : { &voters(), &std::as_const(m_learners) }) {
            for (const auto& it : *receivers) {
                if (it != m_settings.self)
                    sendAppend(it, m_peers[it]);
            }
        }
    }

    [[nodiscard]] bool snapshotDue(const Peer& peer) const
    {
        return peer.next <= m_log.base() && m_now >= peer.snapshotSentAt + snapshotResendInterval;
    }

    void sendAppend(const VmId& to, Peer& peer)
    {
        if (snapshotDue(peer)) {
            peer.snapshotSentAt = m_now;
            peer.next = m_log.snapshotIndex() + 1;
            send(to, InstallSnapshot<Snapshot> { m_hard.term, *m_log.snapshot() }, false);
            return;
        }
        const bool heartbeatOnly = peer.next <= m_log.base();
        Append<Command> append { m_hard.term, std::max(peer.next - 1, m_log.base()), 0, m_hard.commit, peer.incarnation,
            {} };
        append.previousTerm = *m_log.termAt(append.previousIndex);
        if (heartbeatOnly)
            return send(to, std::move(append), false);
        std::size_t appendBytes = 0;
        for (auto index = append.previousIndex + 1; index <= m_log.lastIndex(); ++index) {
            const auto& entry = m_log.at(index);
            appendBytes += entry.command ? M::estimatedBytes(*entry.command) : 0;
            if (appendBytes > m_settings.appendWeight && !append.entries.empty())
                break;
            append.entries.push_back(entry);
        }
        peer.next = append.previousIndex + append.entries.size() + 1;
        send(to, std::move(append), false);
    }

    void handleBody(const VmId& from, const AppendReply& reply)
    {
        if (reply.term > m_hard.term)
            return becomeFollower(reply.term, {});
        if (m_role != Role::Leader || reply.term != m_hard.term || reply.match > m_log.lastIndex())
            return;
        auto& peer = m_peers[from];
        peer.lastReceivedAt = m_now;
        peer.syncTime = reply.syncTime;
        if (!reply.accepted) {
            peer.next = std::min(m_log.lastIndex(), std::max(reply.match, peer.match)) + 1;
            if (peer.next > m_log.base() || snapshotDue(peer))
                sendAppend(from, peer);
            return;
        }
        peer.match = std::max(peer.match, reply.match);
        peer.next = std::max(peer.next, peer.match + 1);
        if (peer.next <= m_log.lastIndex())
            sendAppend(from, peer);
        advanceCommit();
    }

    void advanceCommit()
    {
        if (m_role != Role::Leader)
            return;
        std::vector<Index> matches;
        for (const auto& voter : voters())
            matches.push_back(voter == m_settings.self ? m_durableIndex : m_peers[voter].match);
        std::sort(matches.begin(), matches.end(), std::greater<> {});
        const auto index = matches[m_voters.majority() - 1];
        if (index <= m_hard.commit || (Rules::commitsOnlyOwnTerm && m_log.termAt(index) != m_hard.term))
            return;
        setCommit(index);
        broadcast();
    }

    [[nodiscard]] bool hasMajorityContact() const
    {
        const auto responding = std::count_if(voters().begin(), voters().end(), [&](const auto& it) {
            const auto peer = m_peers.find(it);
            return it == m_settings.self
                || (peer != m_peers.end() && m_now < peer->second.lastReceivedAt + m_settings.electionMin);
        });
        return static_cast<std::size_t>(responding) >= m_voters.majority();
    }

    // Replication at a follower

    [[nodiscard]] AppendReply reply(bool accepted, Index match) const
    {
        return { m_hard.term, accepted, match, m_syncTimes.worst() };
    }

    bool acceptLeader(const VmId& from, Term term)
    {
        if (term < m_hard.term) {
            send(from, reply(false, 0), true);
            return false;
        }
        becomeFollower(term, from);
        m_lastLeaderContactAt = m_now;
        resetElectionTimer();
        return true;
    }

    void handleBody(const VmId& from, const Append<Command>& append)
    {
        if (!acceptLeader(from, append.term))
            return;
        const auto localTerm = m_log.termAt(append.previousIndex);
        if (conflictsWithCommitted(append))
            return;
        if (append.previousIndex >= m_log.base() && localTerm != append.previousTerm) {
            const auto hint = localTerm ? m_log.beforeTermOf(append.previousIndex) : m_log.lastIndex();
            send(from, reply(false, hint), true);
            return;
        }
        if (!m_writable && !append.entries.empty())
            return;
        for (const auto& entry : append.entries)
            accept(entry);
        const auto match = append.previousIndex + append.entries.size();
        setCommit(std::min(append.commit, match));
        if (append.receiverIncarnation == m_hard.incarnation && m_log.termAt(append.commit) == append.term
            && match >= append.commit) {
            m_caughtUpAt = append.commit;
            m_caughtUp = m_caughtUp || m_applied >= m_caughtUpAt;
            m_confirmedByLeader = true;
            if (!m_hard.joined) {
                m_hard.joined = true;
                m_hardChanged = true;
            }
        }
        send(from, reply(true, match), true);
    }

    /// A committed entry that differs from the leader's cannot be repaired. The replica then refuses proposals and
    /// ignores all other events.
    bool conflictsWithCommitted(const Append<Command>& append)
    {
        const auto differs = [&](Index index, Term term) {
            return index <= m_hard.commit && index >= m_log.base() && m_log.termAt(index) != term;
        };
        m_damaged = differs(append.previousIndex, append.previousTerm)
            || std::any_of(append.entries.begin(), append.entries.end(),
                [&](const auto& it) { return differs(it.index, it.term); });
        return m_damaged;
    }

    void accept(const Entry<Command>& entry)
    {
        if (entry.index <= m_hard.commit || m_log.termAt(entry.index) == entry.term)
            return;
        if (entry.index <= m_log.lastIndex())
            truncateFrom(entry.index);
        m_record.entries.push_back(entry);
        m_log.append(entry);
        if (!entry.voters.empty())
            updateVoters();
    }

    void truncateFrom(Index index)
    {
        m_log.truncateFrom(index);
        if (m_voters.index() >= index)
            updateVoters();
        m_record.truncateFrom = index;
        m_durableIndex = std::min(m_durableIndex, index - 1);
        for (auto& it : m_pending)
            it.lastIndex = std::min(it.lastIndex, index - 1);
    }

    void handleBody(const VmId& from, const InstallSnapshot<Snapshot>& install)
    {
        if (!acceptLeader(from, install.term))
            return;
        const auto index = install.snapshot.index;
        if (index > m_hard.commit) {
            if (!m_writable)
                return;
            if (m_log.termAt(index) != install.snapshot.term)
                m_record.truncateFrom = 1;
            m_log.install(install.snapshot);
            updateVoters();
            m_record.snapshot = install.snapshot;
            setCommit(index);
        }
        send(from, reply(true, index), true);
    }

    void handleOutdated(const OutdatedIncarnation& it, Effects& effects)
    {
        if (!isOutdated(m_hard.incarnation, it.seen))
            return;
        m_hard.incarnation = nextIncarnation(it.seen, m_settings.bootNonce);
        // If a leader has confirmed this incarnation, the data folder is up to date and the sender's view is not.
        m_hard.joined = m_hard.joined && m_confirmedByLeader;
        m_hardChanged = true;
        m_caughtUp = false;
        // Votes and acknowledgements that rely on the old copy must not be sent under the new incarnation.
        m_outgoing.clear();
        m_held.clear();
        becomeFollower(m_hard.term, {});
        effects(FolderOutdated { it.seen });
    }

    // Commit and application

    void setCommit(Index index)
    {
        if (index <= m_hard.commit)
            return;
        m_hard.commit = index;
        m_hardChanged = true;
    }

    void applyTo(Index limit, Effects* effects)
    {
        if (const auto& snapshot = m_log.snapshot();
            snapshot && snapshot->index > m_applied && snapshot->index <= limit) {
            m_machine.restore(snapshot->state);
            m_applied = snapshot->index;
            if (effects)
                (*effects)(Restored { m_applied });
        }
        // An installed snapshot that is not synced yet has replaced the entries in between.
        if (m_applied < m_log.base())
            return;
        for (limit = std::min(limit, m_log.lastIndex()); m_applied < limit;) {
            const auto& entry = m_log.at(++m_applied);
            if (!entry.command)
                continue;
            m_appliedBytes += M::estimatedBytes(*entry.command);
            auto answer = m_machine.apply(entry.index, *entry.command);
            if (effects)
                (*effects)(Applied<Command, Answer> { entry.index, entry.term, *entry.command, std::move(answer) });
        }
        const bool leads = m_role == Role::Leader && m_log.termAt(m_applied) == m_hard.term;
        if (leads || (m_caughtUpAt && m_applied >= m_caughtUpAt))
            m_caughtUp = true;
        if (effects
            && (m_applied >= m_log.snapshotIndex() + m_settings.snapshotInterval
                || m_appliedBytes >= m_settings.snapshotBytes))
            takeSnapshot();
    }

    void takeSnapshot()
    {
        LogSnapshot<Snapshot> snapshot { m_applied, *m_log.termAt(m_applied), m_machine.snapshot(),
            m_voters.at(m_log, m_applied) };
        m_record.snapshot = snapshot;
        m_appliedBytes = 0;
        m_log.compact(std::move(snapshot), trailingEntries());
    }

    /// Number of applied entries that are kept before a snapshot.
    [[nodiscard]] std::uint64_t trailingEntries() const
    {
        std::uint64_t n = 0;
        std::size_t bytes = 0;
        for (auto index = m_applied; index > m_log.base() && n < m_settings.trailingEntries; --index, ++n) {
            const auto& command = m_log.at(index).command;
            bytes += command ? M::estimatedBytes(*command) : 0;
            if (bytes > m_settings.trailingBytes)
                break;
        }
        return n;
    }

    // Output

    void send(const VmId& to, Body<Command, Snapshot> body, bool afterSync)
    {
        m_outgoing.push_back({ afterSync ? 1U : 0U, to, std::move(body) });
    }

    void flush(Effects& effects)
    {
        if (m_hardChanged || m_record.snapshot || m_record.truncateFrom || !m_record.entries.empty()) {
            m_record.hard = m_hard;
            m_hardChanged = false;
            m_pending.push_back({ ++m_sequence, m_log.lastIndex(), m_hard.commit, m_now });
            effects(Persist<Command, Snapshot> { m_sequence, std::exchange(m_record, {}) });
            if (!Rules::syncsBeforeSending)
                m_durableIndex = m_log.lastIndex();
            if (!Rules::appliesOnlyDurable)
                applyTo(m_hard.commit, &effects);
        }
        for (auto& it : m_outgoing) {
            it.sequence = it.sequence && Rules::syncsBeforeSending ? m_sequence : 0;
            m_held.push_back(std::move(it));
        }
        m_outgoing.clear();
        std::erase_if(m_held, [&](auto& it) {
            if (it.sequence > m_persistedSequence)
                return false;
            effects(Send<Command, Snapshot> { it.to, { m_hard.incarnation, std::move(it.body) } });
            return true;
        });
    }

    void refuseWhenDamaged(const Event& event, Effects& effects)
    {
        if (const auto* it = std::get_if<Proposed<Command>>(&event))
            effects(Refused<Command> { ProposalError::NotLeader, it->command });
    }

    // Voters

    void updateVoters()
    {
        m_voters.update(m_log);
        std::erase_if(m_learners, [&](const auto& it) { return isVoter(it); });
        for (const auto& it : m_voters.members())
            m_peers.try_emplace(it, Peer { m_log.lastIndex() + 1 });
    }

    // Helpers

    [[nodiscard]] Duration randomIn(Duration shortest, Duration longest)
    {
        std::uniform_int_distribution<Duration::rep> range(shortest.count(), longest.count());
        return Duration { range(m_random) };
    }

    void resetElectionTimer() { m_electionAt = m_now + randomIn(m_settings.electionMin, m_settings.electionMax); }

    [[nodiscard]] auto leadership() const { return std::make_tuple(m_role, m_hard.term, m_leader); }

    Settings m_settings;
    HardState m_hard;
    VoterSet m_voters;
    std::vector<VmId> m_learners;
    bool m_damaged { false };
    bool m_writable { true };
    Log<Command, Snapshot> m_log;
    M m_machine;
    std::minstd_rand m_random;
    Instant m_now;
    Role m_role { Role::Follower };
    VmId m_leader;
    Instant m_lastLeaderContactAt;
    Instant m_electionAt;
    Instant m_nextHeartbeat;
    bool m_electing { false };
    bool m_preliminary { false };
    std::map<VmId, bool> m_grants;
    std::map<VmId, Peer> m_peers;
    Index m_applied { 0 };
    /// Estimated size in bytes of the commands applied since the last snapshot.
    std::size_t m_appliedBytes { 0 };
    Index m_durableIndex { 0 };
    Index m_caughtUpAt { 0 };
    bool m_caughtUp { false };
    /// Whether this voter has caught up with a leader that addressed its current incarnation.
    bool m_confirmedByLeader { false };
    Record m_record;
    bool m_hardChanged { false };
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_persistedSequence { 0 };
    std::deque<PendingRecord> m_pending;
    detail::SyncTimes m_syncTimes;
    std::optional<detail::TransferState> m_transfer;
    /// Earliest start of a transfer because of a slow disk. Delayed by `electionMax` after an election and after a
    /// transfer that failed.
    Instant m_transferNotBefore;
    std::vector<HeldMessage> m_outgoing;
    std::deque<HeldMessage> m_held;
};

} // namespace rosemarymill::agreement
