#pragma once

#include <rosemarymill/core/fleet/server.hpp>

#include <string>
#include <vector>

namespace rosemarymill::fleet {

/// Stage of a group at the leader.
enum class GroupPhase : std::uint8_t {
    /// Members were told to join.
    Joining,
    /// The head was told to open.
    Opening,
    Open,
    /// The head was told to close. Its members are not reused before it has closed.
    Closing,
    /// The head cannot be reached. Members were told to leave, which makes the head break after the stall time.
    Abandoned
};

/// Replica of a model.
struct Group {
    std::string name;
    std::uint64_t epoch { 0 };
    ServiceName service;
    ModelName model;
    /// By rank; the head comes first. Empty ids stand for members that the leader has not heard of.
    std::vector<ServerId> members;
    GroupPhase phase { GroupPhase::Joining };
    Instant since;
    /// Members whose host has to load the weights before they are ready.
    std::vector<ServerId> loading;
    /// Last order to each member, by rank.
    std::vector<Instant> orderedAt;
    /// When all members should be ready.
    Instant readyBy;
    /// The group was formed by an earlier leader.
    bool adopted { false };
    /// An order to open may still be carried out late, so the head has to leave before members are reused.
    bool openUncertain { false };
    /// The head has closed and was told to leave.
    bool headLeaving { false };
    /// The head has reported that it serves. A later report that it is ready then shows that it has closed.
    bool sawOpen { false };
    /// An entry VM reported stuck requests; members are probed until this time.
    Instant suspectUntil;
    /// Members that answered a probe since this time are not probed again.
    Instant suspectSince;
    /// Whether work that waits at the head may be dropped on closing.
    bool shed { true };
    /// Last time that an entry VM received bytes from the head.
    Instant progressAt;
    /// When the first member acknowledged or reported that it left.
    Instant leftAt;

    [[nodiscard]] const ServerId& head() const { return members.front(); }
};

} // namespace rosemarymill::fleet
