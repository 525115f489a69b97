#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Groups of backend servers that serve one replica of a model together.
namespace rosemarymill::placement {

/// Phase of a group. Only a Serving group receives calls.
enum class GroupPhase {
    /// The members load the weights.
    Forming,
    /// All members hold the weights and are ordered to join; not all of them announce the group yet.
    Confirming,
    Serving,
    /// A member was lost, is stuck or no longer announces the group. The group is repaired or dissolved.
    Degraded,
    /// The group finishes its requests, then its members are ordered to leave.
    Dissolving
};

/// Server that belongs to a group, as chosen by the placement leader.
struct Member {
    ServerId server;
    VmId vm;
    BootId bootId;
    std::string address;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Group of servers in one fabric domain, in rank order.
struct Group {
    GroupId id;
    FencingNumber fencing;
    ModelName model;
    std::string version;
    FabricDomainId fabricDomain;
    std::vector<Member> members;
    GroupPhase phase { GroupPhase::Forming };

    friend bool operator==(const Group&, const Group&) = default;
};

/// Groups by id, ordered so that iteration is deterministic.
using GroupTable = std::map<GroupId, Group>;

} // namespace rosemarymill::placement
