#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Groups of backend servers that serve one replica of a model together.
namespace rosemarymill::placement {

/// Phase in the life of a group. Only a group that is Serving receives calls.
enum class GroupPhase {
    /// Load and join orders are on their way.
    Forming,
    /// All orders are accepted; not all members have confirmed the group yet.
    Confirming,
    Serving,
    /// A member is lost or disagrees. The group is stopped until it is repaired.
    Degraded,
    /// Leave orders are on their way.
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
