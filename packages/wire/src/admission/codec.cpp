#include <rosemarymill/wire/admission/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/admission_generated.hpp>

#include <optional>

namespace rosemarymill::wire::admission {

namespace fbs = generated::admission;

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using rosemarymill::admission::DigestEntry;
using rosemarymill::admission::Grant;
using rosemarymill::admission::HomeDigest;
using rosemarymill::admission::LeaseReport;
using rosemarymill::admission::Message;
using rosemarymill::admission::SlotGrant;
using rosemarymill::admission::SlotRequest;
using rosemarymill::admission::SlotReturn;
using routing::CapacityDigest;

namespace {

std::vector<Offset<fbs::LeaseReport>> pack(FlatBufferBuilder& builder, const std::vector<LeaseReport>& leases)
{
    std::vector<Offset<fbs::LeaseReport>> offsets;
    for (const auto& it : leases) {
        std::vector<Offset<fbs::AccountDemand>> demand;
        for (const auto& entry : it.demand)
            demand.push_back(fbs::CreateAccountDemandDirect(
                builder, entry.account.text().c_str(), entry.inUse, entry.waiting, entry.tokensPerCall));
        offsets.push_back(fbs::CreateLeaseReportDirect(builder, it.server.text().c_str(),
            it.sentAt.time_since_epoch().count(), it.seenGrant, it.inUse, it.tokensInUse, it.completed, it.started,
            it.firstResponse.count(), it.exclusive, &demand));
    }
    return offsets;
}

std::vector<Offset<fbs::Grant>> pack(FlatBufferBuilder& builder, const std::vector<Grant>& grants)
{
    std::vector<Offset<fbs::Grant>> offsets;
    offsets.reserve(grants.size());
    for (const auto& it : grants)
        offsets.push_back(
            fbs::CreateGrantDirect(builder, it.server.text().c_str(), it.reportSentAt.time_since_epoch().count(),
                it.sequence, it.slots, it.tokens, it.free, it.exclusive, it.notHome));
    return offsets;
}

std::vector<Offset<fbs::DigestEntry>> pack(FlatBufferBuilder& builder, const std::vector<DigestEntry>& servers)
{
    std::vector<Offset<fbs::DigestEntry>> offsets;
    offsets.reserve(servers.size());
    for (const auto& it : servers)
        offsets.push_back(fbs::CreateDigestEntryDirect(builder, it.server.text().c_str(), it.bootId.text().c_str(),
            it.vm.text().c_str(), it.address.c_str(), it.service.text().c_str(), it.limit, it.free, it.tokenMemory,
            it.leaving, it.age.count()));
    return offsets;
}

std::vector<LeaseReport> unpack(const flatbuffers::Vector<Offset<fbs::LeaseReport>>* leases)
{
    std::vector<LeaseReport> reports;
    if (!leases)
        return reports;
    for (const auto* it : *leases) {
        LeaseReport report;
        report.server = ServerId { textOf(it->server()) };
        report.sentAt = Instant { Duration { it->sent_at() } };
        report.seenGrant = it->seen_grant();
        report.inUse = it->in_use();
        report.tokensInUse = it->tokens_in_use();
        report.completed = it->completed();
        report.started = it->started();
        report.firstResponse = Duration { it->first_response() };
        report.exclusive = it->exclusive();
        if (const auto* demand = it->demand()) {
            for (const auto* entry : *demand)
                report.demand.push_back({ AccountId { textOf(entry->account()) }, entry->in_use(), entry->waiting(),
                    entry->tokens_per_call() });
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

SlotGrant unpack(const fbs::SlotGrant& table)
{
    SlotGrant message;
    if (const auto* grants = table.grants()) {
        for (const auto* it : *grants)
            message.grants.push_back({ ServerId { textOf(it->server()) }, Instant { Duration { it->report_sent_at() } },
                it->sequence(), it->slots(), it->tokens(), it->free(), it->exclusive(), it->not_home() });
    }
    return message;
}

HomeDigest unpack(const fbs::HomeDigest& table)
{
    HomeDigest message;
    if (!table.servers())
        return message;
    for (const auto* it : *table.servers()) {
        DigestEntry entry;
        entry.server = ServerId { textOf(it->server()) };
        entry.bootId = BootId { textOf(it->boot_id()) };
        entry.vm = VmId { textOf(it->vm()) };
        entry.address = textOf(it->address());
        entry.service = ServiceName { textOf(it->service()) };
        // Only backend servers of kind Service have a service name.
        entry.kind = entry.service.empty() ? backend::Kind::Engine : backend::Kind::Service;
        entry.limit = it->limit();
        entry.free = it->free();
        entry.tokenMemory = it->token_memory();
        entry.leaving = it->leaving();
        entry.age = Duration { it->age() };
        message.servers.push_back(std::move(entry));
    }
    return message;
}

CapacityDigest unpack(const fbs::CapacityDigest& table)
{
    CapacityDigest message { DataCentreId { textOf(table.data_centre()) }, table.accepting(), {} };
    if (const auto* pools = table.pools()) {
        for (const auto* it : *pools)
            message.pools.push_back({ textOf(it->pool()), it->limit(), it->free() });
    }
    return message;
}

struct PackedBody {
    fbs::Body kind { fbs::Body::NONE };
    Offset<void> body;
};

PackedBody pack(FlatBufferBuilder& builder, const Message& message)
{
    return std::visit(
        Overloaded {
            [&](const SlotRequest& it) -> PackedBody {
                const auto leases = pack(builder, it.leases);
                return { fbs::Body::SlotRequest, fbs::CreateSlotRequestDirect(builder, &leases).Union() };
            },
            [&](const SlotGrant& it) -> PackedBody {
                const auto grants = pack(builder, it.grants);
                return { fbs::Body::SlotGrant, fbs::CreateSlotGrantDirect(builder, &grants).Union() };
            },
            [&](const SlotReturn& it) -> PackedBody {
                const auto leases = pack(builder, it.leases);
                return { fbs::Body::SlotReturn, fbs::CreateSlotReturnDirect(builder, &leases).Union() };
            },
            [&](const HomeDigest& it) -> PackedBody {
                const auto servers = pack(builder, it.servers);
                return { fbs::Body::HomeDigest, fbs::CreateHomeDigestDirect(builder, &servers).Union() };
            },
            [&](const CapacityDigest& it) -> PackedBody {
                std::vector<Offset<fbs::PoolCapacity>> pools;
                for (const auto& pool : it.pools)
                    pools.push_back(fbs::CreatePoolCapacityDirect(builder, pool.pool.c_str(), pool.limit, pool.free));
                return {
                    fbs::Body::CapacityDigest,
                    fbs::CreateCapacityDigestDirect(builder, it.dataCentre.text().c_str(), it.accepting, &pools).Union()
                };
            },
        },
        message);
}

} // namespace

void encode(const Message& message, Buffer& buf)
{
    FlatBufferBuilder builder;
    const auto packed = pack(builder, message);
    builder.Finish(fbs::CreateMessage(builder, packed.kind, packed.body));
    appendTable(builder, buf);
}

Result<Message> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fbs::Message>(payload);
    if (!table)
        return DecodeError::Malformed;
    switch (table->body_type()) {
    case fbs::Body::SlotRequest:
        return Message { SlotRequest { unpack(table->body_as_SlotRequest()->leases()) } };
    case fbs::Body::SlotGrant:
        return Message { unpack(*table->body_as_SlotGrant()) };
    case fbs::Body::SlotReturn:
        return Message { SlotReturn { unpack(table->body_as_SlotReturn()->leases()) } };
    case fbs::Body::HomeDigest:
        return Message { unpack(*table->body_as_HomeDigest()) };
    case fbs::Body::CapacityDigest:
        return Message { unpack(*table->body_as_CapacityDigest()) };
    default:
        return DecodeError::Malformed;
    }
}

} // namespace rosemarymill::wire::admission
