#include <rosemarymill/wire/placement/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/placement_generated.hpp>

#include <algorithm>

namespace rosemarymill::wire::placement {

namespace {

namespace core = rosemarymill::placement;
namespace fbs = generated::placement;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

struct Body {
    fbs::Body type { fbs::Body::NONE };
    Offset<void> table;
};

Body pack(FlatBufferBuilder& builder, const core::LeaseRequest& it)
{
    return { fbs::Body::LeaseRequest,
        fbs::CreateLeaseRequestDirect(
            builder, it.candidate.text().c_str(), it.boot.text().c_str(), it.fencing.value, it.sentAt)
            .Union() };
}

Body pack(FlatBufferBuilder& builder, const core::LeaseReply& it)
{
    return { fbs::Body::LeaseReply,
        fbs::CreateLeaseReplyDirect(builder, it.boot.text().c_str(), it.fencing.value, it.sentAt, it.granted,
            it.highest.value, it.holder.text().c_str(), it.remaining)
            .Union() };
}

Body pack(FlatBufferBuilder& builder, const core::LeaseRelease& it)
{
    return { fbs::Body::LeaseRelease,
        fbs::CreateLeaseReleaseDirect(builder, it.boot.text().c_str(), it.fencing.value).Union() };
}

Offset<fbs::Server> pack(FlatBufferBuilder& builder, const backend::Announcement& it)
{
    std::vector<Offset<fbs::ModelVersion>> models;
    for (const auto& model : it.models) {
        std::vector<Offset<flatbuffers::String>> adapters;
        for (const auto& adapter : model.adapters)
            adapters.push_back(builder.CreateString(adapter));
        models.push_back(fbs::CreateModelVersionDirect(
            builder, model.name.text().c_str(), model.version.c_str(), adapters.empty() ? nullptr : &adapters));
    }
    const fbs::Load load(it.load.running, it.load.queued, it.load.tokensHeld);
    const auto membership
        = it.group ? fbs::Membership(it.group->id.value, it.group->fencing.value, it.group->rank) : fbs::Membership();
    return fbs::CreateServerDirect(builder, it.id.text().c_str(), it.bootId.text().c_str(), it.vm.text().c_str(),
        it.dataCentre.text().c_str(), it.fabricDomain.text().c_str(), it.address.c_str(), it.accelerators, &models,
        it.memoryBytes, it.tokenMemory, it.maxRequests, it.cold, it.coldRequests, it.leaving, &load,
        it.group ? &membership : nullptr, it.fencingSeen.value, it.checksFencing);
}

Offset<fbs::HomeDigest> pack(FlatBufferBuilder& builder, const core::HomeDigest& it)
{
    std::vector<Offset<fbs::ModelDemand>> demand;
    for (const auto& model : it.demand)
        demand.push_back(
            fbs::CreateModelDemandDirect(builder, model.model.text().c_str(), model.waiting, model.running));
    return fbs::CreateHomeDigestDirect(
        builder, it.servers, it.serversHash, it.groupsHash, it.running, it.freeSlots, &demand);
}

Body pack(FlatBufferBuilder& builder, const core::ServerReport& it)
{
    std::vector<Offset<fbs::Server>> changed;
    for (const auto& server : it.changed)
        changed.push_back(pack(builder, server));
    std::vector<Offset<flatbuffers::String>> gone;
    for (const auto& server : it.gone)
        gone.push_back(builder.CreateString(server.text()));
    const auto digest = it.digest ? pack(builder, *it.digest) : Offset<fbs::HomeDigest> {};
    return { fbs::Body::ServerReport,
        fbs::CreateServerReportDirect(builder, it.full, &changed, &gone, digest).Union() };
}

Body pack(FlatBufferBuilder& builder, const core::ReportRequest& it)
{
    return { fbs::Body::ReportRequest, fbs::CreateReportRequest(builder, it.fencing.value).Union() };
}

Offset<fbs::Group> pack(FlatBufferBuilder& builder, const core::Group& it)
{
    std::vector<Offset<fbs::Member>> members;
    for (const auto& member : it.members)
        members.push_back(fbs::CreateMemberDirect(builder, member.server.text().c_str(), member.vm.text().c_str(),
            member.bootId.text().c_str(), member.address.c_str()));
    return fbs::CreateGroupDirect(builder, it.id.value, it.fencing.value, it.model.text().c_str(), it.version.c_str(),
        it.fabricDomain.text().c_str(), &members, static_cast<std::uint8_t>(it.phase));
}

Body pack(FlatBufferBuilder& builder, const core::GroupUpdate& it)
{
    std::vector<Offset<fbs::Group>> changed;
    for (const auto& group : it.changed)
        changed.push_back(pack(builder, group));
    std::vector<std::uint64_t> removed;
    for (const auto id : it.removed)
        removed.push_back(id.value);
    return { fbs::Body::GroupUpdate,
        fbs::CreateGroupUpdateDirect(builder, it.fencing.value, it.full, &changed, &removed).Union() };
}

/// Calls the function with each element of a vector field, which may be absent.
template <typename Vector, typename Function> void forEach(const Vector* field, Function&& function)
{
    if (!field)
        return;
    for (const auto it : *field)
        function(it);
}

core::LeaseRequest unpack(const fbs::LeaseRequest& it)
{
    return { VmId { textOf(it.candidate()) }, BootId { textOf(it.boot_id()) }, FencingNumber { it.fencing() },
        it.sent_at() };
}

core::LeaseReply unpack(const fbs::LeaseReply& it)
{
    return { BootId { textOf(it.boot_id()) }, FencingNumber { it.fencing() }, it.sent_at(), it.granted(),
        FencingNumber { it.highest() }, VmId { textOf(it.holder()) }, it.remaining() };
}

core::LeaseRelease unpack(const fbs::LeaseRelease& it)
{
    return { BootId { textOf(it.boot_id()) }, FencingNumber { it.fencing() } };
}

backend::Announcement unpack(const fbs::Server& it)
{
    backend::Announcement server;
    server.id = ServerId { textOf(it.id()) };
    server.bootId = BootId { textOf(it.boot_id()) };
    server.vm = VmId { textOf(it.vm()) };
    server.dataCentre = DataCentreId { textOf(it.data_centre()) };
    server.fabricDomain = FabricDomainId { textOf(it.fabric_domain()) };
    server.address = textOf(it.address());
    server.accelerators = it.accelerators();
    forEach(it.models(), [&](const fbs::ModelVersion* model) {
        backend::ModelVersion modelVersion { ModelName { textOf(model->name()) }, textOf(model->version()), {} };
        forEach(
            model->adapters(), [&](const flatbuffers::String* name) { modelVersion.adapters.push_back(name->str()); });
        server.models.push_back(std::move(modelVersion));
    });
    server.memoryBytes = it.memory_bytes();
    server.tokenMemory = it.token_memory();
    server.maxRequests = it.max_requests();
    server.cold = it.cold();
    server.coldRequests = it.cold_requests();
    server.leaving = it.leaving();
    if (const auto* load = it.load())
        server.load = { load->running(), load->queued(), load->tokens_held() };
    if (const auto* group = it.group())
        server.group = { GroupId { group->id() }, FencingNumber { group->fencing() }, group->rank() };
    server.fencingSeen = FencingNumber { it.fencing_seen() };
    server.checksFencing = it.checks_fencing();
    return server;
}

core::HomeDigest unpack(const fbs::HomeDigest& it)
{
    core::HomeDigest digest { it.servers(), it.servers_hash(), it.groups_hash(), it.running(), it.free_slots(), {} };
    forEach(it.demand(), [&](const fbs::ModelDemand* model) {
        digest.demand.push_back({ ModelName { textOf(model->model()) }, model->waiting(), model->running() });
    });
    return digest;
}

core::ServerReport unpack(const fbs::ServerReport& it)
{
    core::ServerReport report;
    report.full = it.full();
    forEach(it.changed(), [&](const fbs::Server* server) { report.changed.push_back(unpack(*server)); });
    forEach(it.gone(), [&](const flatbuffers::String* server) { report.gone.emplace_back(server->str()); });
    if (it.digest())
        report.digest = unpack(*it.digest());
    return report;
}

core::ReportRequest unpack(const fbs::ReportRequest& it) { return { FencingNumber { it.fencing() } }; }

core::Group unpack(const fbs::Group& it)
{
    core::Group group { GroupId { it.id() }, FencingNumber { it.fencing() }, ModelName { textOf(it.model()) },
        textOf(it.version()), FabricDomainId { textOf(it.fabric_domain()) }, {},
        static_cast<core::GroupPhase>(it.phase()) };
    forEach(it.members(), [&](const fbs::Member* member) {
        group.members.push_back({ ServerId { textOf(member->server()) }, VmId { textOf(member->vm()) },
            BootId { textOf(member->boot_id()) }, textOf(member->address()) });
    });
    return group;
}

core::GroupUpdate unpack(const fbs::GroupUpdate& it)
{
    core::GroupUpdate update { FencingNumber { it.fencing() }, it.full(), {}, {} };
    forEach(it.changed(), [&](const fbs::Group* group) { update.changed.push_back(unpack(*group)); });
    forEach(it.removed(), [&](std::uint64_t id) { update.removed.push_back(GroupId { id }); });
    return update;
}

/// Whether the core can process a message. The core assumes that the phase of a group is known, and it reads the first
/// member without a check unless the group is dissolving.
bool isValid(const core::Message& message)
{
    const auto* update = std::get_if<core::GroupUpdate>(&message);
    if (!update)
        return true;
    return std::all_of(update->changed.begin(), update->changed.end(), [](const core::Group& it) {
        return it.phase <= core::GroupPhase::Dissolving
            && (!it.members.empty() || it.phase == core::GroupPhase::Dissolving);
    });
}

Result<core::Message> unpackBody(const fbs::Message& message)
{
    switch (message.body_type()) {
    case fbs::Body::LeaseRequest:
        return core::Message { unpack(*message.body_as_LeaseRequest()) };
    case fbs::Body::LeaseReply:
        return core::Message { unpack(*message.body_as_LeaseReply()) };
    case fbs::Body::LeaseRelease:
        return core::Message { unpack(*message.body_as_LeaseRelease()) };
    case fbs::Body::ServerReport:
        return core::Message { unpack(*message.body_as_ServerReport()) };
    case fbs::Body::ReportRequest:
        return core::Message { unpack(*message.body_as_ReportRequest()) };
    case fbs::Body::GroupUpdate:
        return core::Message { unpack(*message.body_as_GroupUpdate()) };
    case fbs::Body::NONE:
        break;
    }
    return DecodeError::Malformed;
}

} // namespace

void encode(const core::Message& message, Buffer& buf)
{
    FlatBufferBuilder builder;
    const auto body = std::visit([&](const auto& it) { return pack(builder, it); }, message);
    builder.Finish(fbs::CreateMessage(builder, body.type, body.table));
    appendTable(builder, buf);
}

Result<core::Message> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fbs::Message>(payload);
    if (!table)
        return DecodeError::Malformed;
    auto message = unpackBody(*table);
    if (message && !isValid(message.value()))
        return DecodeError::Malformed;
    return message;
}

} // namespace rosemarymill::wire::placement
