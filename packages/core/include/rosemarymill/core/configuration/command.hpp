#pragma once

#include <rosemarymill/core/configuration/manifest.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Commands of the configuration log and their answers.
namespace rosemarymill::configuration {

/// Kind of unit that operators take out of service or bring back.
enum class TakeOutUnit : std::uint8_t { DataCentre, Vm };

/// Identity of a take-out. Those accepted by a partitioned data centre contain a counter of the process that accepted
/// them, so that they can be merged into the log later.
struct TakeOutId {
    /// Data centre that accepted the take-out locally; empty when the log accepted it.
    DataCentreId origin;
    /// Boot id of the accepting process; empty when the log accepted it.
    BootId issuer;
    /// Counter of the issuer, or the revision of the log.
    std::uint64_t counter { 0 };

    friend auto operator<=>(const TakeOutId&, const TakeOutId&) = default;
    friend bool operator==(const TakeOutId&, const TakeOutId&) = default;
};

/// A data centre or VM that is out of service.
struct TakeOut {
    TakeOutId id;
    TakeOutUnit unit { TakeOutUnit::Vm };
    std::string name;

    friend bool operator==(const TakeOut&, const TakeOut&) = default;
};

/// Replaces the manifest, provided that none was accepted after the expected revision.
struct SubmitManifest {
    std::string submissionId;
    std::string digest;
    std::optional<Revision> expected;
    Manifest manifest;

    friend bool operator==(const SubmitManifest&, const SubmitManifest&) = default;
};

/// Takes a unit out of service. With an id it merges a take-out that a data centre has accepted locally.
struct AddTakeOut {
    std::string submissionId;
    TakeOut takeOut;

    friend bool operator==(const AddTakeOut&, const AddTakeOut&) = default;
};

/// Brings a unit back. Only the listed take-outs are cancelled; one that the operator had not seen stays in effect.
struct BringBack {
    std::string submissionId;
    TakeOutUnit unit { TakeOutUnit::Vm };
    std::string name;
    std::vector<TakeOutId> cancelled;

    friend bool operator==(const BringBack&, const BringBack&) = default;
};

using Command = std::variant<SubmitManifest, AddTakeOut, BringBack>;

enum class Result : std::uint8_t { Accepted, AlreadyAccepted, Conflict, NotAccepted };

/// Answer to a command, equal at all replicas.
struct Answer {
    std::string submissionId;
    Result result { Result::Accepted };
    /// Revision created by the submission; on a conflict, that of the submission that it conflicts with.
    Revision revision;
    /// Current revision at the time of the answer.
    Revision current;
    std::string detail;

    friend bool operator==(const Answer&, const Answer&) = default;
};

/// Submission id of a command.
[[nodiscard]] inline const std::string& submissionIdOf(const Command& command)
{
    return std::visit([](const auto& it) -> const std::string& { return it.submissionId; }, command);
}

} // namespace rosemarymill::configuration
