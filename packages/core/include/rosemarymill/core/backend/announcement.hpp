#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Heartbeat in which a backend server announces its identity, capacity and load.
namespace rosemarymill::backend {

/// Kind of a backend server: a model engine or a plain service.
enum class Kind { Engine, Service };

/// A model in one version with its loaded adapters.
struct ModelVersion {
    ModelName name;
    std::string version;
    std::vector<std::string> adapters;

    friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

/// Load as last reported by the server, which lags behind the current load.
struct Load {
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    std::uint64_t tokensHeld { 0 };

    friend bool operator==(const Load&, const Load&) = default;
};

/// Group that the server has confirmed to be a member of.
struct GroupMembership {
    GroupId id;
    FencingNumber fencing;
    std::uint32_t rank { 0 };

    friend bool operator==(const GroupMembership&, const GroupMembership&) = default;
};

/// Changes of the server's prefix cache. A gap in the sequence numbers shows that events were lost.
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
    /// Memory for model weights, in bytes.
    std::uint64_t memoryBytes { 0 };
    /// Tokens that the server can hold at once over all its requests; 0 means no limit.
    std::uint64_t tokenMemory { 0 };
    std::uint32_t maxRequests { 1 };
    bool cold { false };
    /// Concurrent requests that the server can handle while it is cold.
    std::uint32_t coldRequests { 1 };
    /// The server is shutting down and accepts no new requests.
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
