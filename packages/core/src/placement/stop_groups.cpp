#include <rosemarymill/core/placement/stop_groups.hpp>

namespace rosemarymill::placement {

namespace {

template <typename Contradicts> std::vector<GroupId> stop(GroupTable& groups, Contradicts&& contradicts)
{
    std::vector<GroupId> stopped;
    for (auto& [id, group] : groups) {
        if (group.phase != GroupPhase::Serving)
            continue;
        for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
            if (!contradicts(group, rank))
                continue;
            group.phase = GroupPhase::Degraded;
            stopped.push_back(id);
            break;
        }
    }
    return stopped;
}

} // namespace

std::vector<GroupId> stopContradictedGroups(GroupTable& groups, const backend::Announcement& announcement)
{
    return stop(groups, [&](const Group& group, std::uint32_t rank) {
        const auto& member = group.members[rank];
        if (member.server != announcement.id)
            return false;
        return announcement.leaving || announcement.bootId != member.bootId
            || announcement.group != backend::GroupMembership { group.id, group.fencing, rank };
    });
}

std::vector<GroupId> stopGroupsOfLostServer(GroupTable& groups, const ServerId& server)
{
    return stop(groups, [&](const Group& group, std::uint32_t rank) { return group.members[rank].server == server; });
}

} // namespace rosemarymill::placement
