#include <rosemarymill/core/fleet/departure_table.hpp>

#include <algorithm>

namespace rosemarymill::fleet {

namespace {

/// Encoded size in bytes of a departure apart from the server's id.
constexpr std::size_t fieldsBytes = 40;

std::size_t estimatedBytes(const Departure& it) { return fieldsBytes + it.server.text().size(); }

} // namespace

bool DepartureTable::add(const Departure& departure)
{
    if (contains(departure.server, departure.startedAtMs))
        return false;
    const auto isSame = [&](const auto& it) { return it.server == departure.server; };
    if (m_startedAtMs.contains(departure.server))
        m_entries.erase(std::find_if(m_entries.begin(), m_entries.end(), isSame));
    else
        m_bytes += estimatedBytes(departure);
    m_startedAtMs[departure.server] = departure.startedAtMs;
    m_entries.push_back(departure);
    auto dropped = m_entries.begin();
    for (; m_bytes > maxDeparturesBytes; ++dropped) {
        m_bytes -= estimatedBytes(*dropped);
        m_startedAtMs.erase(dropped->server);
    }
    m_entries.erase(m_entries.begin(), dropped);
    return true;
}

bool DepartureTable::contains(const ServerId& server, std::int64_t startedAtMs) const
{
    const auto it = m_startedAtMs.find(server);
    return it != m_startedAtMs.end() && startedAtMs <= it->second;
}

} // namespace rosemarymill::fleet
