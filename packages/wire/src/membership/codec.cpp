#include <rosemarymill/wire/membership/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/membership_generated.hpp>

namespace rosemarymill::wire::membership {

namespace {

namespace core = rosemarymill::membership;
namespace fbs = generated::membership;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

Offset<fbs::Facts> pack(FlatBufferBuilder& builder, const core::Facts& it)
{
    const fbs::Load load(it.load.servers, it.load.running, it.load.queued, it.load.freeSlots);
    return fbs::CreateFactsDirect(builder, it.revision.value, it.leader.text().c_str(), it.fencing.value, &load);
}

Offset<fbs::Update> pack(FlatBufferBuilder& builder, const core::Update& it)
{
    return fbs::CreateUpdateDirect(builder, it.vm.text().c_str(), it.address.c_str(), it.announceAddress.c_str(),
        it.bootId.text().c_str(), it.incarnation, static_cast<std::uint8_t>(it.status));
}

Offset<fbs::DataCentreDigest> pack(FlatBufferBuilder& builder, const core::DataCentreDigest& it)
{
    std::vector<Offset<fbs::Relay>> relays;
    for (const auto& relay : it.relays)
        relays.push_back(fbs::CreateRelayDirect(builder, relay.vm.text().c_str(), relay.address.c_str()));
    const auto facts = pack(builder, it.facts);
    return fbs::CreateDataCentreDigestDirect(
        builder, it.dataCentre.text().c_str(), it.version, it.aliveMembers, facts, &relays);
}

/// Fields that only some kinds of message have.
struct Extra {
    fbs::Kind kind { fbs::Kind::Gossip };
    std::uint64_t sequence { 0 };
    VmId vm;
    std::string targetAddress;
    const std::vector<core::DataCentreDigest>* digests { nullptr };
};

Extra extraOf(const core::Message& message)
{
    return std::visit(Overloaded {
                          [](const core::Probe& it) -> Extra {
                              return { fbs::Kind::Probe, it.sequence, {}, {}, nullptr };
                          },
                          [](const core::Ack& it) -> Extra {
                              return { fbs::Kind::Ack, it.sequence, it.subject, {}, nullptr };
                          },
                          [](const core::ProbeRequest& it) -> Extra {
                              return { fbs::Kind::ProbeRequest, it.sequence, it.target, it.targetAddress, nullptr };
                          },
                          [](const core::Gossip&) -> Extra {
                              return { fbs::Kind::Gossip, 0, {}, {}, nullptr };
                          },
                          [](const core::Digest& it) -> Extra {
                              return { fbs::Kind::Digest, 0, it.root, {}, &it.digests };
                          },
                      },
        message);
}

core::Facts unpack(const fbs::Facts& it)
{
    core::Facts facts { Revision { it.revision() }, VmId { textOf(it.leader()) }, FencingNumber { it.fencing() }, {} };
    if (const auto* load = it.load())
        facts.load = { load->servers(), load->running(), load->queued(), load->free_slots() };
    return facts;
}

bool isKnown(std::uint8_t status) { return status <= static_cast<std::uint8_t>(core::Status::Left); }

core::Update unpack(const fbs::Update& it)
{
    return { VmId { textOf(it.vm()) }, textOf(it.address()), textOf(it.announce_address()),
        BootId { textOf(it.boot_id()) }, it.incarnation(), static_cast<core::Status>(it.status()) };
}

core::DataCentreDigest unpack(const fbs::DataCentreDigest& it)
{
    core::DataCentreDigest digest { DataCentreId { textOf(it.data_centre()) }, it.version(), it.alive_members(),
        unpack(*it.facts()), {} };
    if (const auto* relays = it.relays()) {
        for (const auto* relay : *relays)
            digest.relays.push_back({ VmId { textOf(relay->vm()) }, textOf(relay->address()) });
    }
    return digest;
}

} // namespace

void encode(const core::Message& message, Buffer& buf)
{
    FlatBufferBuilder builder;
    const auto& header = core::headerOf(message);
    const auto extra = extraOf(message);
    const auto sender = pack(builder, header.sender);
    const auto facts = pack(builder, header.facts);
    std::vector<Offset<fbs::Update>> updates;
    for (const auto& it : header.updates)
        updates.push_back(pack(builder, it));
    std::vector<Offset<fbs::DataCentreDigest>> digests;
    for (std::size_t i = 0; extra.digests && i < extra.digests->size(); ++i)
        digests.push_back(pack(builder, (*extra.digests)[i]));
    builder.Finish(
        fbs::CreateMessageDirect(builder, extra.kind, sender, header.dataCentre.text().c_str(), facts, header.viewHash,
            updates.empty() ? nullptr : &updates, extra.sequence, extra.vm.empty() ? nullptr : extra.vm.text().c_str(),
            extra.targetAddress.empty() ? nullptr : extra.targetAddress.c_str(), digests.empty() ? nullptr : &digests));
    appendTable(builder, buf);
}

Result<core::Message> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fbs::Message>(payload);
    if (!table || !isKnown(table->sender()->status()))
        return DecodeError::Malformed;
    core::Header header { unpack(*table->sender()), DataCentreId { textOf(table->data_centre()) },
        unpack(*table->facts()), table->view_hash(), {} };
    if (const auto* updates = table->updates()) {
        for (const auto* it : *updates) {
            if (!isKnown(it->status()))
                return DecodeError::Malformed;
            header.updates.push_back(unpack(*it));
        }
    }
    const VmId vm { textOf(table->vm()) };
    switch (table->kind()) {
    case fbs::Kind::Probe:
        return core::Message { core::Probe { std::move(header), table->sequence() } };
    case fbs::Kind::Ack:
        return core::Message { core::Ack { std::move(header), table->sequence(), vm } };
    case fbs::Kind::ProbeRequest:
        return core::Message { core::ProbeRequest {
            std::move(header), table->sequence(), vm, textOf(table->target_address()) } };
    case fbs::Kind::Gossip:
        return core::Message { core::Gossip { std::move(header) } };
    case fbs::Kind::Digest: {
        core::Digest digest { std::move(header), vm, {} };
        for (flatbuffers::uoffset_t i = 0; table->digests() && i < table->digests()->size(); ++i)
            digest.digests.push_back(unpack(*table->digests()->Get(i)));
        return core::Message { std::move(digest) };
    }
    }
    return DecodeError::Malformed;
}

} // namespace rosemarymill::wire::membership
