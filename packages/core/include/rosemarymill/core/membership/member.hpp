#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Members of a data centre and the state that they exchange.
namespace rosemarymill::membership {

/// Status of a member. At equal incarnations the later enumerator takes precedence.
enum class Status : std::uint8_t {
    Alive,
    /// Answered no probe. Becomes Dead unless the member refutes with a higher incarnation.
    Suspect,
    Dead,
    /// Shut down gracefully.
    Left
};

/// Load of the backend servers whose home is one entry VM, or of a whole data centre.
struct LoadDigest {
    std::uint32_t servers { 0 };
    std::uint32_t running { 0 };
    std::uint32_t queued { 0 };
    /// Requests that could still be started.
    std::uint32_t freeSlots { 0 };

    friend bool operator==(const LoadDigest&, const LoadDigest&) = default;
};

/// Facts about the sender, part of every membership message.
struct Facts {
    Revision revision;
    /// Placement leader with the highest fencing number that the sender has seen.
    VmId leader;
    FencingNumber fencing;
    LoadDigest load;

    friend bool operator==(const Facts&, const Facts&) = default;
};

/// Claim about one member.
struct Update {
    VmId vm;
    /// Address of the member's peer listener, "ip:port".
    std::string address;
    /// Address at which backend servers announce themselves to the member, "ip:port".
    std::string announceAddress;
    BootId bootId;
    std::uint64_t incarnation { 0 };
    Status status { Status::Alive };

    friend bool operator==(const Update&, const Update&) = default;
};

/// Member in the view of one process.
struct Member {
    Update claim;
    /// When the status last changed in this process's view.
    Instant changedAt;
    /// Remaining messages that piggy-back the claim.
    std::uint32_t sendsLeft { 0 };
    /// Whether this process raised the suspicion and therefore keeps probing.
    bool suspectedLocally { false };
    Instant lastProbe;
    Facts facts;
};

/// Entry VM of another data centre that exchanges digests for it.
struct Relay {
    VmId vm;
    std::string address;

    friend bool operator==(const Relay&, const Relay&) = default;
};

/// State of a whole data centre, exchanged between data centres.
struct DataCentreDigest {
    DataCentreId dataCentre;
    /// Raised by the data centre's relays each second; a digest replaces only one with a lower version.
    std::uint64_t version { 0 };
    std::uint32_t aliveMembers { 0 };
    Facts facts;
    std::vector<Relay> relays;

    friend bool operator==(const DataCentreDigest&, const DataCentreDigest&) = default;
};

} // namespace rosemarymill::membership
