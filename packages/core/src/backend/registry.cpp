#include <rosemarymill/core/backend/registry.hpp>

namespace rosemarymill::backend {

namespace {

std::string validateIdentity(const Announcement& announcement, const DataCentreId& dataCentre)
{
    if (announcement.id.empty())
        return "id is empty";
    if (announcement.bootId.empty())
        return "boot_id is empty";
    if (announcement.vm.empty())
        return "vm is empty";
    if (announcement.address.empty())
        return "address is empty";
    if (announcement.dataCentre != dataCentre)
        return "data_centre is '" + announcement.dataCentre.text() + "', this entry VM serves '" + dataCentre.text()
            + "'";
    return {};
}

std::string validateEngine(const Announcement& announcement)
{
    if (announcement.fabricDomain.empty())
        return "fabric_domain is empty for an engine";
    if (!announcement.service.empty())
        return "service is set for an engine";
    if (announcement.accelerators == 0)
        return "accelerators is 0 for an engine";
    return {};
}

std::string validateService(const Announcement& announcement)
{
    if (announcement.service.empty())
        return "service is empty for a plain service";
    if (announcement.group)
        return "group is set for a plain service";
    if (!announcement.models.empty())
        return "models is set for a plain service";
    return {};
}

} // namespace

std::string validate(const Announcement& announcement, const DataCentreId& dataCentre)
{
    if (auto reason = validateIdentity(announcement, dataCentre); !reason.empty())
        return reason;
    if (announcement.maxRequests == 0)
        return "max_requests is 0";
    if (announcement.coldRequests > announcement.maxRequests)
        return "cold_requests is above max_requests";
    if (announcement.group && announcement.group->fencing > announcement.fencingSeen)
        return "group.fencing is above fencing_seen";
    return announcement.kind == Kind::Engine ? validateEngine(announcement) : validateService(announcement);
}

} // namespace rosemarymill::backend
