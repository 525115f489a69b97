#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routing/remote.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages by which entry VMs obtain slots of backend servers from the servers' homes.
namespace rosemarymill::admission {

/// Demand of one client account for a server, as seen by one entry VM.
struct AccountDemand {
    AccountId account;
    std::uint32_t inUse { 0 };
    std::uint32_t waiting { 0 };
    /// Token memory that one of the waiting calls is expected to need.
    std::uint64_t tokensPerCall { 0 };

    friend bool operator==(const AccountDemand&, const AccountDemand&) = default;
};

/// State of one lease at the entry VM that holds it.
struct LeaseReport {
    ServerId server;
    /// Time of sending on the entry VM's clock. The home echoes it and compares it only with other reports of that VM.
    Instant sentAt;
    /// Sequence of the last grant that the entry VM has applied.
    std::uint64_t seenGrant { 0 };
    std::uint32_t inUse { 0 };
    std::uint64_t tokensInUse { 0 };
    /// Answers completed and answers started since the last report, and the mean time to the start of the latter.
    std::uint32_t completed { 0 };
    std::uint32_t started { 0 };
    Duration firstResponse { 0 };
    /// A suspected request waits that has to run alone on the server.
    bool exclusive { false };
    std::vector<AccountDemand> demand;

    friend bool operator==(const LeaseReport&, const LeaseReport&) = default;
};

/// Requests slots from the home and renews the leases listed.
struct SlotRequest {
    std::vector<LeaseReport> leases;

    friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Returns unused slots. The entry VM keeps only the slots in use.
struct SlotReturn {
    std::vector<LeaseReport> leases;

    friend bool operator==(const SlotReturn&, const SlotReturn&) = default;
};

/// Slots of one server that the receiver may have in use at once.
struct Grant {
    ServerId server;
    /// Time of the newest report that the home received, on the receiver's clock. The lease term starts then.
    Instant reportSentAt;
    std::uint64_t sequence { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
    /// Slots of the server that are not leased.
    std::uint32_t free { 0 };
    /// The receiver has exclusive use of the server, to run one suspected request on it.
    bool exclusive { false };
    /// The sender is not the server's home.
    bool notHome { false };

    friend bool operator==(const Grant&, const Grant&) = default;
};

/// Answers slot requests and recalls slots.
struct SlotGrant {
    std::vector<Grant> grants;

    friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Description of a server that its home sends to the other entry VMs of the data centre.
struct DigestEntry {
    ServerId server;
    BootId bootId;
    VmId vm;
    std::string address;
    backend::Kind kind { backend::Kind::Engine };
    ServiceName service;
    std::uint32_t limit { 0 };
    std::uint32_t free { 0 };
    std::uint64_t tokenMemory { 0 };
    bool leaving { false };
    /// Time since the server's last announcement. Entry VMs use the home that received the most recent one.
    Duration age { 0 };

    friend bool operator==(const DigestEntry&, const DigestEntry&) = default;
};

/// All servers that announce to the sender. Sent when the set changes and every digestInterval.
struct HomeDigest {
    std::vector<DigestEntry> servers;

    friend bool operator==(const HomeDigest&, const HomeDigest&) = default;
};

/// Message of the admission module. Capacity digests are sent to other data centres.
using Message = std::variant<SlotRequest, SlotGrant, SlotReturn, HomeDigest, routing::CapacityDigest>;

} // namespace rosemarymill::admission
