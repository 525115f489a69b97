#include <rosemarymill/core/configuration/machine.hpp>

#include <rosemarymill/core/base/sink.hpp>

#include <algorithm>

namespace rosemarymill::configuration {

namespace {

const char* nameOf(TakeOutUnit unit) { return unit == TakeOutUnit::DataCentre ? "data-centre" : "vm"; }

/// Content that a resend must repeat to count as the same submission.
std::string contentOf(const Command& command)
{
    return std::visit(
        Overloaded {
            [](const SubmitManifest& it) { return it.digest; },
            [](const AddTakeOut& it) {
                return std::string("take-out ") + nameOf(it.takeOut.unit) + " " + it.takeOut.name;
            },
            [](const BringBack& it) { return std::string("bring-back ") + nameOf(it.unit) + " " + it.name; },
        },
        command);
}

} // namespace

Answer Machine::apply(agreement::Index, const Command& command)
{
    const auto& id = submissionIdOf(command);
    if (const auto* previous = find(id)) {
        const auto current = m_table.revision();
        if (previous->digest != contentOf(command))
            return { id, Result::Conflict, previous->revision, current,
                "submission id '" + id + "' was used for other content" };
        std::string detail = "accepted as revision " + std::to_string(previous->revision.value);
        if (current > previous->revision)
            detail += ", superseded by " + std::to_string(current.value);
        return { id, Result::AlreadyAccepted, previous->revision, current, std::move(detail) };
    }
    return std::visit([&](const auto& it) { return applyNew(it); }, command);
}

Answer Machine::applyNew(const SubmitManifest& command)
{
    const auto& general = m_table.general();
    const auto current = m_table.revision();
    if (command.expected && (*command.expected < general.manifestRevision || *command.expected > current))
        return { command.submissionId, Result::Conflict, general.manifestRevision, current,
            "expected revision " + std::to_string(command.expected->value) + ", but submission '" + general.submissionId
                + "' became revision " + std::to_string(general.manifestRevision.value) };
    // A changed list would move keys to other homes, where their calls could run a second time.
    const auto& homes = command.manifest.ledgerHomes;
    if (!general.ledgerHomes.empty()
        && !std::is_permutation(homes.begin(), homes.end(), general.ledgerHomes.begin(), general.ledgerHomes.end()))
        return { command.submissionId, Result::Conflict, general.manifestRevision, current,
            "ledger_homes cannot be changed once it is set" };
    m_table.setManifest(current.next(), command);
    return accept(command.submissionId, command.digest);
}

Answer Machine::applyNew(const AddTakeOut& command)
{
    auto takeOut = command.takeOut;
    const auto revision = m_table.revision().next();
    if (takeOut.id.origin.empty())
        takeOut.id = { {}, {}, revision.value };
    if (m_cancelled.contains(takeOut.id))
        return { command.submissionId, Result::AlreadyAccepted, m_table.revision(), m_table.revision(),
            "the take-out was already cancelled" };
    m_table.addTakeOut(revision, takeOut);
    return accept(command.submissionId, contentOf(command));
}

Answer Machine::applyNew(const BringBack& command)
{
    const auto revision = m_table.revision().next();
    const auto activeTakeOuts = m_table.takeOuts();
    for (const auto& id : command.cancelled) {
        if (!id.origin.empty())
            m_cancelled.insert(id);
        const auto matches
            = [&](const auto& it) { return it.id == id && it.unit == command.unit && it.name == command.name; };
        if (std::any_of(activeTakeOuts.begin(), activeTakeOuts.end(), matches))
            m_table.removeTakeOut(revision, id);
    }
    if (m_table.revision() < revision)
        return { command.submissionId, Result::AlreadyAccepted, m_table.revision(), m_table.revision(),
            "'" + command.name + "' was not out of service" };
    return accept(command.submissionId, contentOf(command));
}

Answer Machine::accept(const std::string& submissionId, std::string digest)
{
    const auto revision = m_table.revision();
    m_submissions.push_back({ submissionId, std::move(digest), revision });
    if (m_submissions.size() > maxStoredSubmissions)
        m_submissions.erase(m_submissions.begin());
    return { submissionId, Result::Accepted, revision, revision,
        "accepted as revision " + std::to_string(revision.value) };
}

const AcceptedSubmission* Machine::find(const std::string& submissionId) const
{
    const auto it = std::find_if(m_submissions.rbegin(), m_submissions.rend(),
        [&](const auto& entry) { return entry.submissionId == submissionId; });
    return it == m_submissions.rend() ? nullptr : &*it;
}

Snapshot Machine::snapshot() const
{
    return { m_table.revision(), m_table.changesSince({}), m_submissions, { m_cancelled.begin(), m_cancelled.end() } };
}

void Machine::restore(Snapshot snapshot)
{
    m_table = {};
    m_table.apply({}, snapshot.revision, snapshot.entries);
    m_submissions = std::move(snapshot.submissions);
    m_cancelled = { snapshot.cancelled.begin(), snapshot.cancelled.end() };
}

std::size_t Machine::estimatedBytes(const Command& command)
{
    constexpr std::size_t entryBytes = 512;
    if (const auto* it = std::get_if<SubmitManifest>(&command)) {
        const auto& manifest = it->manifest;
        return entryBytes * (1 + manifest.models.size() + manifest.accounts.size() + manifest.services.size());
    }
    return entryBytes;
}

} // namespace rosemarymill::configuration
