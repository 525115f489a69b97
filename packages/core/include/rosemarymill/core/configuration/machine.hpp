#pragma once

#include <rosemarymill/core/agreement/record.hpp>
#include <rosemarymill/core/configuration/entry_table.hpp>

#include <map>
#include <set>

namespace rosemarymill::configuration {

/// Submission that was accepted, kept so that a resend gets its original answer.
struct AcceptedSubmission {
    std::string submissionId;
    /// Digest of the manifest, or a text that describes the availability change.
    std::string digest;
    Revision revision;

    friend bool operator==(const AcceptedSubmission&, const AcceptedSubmission&) = default;
};

/// Complete state of the machine.
struct Snapshot {
    Revision revision;
    std::vector<VersionedEntry> entries;
    /// Oldest first.
    std::vector<AcceptedSubmission> submissions;
    /// Local take-outs cancelled before or after their merge. They are never applied again.
    std::vector<TakeOutId> cancelled;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// State machine of the configuration log. Every accepted command creates one revision.
class Machine {
public:
    using Command = configuration::Command;
    using Snapshot = configuration::Snapshot;
    using Answer = configuration::Answer;

    /// Accepted submissions that are kept for resends: about two days of changes at the design size.
    static constexpr std::size_t maxStoredSubmissions = 4096;

    Answer apply(agreement::Index index, const Command& command);
    [[nodiscard]] Snapshot snapshot() const;
    void restore(Snapshot snapshot);
    [[nodiscard]] static std::size_t estimatedBytes(const Command& command);

    [[nodiscard]] const EntryTable& table() const noexcept { return m_table; }
    [[nodiscard]] const std::vector<AcceptedSubmission>& submissions() const noexcept { return m_submissions; }

private:
    [[nodiscard]] const AcceptedSubmission* find(const std::string& submissionId) const;
    Answer accept(const std::string& submissionId, std::string digest);
    Answer applyNew(const SubmitManifest& command);
    Answer applyNew(const AddTakeOut& command);
    Answer applyNew(const BringBack& command);

    EntryTable m_table;
    std::vector<AcceptedSubmission> m_submissions;
    std::set<TakeOutId> m_cancelled;
};

} // namespace rosemarymill::configuration
