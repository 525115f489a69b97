#pragma once

#include <rosemarymill/core/membership/member.hpp>

#include <cstdint>
#include <variant>
#include <vector>

/// Messages of the membership module.
namespace rosemarymill::membership {

/// Common part of all messages: the sender, its facts, and claims about other members.
struct Header {
    Update sender;
    DataCentreId dataCentre;
    Facts facts;
    /// Hash of the sender's view of the running members. Different views are reconciled by a full exchange.
    std::uint64_t viewHash { 0 };
    std::vector<Update> updates;

    friend bool operator==(const Header&, const Header&) = default;
};

/// Asks for an Ack with the same sequence.
struct Probe {
    Header header;
    std::uint64_t sequence { 0 };

    friend bool operator==(const Probe&, const Probe&) = default;
};

/// Answers a Probe or, for an indirect probe, forwards the answer.
struct Ack {
    Header header;
    std::uint64_t sequence { 0 };
    /// Member that is alive.
    VmId subject;

    friend bool operator==(const Ack&, const Ack&) = default;
};

/// Asks the receiver to probe a third member and to forward its answer.
struct ProbeRequest {
    Header header;
    std::uint64_t sequence { 0 };
    VmId target;
    std::string targetAddress;

    friend bool operator==(const ProbeRequest&, const ProbeRequest&) = default;
};

/// Sends claims outside of probes: at once after a change, and in a full exchange.
struct Gossip {
    Header header;

    friend bool operator==(const Gossip&, const Gossip&) = default;
};

/// Sends digests between data centres, and from the relays down a tree within one.
struct Digest {
    Header header;
    /// Root of the tree along which the receiver forwards the digests; empty if it does not forward them.
    VmId root;
    std::vector<DataCentreDigest> digests;

    friend bool operator==(const Digest&, const Digest&) = default;
};

using Message = std::variant<Probe, Ack, ProbeRequest, Gossip, Digest>;

/// Header of any message.
[[nodiscard]] const Header& headerOf(const Message& message) noexcept;

} // namespace rosemarymill::membership
