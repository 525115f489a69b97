#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Choice of another data centre for calls that the local one cannot serve in time.
namespace rosemarymill::routing {

/// Time over which the share of calls sent to a data centre that has become available ramps up to its full value.
inline constexpr Duration rampTime = 30s;

/// Maximum age of a digest that is used.
inline constexpr Duration digestTerm = 5s;

/// Time between two digests to a data centre.
inline constexpr Duration digestInterval = 1s;

/// Spare capacity of one pool.
struct PoolCapacity {
    std::string pool;
    std::uint32_t limit { 0 };
    std::uint32_t free { 0 };

    friend bool operator==(const PoolCapacity&, const PoolCapacity&) = default;
};

/// Spare capacity of a data centre, sent by one of its entry VMs.
struct CapacityDigest {
    DataCentreId dataCentre;
    /// The data centre accepts calls from other data centres.
    bool accepting { true };
    std::vector<PoolCapacity> pools;

    friend bool operator==(const CapacityDigest&, const CapacityDigest&) = default;
};

/// This process's view of another data centre.
struct RemoteDataCentre {
    CapacityDigest digest;
    /// Entry VM that sent the newest digest.
    VmId vm;
    Instant receivedAt;
    /// Start of the ramp; before it the data centre was unknown, had no recent digest or accepted no calls.
    Instant availableSince;
    /// Calls sent to each pool since the newest digest.
    std::map<std::string, std::uint32_t> sent;
};

/// All other data centres.
struct RemoteDataCentres {
    std::map<DataCentreId, RemoteDataCentre> dataCentres;
    /// Whether a pool's calls are currently sent to other data centres, with hysteresis.
    std::map<std::string, bool> overflowing;
};

/// Applies a received digest.
void receive(RemoteDataCentres& remotes, const CapacityDigest& digest, const VmId& from, Instant now);

/// Updates, with hysteresis on the local waiting time, whether the pool's calls are sent to other data centres, and
/// returns the new state. A pool without local servers always overflows.
bool updateOverflow(RemoteDataCentres& remotes, const std::string& pool, Duration localWait, bool hasLocalServers);

/// Data centre for one call: the one with the most spare slots within its ramp, or none if no data centre has any.
[[nodiscard]] std::optional<DataCentreId> chooseRemote(
    const RemoteDataCentres& remotes, const std::string& pool, Instant now, const std::vector<DataCentreId>& excluded);

/// Counts a call sent to a data centre.
void countSent(RemoteDataCentres& remotes, const DataCentreId& dataCentre, const std::string& pool);

/// Fraction of a data centre's spare capacity that may be used now, from 0 to 1.
[[nodiscard]] double rampShare(const RemoteDataCentre& remote, Instant now) noexcept;

} // namespace rosemarymill::routing
