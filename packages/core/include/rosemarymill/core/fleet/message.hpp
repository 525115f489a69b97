#pragma once

#include <rosemarymill/core/fleet/forwarded_call.hpp>
#include <rosemarymill/core/fleet/server.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between entry VMs and control VMs.
namespace rosemarymill::fleet {

/// Subscribes to a control VM's members, document and targets. Sent once on each connection.
struct Subscribe {
    /// Address at which other processes reach the sender; empty for entry VMs.
    std::string address;
    bool control { false };
    /// Version of the document that the sender holds.
    std::uint64_t documentVersion { 0 };
    /// The sender accepts calls of operators, but no requests of clients.
    bool gateway { false };
    /// The sender is starting for the first time and may bootstrap the control log.
    bool mayBootstrap { false };
};

/// The leader, the control VMs in the sender's view, and the entry VMs that share limits.
struct Members {
    /// Address of the leader; empty if the sender has no leader.
    std::string leader;
    std::uint64_t term { 0 };
    std::vector<std::string> controls;
    std::vector<std::string> voters;
    /// Empty if the sender's list may be incomplete.
    std::vector<std::string> entryVms;
};

/// Part of the encoded changes between two versions of the document. The parts of one push are sent in order.
struct DocumentPart {
    /// Version to which the changes apply; 0 if the push contains the whole document.
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::uint32_t part { 0 };
    std::uint32_t parts { 1 };
    std::vector<std::byte> bytes;

    friend bool operator==(const DocumentPart&, const DocumentPart&) = default;
};

/// Answer to the last part of a push: the version that is now in force on the entry VM.
struct DocumentInForce {
    std::uint64_t version { 0 };
};

/// Change of the servers to which entry VMs may send requests.
struct TargetsPush {
    TargetDelta delta;
};

/// Requests at one server.
struct ServerLoad {
    ServerId server;
    unsigned requests { 0 };
    /// Prompt tokens that the server has not processed yet.
    unsigned promptTokens { 0 };
};

/// Requests of all entry VMs at each server.
struct LoadsPush {
    std::vector<ServerLoad> loads;
};

/// Observations of an entry VM since its last report.
struct Report {
    /// Requests that the VM currently has at servers.
    std::vector<ServerLoad> loads;
    /// Servers from which the VM received bytes.
    std::vector<ServerId> progressed;
    /// Servers at which the VM's requests are stalled.
    std::vector<ServerId> stalled;
    bool traffic { false };
    std::uint64_t documentVersion { 0 };
};

/// Crashes that an entry VM observed, or that the leader distributes.
struct CrashReports {
    std::vector<quarantine::CrashReport> reports;
};

/// Orders a control VM to bootstrap the control log. Sent by the first seed, to one VM only.
struct Bootstrap { };

/// Keep-alive message on an idle connection.
struct Alive { };

using Message = std::variant<Subscribe, Members, DocumentPart, TargetsPush, Report, Alive, LoadsPush, DocumentInForce,
    CallOffer, CallTicket, ForwardedCall, ForwardedAnswer, Bootstrap, CrashReports>;

} // namespace rosemarymill::fleet
