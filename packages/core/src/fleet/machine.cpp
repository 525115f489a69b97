#include <rosemarymill/core/fleet/machine.hpp>

namespace rosemarymill::fleet {

Machine::Answer Machine::apply(agreement::Index, const Command& command)
{
    Answer answer { submissionOf(command), false };
    if (const auto* it = std::get_if<StoreDocument>(&command)) {
        answer.changed = it->version > m_state.version;
        if (answer.changed) {
            m_state.version = it->version;
            m_state.bytes = it->bytes;
            m_state.encoding = it->encoding;
        }
    } else if (const auto* change = std::get_if<SetOutOfService>(&command)) {
        answer.changed = change->outOfService ? m_state.outOfService.insert(change->dataCentre).second
                                              : m_state.outOfService.erase(change->dataCentre) > 0;
    } else if (const auto* crashes = std::get_if<StoreCrashes>(&command)) {
        for (const auto& report : crashes->reports) {
            answer.changed = quarantine::reduce(m_state.crashes, report) || answer.changed;
            answer.changed = quarantine::reduce(m_state.refusedParts, report) || answer.changed;
        }
    } else if (const auto* group = std::get_if<StoreGroup>(&command)) {
        answer.changed = store(m_state.groups, group->group);
    } else if (const auto* erased = std::get_if<EraseGroup>(&command)) {
        answer.changed = erase(m_state.groups, erased->name, erased->epoch);
    } else if (const auto* departure = std::get_if<StoreDeparture>(&command)) {
        answer.changed = m_state.departures.add(departure->departure);
    }
    return answer;
}

std::size_t Machine::estimatedBytes(const Command& command)
{
    constexpr std::size_t smallCommand = 64;
    std::size_t bytes = smallCommand;
    if (const auto* document = std::get_if<StoreDocument>(&command))
        bytes += document->bytes.size();
    if (const auto* group = std::get_if<StoreGroup>(&command))
        bytes += fleet::estimatedBytes(group->group);
    if (const auto* crashes = std::get_if<StoreCrashes>(&command)) {
        for (const auto& it : crashes->reports)
            bytes += smallCommand + it.fingerprints.size() * sizeof(Fingerprint)
                + it.parts.size() * sizeof(quarantine::Exposure);
    }
    return bytes;
}

} // namespace rosemarymill::fleet
