#include <rosemarymill/core/fleet/group_records.hpp>

#include <algorithm>
#include <numeric>

namespace rosemarymill::fleet {

namespace {

/// Encoded size in bytes of the fields of a stored group, and of a member, apart from their texts.
constexpr std::size_t groupFieldsBytes = 112;
constexpr std::size_t memberFieldsBytes = 44;

bool sharesMember(const GroupRecord& a, const GroupRecord& b)
{
    return std::any_of(
        a.members.begin(), a.members.end(), [&](const auto& it) { return b.find(it.server) != nullptr; });
}

} // namespace

const GroupMember* GroupRecord::find(const ServerId& server) const noexcept
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.server == server; });
    return it == members.end() ? nullptr : &*it;
}

std::size_t estimatedBytes(const GroupRecord& record) noexcept
{
    const auto texts = record.name.size() + record.service.text().size() + record.model.text().size();
    return std::accumulate(record.members.begin(), record.members.end(), groupFieldsBytes + texts,
        [](std::size_t n, const auto& it) { return n + memberFieldsBytes + it.server.text().size(); });
}

bool store(GroupRecords& records, const GroupRecord& record)
{
    const auto same
        = std::find_if(records.begin(), records.end(), [&](const auto& it) { return it.name == record.name; });
    if (same != records.end() && (*same == record || same->epoch > record.epoch))
        return false;
    std::erase_if(records, [&](const auto& it) {
        return it.name == record.name || (it.epoch < record.epoch && sharesMember(it, record));
    });
    records.insert(std::upper_bound(records.begin(), records.end(), record,
                       [](const auto& a, const auto& b) { return a.epoch < b.epoch; }),
        record);
    auto bytes = std::accumulate(records.begin(), records.end(), std::size_t { 0 },
        [](std::size_t n, const auto& it) { return n + estimatedBytes(it); });
    while (bytes > maxGroupRecordsBytes) {
        bytes -= estimatedBytes(records.front());
        records.erase(records.begin());
    }
    return true;
}

bool erase(GroupRecords& records, const std::string& name, std::uint64_t epoch)
{
    return std::erase_if(records, [&](const auto& it) { return it.name == name && it.epoch <= epoch; }) > 0;
}

} // namespace rosemarymill::fleet
