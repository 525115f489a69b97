#pragma once

#include <rosemarymill/core/ledger/machine.hpp>

#include <variant>

/// Messages between dispatchers and the voters of a ledger home.
namespace rosemarymill::ledger {

/// Asks a voter of the home to apply a command.
struct Request {
    DataCentreId home;
    Command command;

    friend bool operator==(const Request&, const Request&) = default;
};

/// Result of a committed command.
struct Reply {
    DataCentreId home;
    Token token;
    Outcome outcome;

    friend bool operator==(const Reply&, const Reply&) = default;
};

/// The voter does not lead the log; nothing was applied.
struct NotLeader {
    DataCentreId home;
    Token token;
    /// Leader in the voter's view; empty when it has none.
    VmId leader;

    friend bool operator==(const NotLeader&, const NotLeader&) = default;
};

/// Asks a dispatcher about a reservation that has been open for some time, see `checkAge`.
struct Check {
    DataCentreId home;
    Key key;
    Token token;

    friend bool operator==(const Check&, const Check&) = default;
};

using Message = std::variant<Request, Reply, NotLeader, Check>;

/// Token of a command; empty for an Advance.
[[nodiscard]] Token tokenOf(const Command& command);

} // namespace rosemarymill::ledger
