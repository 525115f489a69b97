#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/placement/group.hpp>

#include <vector>

/// Groups as an entry VM that is not the placement leader knows them. While there is no leader, reports of the homes
/// still stop groups that are no longer whole.
namespace rosemarymill::placement {

/// Stops serving groups that the announcement contradicts. Returns the groups stopped.
std::vector<GroupId> stopContradictedGroups(GroupTable& groups, const backend::Announcement& announcement);

/// Stops serving groups that have a lost server as a member. Returns the groups stopped.
std::vector<GroupId> stopGroupsOfLostServer(GroupTable& groups, const ServerId& server);

} // namespace rosemarymill::placement
