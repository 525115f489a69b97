#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Backend servers from the view of control VMs.
namespace rosemarymill::fleet {

/// Stage of a member in its group, as the member reports it.
enum class MemberState : std::uint8_t {
    /// Loading or starting the model.
    Joining,
    /// The model is started and the group can be opened.
    Ready,
    /// Head that accepts requests.
    Open,
    /// Head that completes its running requests.
    Closing,
    /// Head that lost a member and refuses requests.
    Broken
};

/// Membership of a server in a group.
struct Membership {
    std::string group;
    std::uint64_t epoch { 0 };
    /// The head has rank 0.
    unsigned rank { 0 };
    MemberState state { MemberState::Joining };

    friend bool operator==(const Membership&, const Membership&) = default;

    /// Whether the group has a spare as its only member, which keeps a model started there; it is never opened.
    [[nodiscard]] bool isStandby() const noexcept { return group.starts_with(standbyPrefix); }

    static constexpr std::string_view standbyPrefix = "standby-";
};

/// Content of a server's latest heartbeat.
struct ServerRecord {
    ServerId id;
    /// Start of the process by the server's wall clock, in milliseconds. Orders the incarnations of one id and of one
    /// address.
    std::int64_t startedAtMs { 0 };
    /// Orders the heartbeats of one incarnation.
    std::uint64_t sequence { 0 };
    ServiceName service;
    std::string address;
    DataCentreId dataCentre;
    /// Empty for servers outside any fabric domain.
    FabricDomainId domain;
    unsigned slots { 0 };
    bool draining { false };
    /// Time from sending the heartbeat until the server's cold start is over.
    Duration coldLeft {};
    /// Models whose weights are stored on the host.
    std::vector<ModelName> staged;
    /// Models that the server runs as a member of its group.
    std::vector<ModelName> loaded;
    std::optional<Membership> group;

    /// Identifies the incarnation of the process among those with the same server id.
    [[nodiscard]] BootId bootId() const { return BootId { std::to_string(startedAtMs) }; }

    [[nodiscard]] bool holds(const ModelName& model) const
    {
        return std::find(staged.begin(), staged.end(), model) != staged.end();
    }

    [[nodiscard]] bool isMemberOf(const std::string& name, std::uint64_t epoch) const
    {
        return group && group->group == name && group->epoch == epoch;
    }
};

/// Server to which entry VMs may send requests: a server of a plain service, or the head of an open group.
struct Target {
    ServerId id;
    std::string address;
    ServiceName service;
    DataCentreId dataCentre;
    /// Model that the group serves; empty for plain services.
    ModelName model;
    unsigned slots { 0 };
    /// Time from publishing the target until the server's cold start is over.
    Duration coldLeft {};
    /// Incarnation of the process.
    BootId bootId {};

    friend bool operator==(const Target&, const Target&) = default;
};

/// Change of the targets. A full change replaces all targets.
struct TargetDelta {
    bool full { false };
    std::vector<Target> upserts;
    /// Servers that get no new requests. Requests that run there continue to their end.
    std::vector<ServerId> withdrawn;
    /// Servers that are dead or stalled. Streams there have to continue on other servers.
    std::vector<ServerId> lost;

    [[nodiscard]] bool empty() const noexcept { return !full && upserts.empty() && withdrawn.empty() && lost.empty(); }
};

} // namespace rosemarymill::fleet
