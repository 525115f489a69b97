#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Backend servers as control VMs know them.
namespace rosemarymill::fleet {

/// Stage of a member in its group, as the member reports it.
enum class MemberState : std::uint8_t {
    /// Loads or starts the model.
    Joining,
    /// Holds the model and waits for the head to open.
    Ready,
    /// Head that serves.
    Open,
    /// Head that finishes its work.
    Closing,
    /// Head that lost a member and refuses requests.
    Broken
};

/// Place of a server in a group.
struct Membership {
    std::string group;
    std::uint64_t epoch { 0 };
    /// The head has rank 0.
    unsigned rank { 0 };
    MemberState state { MemberState::Joining };

    friend bool operator==(const Membership&, const Membership&) = default;

    /// Whether the group only keeps a spare ready to join others; its head is never opened.
    [[nodiscard]] bool isStandby() const noexcept { return group.starts_with(standbyPrefix); }

    static constexpr std::string_view standbyPrefix = "standby-";
};

/// What a server said of itself in its latest heartbeat.
struct ServerRecord {
    ServerId id;
    /// Start of the process in milliseconds of the server's time of day. Orders the lives of one id and of one address.
    std::int64_t startedAtMs { 0 };
    /// Orders the heartbeats of one life.
    std::uint64_t sequence { 0 };
    ServiceName service;
    std::string address;
    DataCentreId dataCentre;
    /// Empty for servers outside any fabric domain.
    FabricDomainId domain;
    unsigned slots { 0 };
    bool draining { false };
    /// How long the server stays cold.
    Duration coldLeft {};
    /// Models whose weights the host holds.
    std::vector<ModelName> staged;
    /// Models that the server runs as a member of its group.
    std::vector<ModelName> loaded;
    std::optional<Membership> group;

    /// Names the life of the process among those of the server's id.
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

/// Server that entry VMs may send requests to: a server of a plain service, or the head of an open group.
struct Target {
    ServerId id;
    std::string address;
    ServiceName service;
    DataCentreId dataCentre;
    /// Model that the group serves; empty for plain services.
    ModelName model;
    unsigned slots { 0 };
    Duration coldLeft {};
    /// Life of the process.
    BootId bootId {};

    friend bool operator==(const Target&, const Target&) = default;
};

/// Change of the targets. A full change replaces all targets.
struct TargetDelta {
    bool full { false };
    std::vector<Target> upserts;
    /// Takes no new requests; requests that run there finish.
    std::vector<ServerId> withdrawn;
    /// Known to be dead or stalled: streams there have to continue elsewhere.
    std::vector<ServerId> lost;

    [[nodiscard]] bool empty() const noexcept { return !full && upserts.empty() && withdrawn.empty() && lost.empty(); }
};

} // namespace rosemarymill::fleet
