#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/placement/group.hpp>

#include <vector>

/// Stops groups in the table of an entry VM that is not the placement leader. While there is no leader, the homes'
/// reports still stop groups that have lost a member.
namespace rosemarymill::placement {

/// Marks serving groups that the announcement contradicts as degraded. Returns their ids.
std::vector<GroupId> stopContradictedGroups(GroupTable& groups, const backend::Announcement& announcement);

/// Marks serving groups that have a lost server as a member as degraded. Returns their ids.
std::vector<GroupId> stopGroupsOfLostServer(GroupTable& groups, const ServerId& server);

} // namespace rosemarymill::placement
