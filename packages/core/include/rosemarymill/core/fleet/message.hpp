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

/// Asks a control VM for members, document and targets. Sent once on each connection.
struct Subscribe {
    /// Address for other processes; empty for entry VMs.
    std::string address;
    bool control { false };
    /// Version of the document that the sender holds.
    std::uint64_t documentVersion { 0 };
    /// The sender takes calls of operators, but no requests of clients.
    bool gateway { false };
    /// The sender starts for the first time and may bootstrap the control log.
    bool mayBootstrap { false };
};

/// Who leads, which control VMs are known, and which entry VMs share limits.
struct Members {
    /// Address of the leader; empty when none is known.
    std::string leader;
    std::uint64_t term { 0 };
    std::vector<std::string> controls;
    std::vector<std::string> voters;
    /// Empty when the sender does not know them all.
    std::vector<std::string> entryVms;
};

/// Part of the encoded changes between two versions of the document. The parts of one push come in their order.
struct DocumentPart {
    /// Version from which the changes lead on; 0 when they are the whole document.
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::uint32_t part { 0 };
    std::uint32_t parts { 1 };
    std::vector<std::byte> bytes;

    friend bool operator==(const DocumentPart&, const DocumentPart&) = default;
};

/// Answers the last part of a push with the version that is in force on the entry VM now.
struct DocumentInForce {
    std::uint64_t version { 0 };
};

/// Change of the servers that entry VMs may use.
struct TargetsPush {
    TargetDelta delta;
};

/// Requests at one server.
struct ServerLoad {
    ServerId server;
    unsigned requests { 0 };
    /// Tokens of prompts that the server has yet to read.
    unsigned promptTokens { 0 };
};

/// Requests of all entry VMs at the servers that have any.
struct LoadsPush {
    std::vector<ServerLoad> loads;
};

/// What an entry VM saw since its last report.
struct Report {
    /// Requests that the VM has at servers now.
    std::vector<ServerLoad> loads;
    std::vector<ServerId> progressed;
    std::vector<ServerId> stalled;
    bool traffic { false };
    std::uint64_t documentVersion { 0 };
};

/// Crashes that an entry VM saw, or that the leader tells of.
struct CrashReports {
    std::vector<quarantine::CrashReport> reports;
};

/// Tells a control VM to found the control log. Sent by the first seed, to one VM only.
struct Found { };

/// Keeps a quiet connection known to be working.
struct Alive { };

using Message = std::variant<Subscribe, Members, DocumentPart, TargetsPush, Report, Alive, LoadsPush, DocumentInForce,
    CallOffer, CallTicket, ForwardedCall, ForwardedAnswer, Found, CrashReports>;

} // namespace rosemarymill::fleet
