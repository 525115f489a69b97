#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/placement/message.hpp>

namespace rosemarymill::placement {

std::uint64_t placementHash(const backend::Announcement& server)
{
    auto hash = hash64(server.bootId.text(), hash64(server.id.text()));
    if (server.group)
        hash = hash64("group", hash ^ (server.group->id.value * 64 + server.group->rank));
    for (const auto& model : server.models)
        hash = hash64(model.version, hash64(model.name.text(), hash + model.adapters.size()));
    return hash64(server.leaving ? "leaving" : "", hash);
}

std::uint64_t groupsHash(const GroupTable& groups)
{
    std::uint64_t hash = 0;
    for (const auto& [id, group] : groups)
        hash ^= hash64("group", id.value * 8 + static_cast<std::uint64_t>(group.phase));
    return hash;
}

} // namespace rosemarymill::placement
