#pragma once

#include <rosemarymill/core/fleet/server.hpp>

#include <string>
#include <vector>

namespace rosemarymill::fleet {

/// Stage of a group at the leader.
enum class GroupPhase : std::uint8_t {
    /// The group is stored in the control log, then members are ordered to join.
    Joining,
    /// The head was ordered to open.
    Opening,
    Open,
    /// The head was ordered to close. The members are not reused until it has closed.
    Closing,
    /// The head does not respond. Other members were ordered to leave, so that the head stops serving after the stall
    /// time.
    HeadUnreachable
};

/// Servers that together run one replica of a model.
struct Group {
    std::string name;
    std::uint64_t epoch { 0 };
    ServiceName service;
    ModelName model;
    /// By rank; the head comes first. Empty ids are placeholders for members of a recovered group that have not sent a
    /// heartbeat to this leader yet.
    std::vector<ServerId> members;
    GroupPhase phase { GroupPhase::Joining };
    Instant since;
    /// Members whose host still has to load the weights before they are ready.
    std::vector<ServerId> loading;
    /// Time of the last order to each member, by rank.
    std::vector<Instant> orderedAt;
    /// Time by which all members are expected to be ready.
    Instant readyBy;
    /// The group was formed by an earlier leader.
    bool recovered { false };
    /// The control log holds the group, so members may be ordered to join.
    bool stored { false };
    /// The group was submitted to the control log, and the outcome is not known yet.
    bool storing { false };
    /// Member of a recovered group whose process has restarted since the group was stored.
    ServerId restartedMember;
    /// The head's process has restarted, so it does not serve.
    bool headRestarted { false };
    /// An order of an earlier leader to open may still be executed.
    bool openUncertain { false };
    /// Orders to open that the head has not answered. Each may be executed at any time, also after later orders.
    unsigned unansweredOpens { 0 };
    /// The head has accepted an order to open, and has not reported that it is open.
    bool openPending { false };
    /// The head has closed and was ordered to leave.
    bool headLeaving { false };
    /// The head has reported that it is open. If it reports later that it is ready, it has closed.
    bool reportedOpen { false };
    /// Members are probed until this time because an entry VM reported stalled requests.
    Instant suspectUntil;
    /// Members that have answered a probe since this time are not probed again.
    Instant suspectSince;
    /// Whether the head may drop its queued requests on closing.
    bool shed { true };
    /// Last time that an entry VM received bytes from the head.
    Instant progressAt;
    /// When the first member acknowledged an order to leave, or reported that it has left.
    Instant leftAt;

    [[nodiscard]] const ServerId& head() const { return members.front(); }

    /// Whether the head may open at a later time, so that it has to leave before the members are reused. Its answer to
    /// an order to close does not prove the opposite.
    [[nodiscard]] bool mayOpenLater() const noexcept { return openUncertain || unansweredOpens > 0 || openPending; }
};

} // namespace rosemarymill::fleet
