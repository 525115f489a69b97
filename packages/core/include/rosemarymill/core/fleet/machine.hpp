#pragma once

#include <rosemarymill/core/agreement/replica.hpp>
#include <rosemarymill/core/fleet/departure_table.hpp>
#include <rosemarymill/core/fleet/group_records.hpp>
#include <rosemarymill/core/quarantine/stored_record.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Replicated state of the control VMs: the document, the data centres out of service, the groups of model servers, the
/// servers that have departed, and the records of requests that crash servers.
namespace rosemarymill::fleet {

/// Maximum size in bytes of a document as submitted.
inline constexpr std::size_t maxDocumentBytes = 4 * 1024 * 1024;

/// Maximum size in bytes of a document as stored in the log. It has to fit into one frame together with the other
/// fields of a log message, because an entry and a snapshot are each sent as one message.
inline constexpr std::size_t maxStoredDocumentBytes = 960 * 1024;

/// Encoding of a stored document. The values are those of the schema.
enum class Encoding : std::uint8_t {
    /// As submitted.
    Plain = 0,
    /// Compressed with Zstandard.
    Zstd = 1
};

/// Stores a document if its version is higher than the stored one.
struct StoreDocument {
    std::string submission;
    std::uint64_t version { 0 };
    std::string bytes;
    Encoding encoding { Encoding::Plain };

    friend bool operator==(const StoreDocument&, const StoreDocument&) = default;
};

/// Takes a data centre out of service or brings it back.
struct SetOutOfService {
    std::string submission;
    DataCentreId dataCentre;
    bool outOfService { true };

    friend bool operator==(const SetOutOfService&, const SetOutOfService&) = default;
};

/// Changes nothing. Its commit confirms that the leader still leads, so a read after it is up to date.
struct Barrier {
    std::string submission;

    friend bool operator==(const Barrier&, const Barrier&) = default;
};

/// Stores reports on requests that crash servers.
struct StoreCrashes {
    std::string submission;
    std::vector<quarantine::CrashReport> reports;

    friend bool operator==(const StoreCrashes&, const StoreCrashes&) = default;
};

/// Stores a group before servers are ordered to join or open it.
struct StoreGroup {
    std::string submission;
    GroupRecord group;

    friend bool operator==(const StoreGroup&, const StoreGroup&) = default;
};

/// Removes a group whose members may join others.
struct EraseGroup {
    std::string submission;
    std::string name;
    std::uint64_t epoch { 0 };

    friend bool operator==(const EraseGroup&, const EraseGroup&) = default;
};

/// Stores that a server drains or ends.
struct StoreDeparture {
    std::string submission;
    Departure departure;

    friend bool operator==(const StoreDeparture&, const StoreDeparture&) = default;
};

using Command
    = std::variant<StoreDocument, SetOutOfService, Barrier, StoreCrashes, StoreGroup, EraseGroup, StoreDeparture>;

/// Submission id of a command.
[[nodiscard]] inline const std::string& submissionOf(const Command& command)
{
    return std::visit([](const auto& it) -> const std::string& { return it.submission; }, command);
}

/// Complete state of the state machine.
struct Snapshot {
    std::uint64_t version { 0 };
    std::string bytes;
    std::set<DataCentreId> outOfService;
    Encoding encoding { Encoding::Plain };
    quarantine::StoredRecords crashes {};
    quarantine::StoredParts refusedParts {};
    GroupRecords groups {};
    DepartureTable departures {};

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// State machine of the control log.
class Machine {
public:
    using Command = fleet::Command;
    using Snapshot = fleet::Snapshot;

    struct Answer {
        std::string submission;
        /// Whether the command changed the state.
        bool changed { false };
    };

    Answer apply(agreement::Index, const Command& command);
    [[nodiscard]] Snapshot snapshot() const { return m_state; }
    void restore(Snapshot snapshot) { m_state = std::move(snapshot); }
    [[nodiscard]] static std::size_t estimatedBytes(const Command& command);

    [[nodiscard]] const Snapshot& state() const noexcept { return m_state; }

private:
    Snapshot m_state;
};

/// The control log.
using Replica = agreement::Replica<Machine>;
using LogMessage = agreement::Message<Command, Snapshot>;
using LogRecord = agreement::Record<Command, Snapshot>;
using PersistedLog = agreement::PersistedState<Command, Snapshot>;

/// Name of the control log, in messages and in the data folder.
inline constexpr const char* logName = "fleet";

} // namespace rosemarymill::fleet
