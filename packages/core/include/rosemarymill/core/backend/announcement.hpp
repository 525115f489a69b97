#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What a backend server says of itself in each heartbeat.
namespace rosemarymill::backend {

/// Kind of a backend server: a model engine or a plain service.
enum class Kind { Engine, Service };

/// A model in one version with the adapters loaded beside it.
struct ModelVersion {
    ModelName name;
    std::string version;
    std::vector<std::string> adapters;

    friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

/// Load as reported by the server. It lags behind the true load.
struct Load {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    std::uint64_t tokensHeld { 0 };

    friend bool operator==(const Load&, const Load&) = default;
};

/// Group that the server has confirmed to belong to.
struct GroupMembership {
    GroupId id;
    FencingNumber fencing;
    std::uint32_t rank { 0 };

    friend bool operator==(const GroupMembership&, const GroupMembership&) = default;
};

/// Changes of the server's prefix cache. The numbers are consecutive when no event was lost.
struct CacheEvents {
    std::uint64_t sequence { 0 };
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;

    friend bool operator==(const CacheEvents&, const CacheEvents&) = default;
};

/// Heartbeat of a backend server.
struct Announcement {
    ServerId id;
    BootId bootId;
    VmId vm;
    DataCentreId dataCentre;
    FabricDomainId fabricDomain;
    /// Address for requests and orders, "ip:port".
    std::string address;
    std::uint32_t accelerators { 0 };
    Kind kind { Kind::Engine };
    /// Set for plain services only.
    ServiceName service;
    std::vector<ModelVersion> models;
    /// Memory for weights in bytes.
    std::uint64_t memoryBytes { 0 };
    /// Tokens that the server can hold at once over all its requests; 0 means no limit.
    std::uint64_t tokenMemory { 0 };
    std::uint32_t maxRequests { 1 };
    bool cold { false };
    /// Requests that the server bears while cold.
    std::uint32_t coldRequests { 1 };
    /// The server is shutting down and takes no new work.
    bool leaving { false };
    Load load;
    std::optional<GroupMembership> group;
    /// Highest fencing number that the server has accepted.
    FencingNumber fencingSeen;
    /// Whether the server refuses orders with an old fencing number.
    bool checksFencing { false };
    CacheEvents cacheEvents;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

} // namespace rosemarymill::backend
