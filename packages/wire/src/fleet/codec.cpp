#include <rosemarymill/wire/fleet/codec.hpp>

#include <rosemarymill/wire/compress/compress.hpp>
#include <rosemarymill/wire/frame/frame.hpp>
#include <rosemarymill/wire/generated/fleet_generated.hpp>
#include <rosemarymill/wire/quarantine/codec.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::fleet {

namespace {

namespace core = rosemarymill::fleet;
namespace fb = generated::fleet;
namespace quarantine = rosemarymill::quarantine;

/// Bytes of a frame that are reserved for message fields other than the document, such as data centres and voters.
constexpr std::size_t messageFieldsBytes = 48 * 1024 + core::maxGroupRecordsBytes + core::maxDeparturesBytes;

static_assert(core::maxStoredDocumentBytes + messageFieldsBytes <= maxFramePayloadBytes);
static_assert(static_cast<core::Encoding>(fb::Encoding::Zstd) == core::Encoding::Zstd);

bool isKnown(fb::Encoding encoding) noexcept { return encoding >= fb::Encoding::MIN && encoding <= fb::Encoding::MAX; }

using CrashReportT = generated::quarantine::CrashReportT;

std::vector<std::uint8_t> bytesOf(const std::string& text) { return { text.begin(), text.end() }; }

std::string textOf(const std::vector<std::uint8_t>& bytes) { return { bytes.begin(), bytes.end() }; }

template <typename Names> std::vector<std::string> textsOf(const Names& names)
{
    std::vector<std::string> texts;
    texts.reserve(names.size());
    for (const auto& it : names)
        texts.push_back(it.text());
    return texts;
}

std::vector<ServerId> serversOf(const std::vector<std::string>& texts) { return { texts.begin(), texts.end() }; }

template <typename Union, typename Packed> Union asUnion(Packed packed)
{
    Union result;
    result.Set(std::move(packed));
    return result;
}

std::unique_ptr<generated::quarantine::Fingerprint> packFingerprint(const Fingerprint& it)
{
    return std::make_unique<generated::quarantine::Fingerprint>(it.high, it.low);
}

std::vector<std::unique_ptr<CrashReportT>> packReports(std::span<const quarantine::CrashReport> reports)
{
    std::vector<std::unique_ptr<CrashReportT>> packed;
    packed.reserve(reports.size());
    for (const auto& it : reports) {
        auto& report = *packed.emplace_back(std::make_unique<CrashReportT>());
        report.kind = static_cast<generated::quarantine::ReportKind>(it.kind);
        report.server = it.crash.server.text();
        report.boot_id = it.crash.bootId.text();
        for (const auto& fingerprint : it.fingerprints)
            report.fingerprints.emplace_back(fingerprint.high, fingerprint.low);
        report.age_us = it.age.count();
        for (const auto& exposure : it.parts) {
            auto& part = *report.parts.emplace_back(std::make_unique<generated::quarantine::ExposureT>());
            part.part = packFingerprint(exposure.part);
            part.request = exposure.request;
            part.in_flight_us = exposure.inFlight.count();
            part.position = exposure.position;
        }
    }
    return packed;
}

std::vector<quarantine::CrashReport> unpackReports(const std::vector<std::unique_ptr<CrashReportT>>& packed)
{
    std::vector<quarantine::CrashReport> reports;
    reports.reserve(packed.size());
    for (const auto& it : packed) {
        if (it->kind > generated::quarantine::ReportKind::MAX)
            continue;
        auto& report = reports.emplace_back(quarantine::CrashReport {
            static_cast<quarantine::ReportKind>(it->kind), { ServerId { it->server }, BootId { it->boot_id } }, {} });
        for (const auto& fingerprint : it->fingerprints)
            report.fingerprints.push_back({ fingerprint.high(), fingerprint.low() });
        report.age = wire::quarantine::boundedTime(it->age_us);
        for (const auto& part : it->parts) {
            if (part->part)
                report.parts.push_back({ { part->part->high(), part->part->low() }, part->request,
                    wire::quarantine::boundedTime(part->in_flight_us), part->position });
        }
    }
    return reports;
}

fb::AnyCommandUnion pack(const core::StoreDocument& it)
{
    fb::StoreDocumentT packed;
    packed.submission = it.submission;
    packed.version = it.version;
    packed.bytes = bytesOf(it.bytes);
    packed.encoding = static_cast<fb::Encoding>(it.encoding);
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

fb::AnyCommandUnion pack(const core::SetOutOfService& it)
{
    fb::SetOutOfServiceT packed;
    packed.submission = it.submission;
    packed.data_centre = it.dataCentre.text();
    packed.out_of_service = it.outOfService;
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

fb::AnyCommandUnion pack(const core::Barrier& it)
{
    fb::BarrierT packed;
    packed.submission = it.submission;
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

fb::AnyCommandUnion pack(const core::StoreCrashes& it)
{
    fb::StoreCrashesT packed;
    packed.submission = it.submission;
    packed.reports = packReports(it.reports);
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

std::unique_ptr<fb::GroupT> packGroup(const core::GroupRecord& it)
{
    auto packed = std::make_unique<fb::GroupT>();
    packed->name = it.name;
    packed->epoch = it.epoch;
    packed->service = it.service.text();
    packed->model = it.model.text();
    packed->may_be_open = it.mayBeOpen;
    for (const auto& from : it.members) {
        auto& member = *packed->members.emplace_back(std::make_unique<fb::GroupMemberT>());
        member.server = from.server.text();
        member.started_at_ms = from.startedAtMs;
        member.sequence = from.sequence;
    }
    return packed;
}

core::GroupRecord unpack(const fb::GroupT& it)
{
    core::GroupRecord group { it.name, it.epoch, ServiceName { it.service }, ModelName { it.model }, {},
        it.may_be_open };
    for (const auto& member : it.members)
        group.members.push_back({ ServerId { member->server }, member->started_at_ms, member->sequence });
    return group;
}

fb::AnyCommandUnion pack(const core::StoreGroup& it)
{
    fb::StoreGroupT packed;
    packed.submission = it.submission;
    packed.group = packGroup(it.group);
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

fb::AnyCommandUnion pack(const core::EraseGroup& it)
{
    fb::EraseGroupT packed;
    packed.submission = it.submission;
    packed.name = it.name;
    packed.epoch = it.epoch;
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

std::unique_ptr<fb::DepartureT> packDeparture(const core::Departure& it)
{
    auto packed = std::make_unique<fb::DepartureT>();
    packed->server = it.server.text();
    packed->started_at_ms = it.startedAtMs;
    return packed;
}

core::Departure unpack(const fb::DepartureT& it) { return { ServerId { it.server }, it.started_at_ms }; }

fb::AnyCommandUnion pack(const core::StoreDeparture& it)
{
    fb::StoreDepartureT packed;
    packed.submission = it.submission;
    packed.departure = packDeparture(it.departure);
    return asUnion<fb::AnyCommandUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::Subscribe& it)
{
    fb::SubscribeT packed;
    packed.address = it.address;
    packed.control = it.control;
    packed.document_version = it.documentVersion;
    packed.gateway = it.gateway;
    packed.may_found = it.mayBootstrap;
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::Members& it)
{
    fb::MembersT packed;
    packed.leader = it.leader;
    packed.term = it.term;
    packed.controls = it.controls;
    packed.voters = it.voters;
    packed.entry_vms = it.entryVms;
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::DocumentPart& it)
{
    fb::DocumentPartT packed;
    packed.from = it.from;
    packed.to = it.to;
    packed.part = it.part;
    packed.parts = it.parts;
    packed.bytes.resize(it.bytes.size());
    std::transform(it.bytes.begin(), it.bytes.end(), packed.bytes.begin(),
        [](std::byte byte) { return std::to_integer<std::uint8_t>(byte); });
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::DocumentInForce& it)
{
    fb::DocumentInForceT packed;
    packed.version = it.version;
    return asUnion<fb::AnyMessageUnion>(packed);
}

fb::TargetT packTarget(const core::Target& it)
{
    fb::TargetT packed;
    packed.id = it.id.text();
    packed.address = it.address;
    packed.service = it.service.text();
    packed.data_centre = it.dataCentre.text();
    packed.model = it.model.text();
    packed.slots = it.slots;
    packed.cold_left_us = it.coldLeft.count();
    packed.boot_id = it.bootId.text();
    return packed;
}

fb::AnyMessageUnion pack(const core::TargetsPush& it)
{
    fb::TargetsT packed;
    packed.full = it.delta.full;
    for (const auto& target : it.delta.upserts)
        packed.upserts.push_back(std::make_unique<fb::TargetT>(packTarget(target)));
    packed.withdrawn = textsOf(it.delta.withdrawn);
    packed.lost = textsOf(it.delta.lost);
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

std::vector<std::unique_ptr<fb::LoadT>> packLoads(const std::vector<core::ServerLoad>& loads)
{
    std::vector<std::unique_ptr<fb::LoadT>> packed;
    packed.reserve(loads.size());
    for (const auto& it : loads) {
        auto& load = *packed.emplace_back(std::make_unique<fb::LoadT>());
        load.server = it.server.text();
        load.requests = it.requests;
        load.prompt_tokens = it.promptTokens;
    }
    return packed;
}

std::vector<core::ServerLoad> unpackLoads(const std::vector<std::unique_ptr<fb::LoadT>>& packed)
{
    std::vector<core::ServerLoad> loads;
    loads.reserve(packed.size());
    for (const auto& it : packed)
        loads.push_back({ ServerId { it->server }, it->requests, it->prompt_tokens });
    return loads;
}

fb::AnyMessageUnion pack(const core::LoadsPush& it)
{
    fb::LoadsT packed;
    packed.loads = packLoads(it.loads);
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::Report& it)
{
    fb::ReportT packed;
    packed.loads = packLoads(it.loads);
    packed.progressed = textsOf(it.progressed);
    packed.stalled = textsOf(it.stalled);
    packed.traffic = it.traffic;
    packed.document_version = it.documentVersion;
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::CrashReports& it)
{
    fb::CrashReportsT packed;
    packed.reports = packReports(it.reports);
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::Bootstrap&) { return asUnion<fb::AnyMessageUnion>(fb::FoundT {}); }

fb::AnyMessageUnion pack(const core::Alive&) { return asUnion<fb::AnyMessageUnion>(fb::AliveT {}); }

fb::AnyMessageUnion pack(const core::CallOffer& it)
{
    fb::CallOfferT packed;
    packed.id = it.id;
    packed.bytes = it.bytes;
    return asUnion<fb::AnyMessageUnion>(packed);
}

fb::AnyMessageUnion pack(const core::CallTicket& it)
{
    fb::CallTicketT packed;
    packed.id = it.id;
    return asUnion<fb::AnyMessageUnion>(packed);
}

fb::AnyMessageUnion pack(const core::ForwardedCall& it)
{
    fb::CarriedCallT packed;
    packed.id = it.id;
    packed.method = it.call.method;
    packed.path = it.call.path;
    packed.body = bytesOf(it.call.body);
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

fb::AnyMessageUnion pack(const core::ForwardedAnswer& it)
{
    fb::CarriedAnswerT packed;
    packed.id = it.id;
    packed.status = it.answer.status;
    packed.body = bytesOf(it.answer.body);
    return asUnion<fb::AnyMessageUnion>(std::move(packed));
}

core::DocumentPart unpack(const fb::DocumentPartT& it)
{
    core::DocumentPart part { it.from, it.to, it.part, it.parts, {} };
    const auto bytes = std::as_bytes(std::span { it.bytes });
    part.bytes.assign(bytes.begin(), bytes.end());
    return part;
}

core::Target unpack(const fb::TargetT& it)
{
    return { ServerId { it.id }, it.address, ServiceName { it.service }, DataCentreId { it.data_centre },
        ModelName { it.model }, it.slots, Duration { it.cold_left_us }, BootId { it.boot_id } };
}

core::TargetsPush unpack(const fb::TargetsT& it)
{
    core::TargetsPush push;
    push.delta.full = it.full;
    for (const auto& target : it.upserts)
        push.delta.upserts.push_back(unpack(*target));
    push.delta.withdrawn = serversOf(it.withdrawn);
    push.delta.lost = serversOf(it.lost);
    return push;
}

} // namespace

void encode(const core::Message& message, Buffer& buf)
{
    fb::MessageT packed;
    packed.message = std::visit([](const auto& it) { return pack(it); }, message);
    packTable(packed, buf);
}

Result<core::Message> decode(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::MessageT>(payload));
    const auto& any = packed.message;
    if (const auto* it = any.AsSubscribe())
        return core::Subscribe { it->address, it->control, it->document_version, it->gateway, it->may_found };
    if (const auto* it = any.AsMembers())
        return core::Members { it->leader, it->term, it->controls, it->voters, it->entry_vms };
    if (const auto* it = any.AsDocumentPart())
        return unpack(*it);
    if (const auto* it = any.AsDocumentInForce())
        return core::DocumentInForce { it->version };
    if (const auto* it = any.AsTargets())
        return unpack(*it);
    if (const auto* it = any.AsReport())
        return core::Report { unpackLoads(it->loads), serversOf(it->progressed), serversOf(it->stalled), it->traffic,
            it->document_version };
    if (const auto* it = any.AsLoads())
        return core::LoadsPush { unpackLoads(it->loads) };
    if (const auto* it = any.AsCallOffer())
        return core::CallOffer { it->id, it->bytes };
    if (const auto* it = any.AsCallTicket())
        return core::CallTicket { it->id };
    if (const auto* it = any.AsCarriedCall())
        return core::ForwardedCall { it->id, { it->method, it->path, textOf(it->body) } };
    if (const auto* it = any.AsCarriedAnswer())
        return core::ForwardedAnswer { it->id, { it->status, textOf(it->body) } };
    if (const auto* it = any.AsCrashReports())
        return core::CrashReports { unpackReports(it->reports) };
    if (any.AsFound())
        return core::Bootstrap {};
    if (any.AsAlive())
        return core::Alive {};
    return DecodeError::UnexpectedKind;
}

void Codec::encodeCommand(const Command& command, Buffer& buf)
{
    fb::CommandT packed;
    packed.command = std::visit([](const auto& it) { return pack(it); }, command);
    packTable(packed, buf);
}

void Codec::encodeSnapshot(const Snapshot& snapshot, Buffer& buf)
{
    fb::SnapshotT packed;
    packed.document = std::make_unique<fb::DocumentT>();
    packed.document->version = snapshot.version;
    packed.document->bytes = bytesOf(snapshot.bytes);
    packed.encoding = static_cast<fb::Encoding>(snapshot.encoding);
    packed.out_of_service.reserve(snapshot.outOfService.size());
    for (const auto& it : snapshot.outOfService)
        packed.out_of_service.emplace_back(std::make_unique<fb::OutOfServiceT>())->data_centre = it.text();
    for (const auto& record : snapshot.crashes) {
        for (const auto& crash : record.crashes) {
            const quarantine::CrashReport report { quarantine::ReportKind::Crashed, crash, { record.fingerprint } };
            packed.crashes.push_back(std::move(packReports({ &report, 1 }).front()));
        }
    }
    for (const auto& it : snapshot.refusedParts) {
        auto& part = *packed.refused_parts.emplace_back(std::make_unique<generated::quarantine::RefusedPartT>());
        part.part = packFingerprint(it.part);
        part.trials = it.trials;
    }
    for (const auto& it : snapshot.groups)
        packed.groups.push_back(packGroup(it));
    for (const auto& it : snapshot.departures.entries())
        packed.departures.push_back(packDeparture(it));
    packTable(packed, buf);
}

Result<Codec::Command> Codec::decodeCommand(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::CommandT>(payload));
    const auto& any = packed.command;
    if (const auto* it = any.AsStoreDocument()) {
        if (!isKnown(it->encoding))
            return DecodeError::UnexpectedKind;
        return core::StoreDocument { it->submission, it->version, textOf(it->bytes),
            static_cast<core::Encoding>(it->encoding) };
    }
    if (const auto* it = any.AsSetOutOfService())
        return core::SetOutOfService { it->submission, DataCentreId { it->data_centre }, it->out_of_service };
    if (const auto* it = any.AsStoreCrashes())
        return core::StoreCrashes { it->submission, unpackReports(it->reports) };
    if (const auto* it = any.AsStoreGroup()) {
        if (it->group->members.empty())
            return DecodeError::UnexpectedKind;
        return core::StoreGroup { it->submission, unpack(*it->group) };
    }
    if (const auto* it = any.AsEraseGroup())
        return core::EraseGroup { it->submission, it->name, it->epoch };
    if (const auto* it = any.AsStoreDeparture())
        return core::StoreDeparture { it->submission, unpack(*it->departure) };
    if (const auto* it = any.AsBarrier())
        return core::Barrier { it->submission };
    return DecodeError::UnexpectedKind;
}

Result<Codec::Snapshot> Codec::decodeSnapshot(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::SnapshotT>(payload));
    if (!isKnown(packed.encoding))
        return DecodeError::UnexpectedKind;
    core::Snapshot snapshot { packed.document->version, textOf(packed.document->bytes), {},
        static_cast<core::Encoding>(packed.encoding), {}, {} };
    for (const auto& it : packed.out_of_service)
        snapshot.outOfService.insert(DataCentreId { it->data_centre });
    for (const auto& it : unpackReports(packed.crashes))
        (void)quarantine::reduce(snapshot.crashes, it);
    for (const auto& it : packed.refused_parts) {
        if (it->part && snapshot.refusedParts.size() < quarantine::maxStoredParts)
            snapshot.refusedParts.push_back({ { it->part->high(), it->part->low() }, it->trials });
    }
    for (const auto& it : packed.groups) {
        if (!it->members.empty())
            (void)core::store(snapshot.groups, unpack(*it));
    }
    for (const auto& it : packed.departures)
        (void)snapshot.departures.add(unpack(*it));
    return snapshot;
}

} // namespace rosemarymill::wire::fleet
