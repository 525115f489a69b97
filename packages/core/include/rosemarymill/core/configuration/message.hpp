#pragma once

#include <rosemarymill/core/configuration/entry_table.hpp>

#include <variant>

/// Messages that distribute the configuration and forward submissions to the log's leader.
namespace rosemarymill::configuration {

/// How current the sender's revision is. A process that has just started decides by it whether to serve callers.
enum class SenderReadiness : std::uint8_t {
    /// The sender is not ready itself.
    NotReady,
    Ready,
    /// The sender leads the log and receives replies from a quorum.
    Quorum
};

/// Entries that changed between two revisions.
struct Push {
    Revision from;
    Revision to;
    std::vector<VersionedEntry> changes;
    SenderReadiness senderReadiness { SenderReadiness::NotReady };
    /// Whether the receiver forwards the push within its data centre.
    bool relay { false };

    friend bool operator==(const Push&, const Push&) = default;
};

/// Asks for all changes after a revision. Answered by a Push, also when there are none.
struct Pull {
    Revision have;

    friend bool operator==(const Pull&, const Pull&) = default;
};

/// Forwards a command towards the leader.
struct Submit {
    std::uint64_t request { 0 };
    Command command;
    /// Number of times that the command was forwarded. A command that has not reached the leader after two is not
    /// accepted.
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
