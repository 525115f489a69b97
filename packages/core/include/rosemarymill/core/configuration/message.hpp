#pragma once

#include <rosemarymill/core/configuration/entry_table.hpp>

#include <variant>

/// Messages that distribute the configuration and pass submissions on to the log's leader.
namespace rosemarymill::configuration {

/// How far the sender's revision can be trusted by a process that has just started.
enum class SenderReadiness : std::uint8_t {
    /// The sender is not ready itself.
    NotReady,
    Ready,
    /// The sender leads the log and hears its quorum.
    Quorum
};

/// Changed entries that lead from one revision to another.
struct Push {
    Revision from;
    Revision to;
    std::vector<VersionedEntry> changes;
    SenderReadiness standing { SenderReadiness::NotReady };
    /// The receiver passes the push on within its data centre.
    bool relay { false };

    friend bool operator==(const Push&, const Push&) = default;
};

/// Asks for all changes after a revision. Answered by a Push, also when there are none.
struct Pull {
    Revision have;

    friend bool operator==(const Pull&, const Pull&) = default;
};

/// Passes a command on towards the leader.
struct Submit {
    std::uint64_t request { 0 };
    Command command;
    /// Processes that the command has passed. A command that found no leader in two steps is not accepted.
    std::uint8_t hops { 0 };

    friend bool operator==(const Submit&, const Submit&) = default;
};

/// Answers a Submit.
struct Reply {
    std::uint64_t request { 0 };
    Answer answer;

    friend bool operator==(const Reply&, const Reply&) = default;
};

using Message = std::variant<Push, Pull, Submit, Reply>;

} // namespace rosemarymill::configuration
