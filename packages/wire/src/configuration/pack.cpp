#include "pack.hpp"

#include <rosemarymill/core/base/sink.hpp>

namespace rosemarymill::wire::configuration::detail {

namespace {

std::vector<std::string> textsOf(const std::vector<DataCentreId>& ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const auto& it : ids)
        texts.push_back(it.text());
    return texts;
}

std::vector<DataCentreId> dataCentresOf(const std::vector<std::string>& texts)
{
    return { texts.begin(), texts.end() };
}

template <typename T> std::unique_ptr<T> owned(T value) { return std::make_unique<T>(std::move(value)); }

core::TakeOutUnit unitOf(std::uint8_t value)
{
    return value == 0 ? core::TakeOutUnit::DataCentre : core::TakeOutUnit::Vm;
}

} // namespace

fb::ModelT pack(const core::ModelSpec& it)
{
    fb::ModelT packed;
    packed.name = it.name.text();
    packed.version = it.version;
    packed.vms_per_replica = it.vmsPerReplica;
    packed.weight_bytes = it.weightBytes;
    for (const auto& adapter : it.adapters) {
        auto& entry = *packed.adapters.emplace_back(std::make_unique<fb::AdapterT>());
        entry.name = adapter.name;
        entry.version = adapter.version;
    }
    for (const auto& [dataCentre, range] : it.replicas) {
        auto& entry = *packed.replicas.emplace_back(std::make_unique<fb::ReplicasT>());
        entry.data_centre = dataCentre.text();
        entry.minimum = range.minimum;
        entry.maximum = range.maximum;
    }
    return packed;
}

core::ModelSpec unpack(const fb::ModelT& it)
{
    core::ModelSpec model { ModelName { it.name }, it.version, it.vms_per_replica, it.weight_bytes, {}, {} };
    for (const auto& adapter : it.adapters)
        model.adapters.push_back({ adapter->name, adapter->version });
    for (const auto& range : it.replicas)
        model.replicas[DataCentreId { range->data_centre }] = { range->minimum, range->maximum };
    return model;
}

fb::AccountT pack(const core::ClientAccount& it)
{
    fb::AccountT packed;
    packed.id = it.id.text();
    packed.weight = it.weight;
    packed.token_digests = it.tokenDigests;
    for (const auto& kind : it.kinds) {
        auto& entry = *packed.kinds.emplace_back(std::make_unique<fb::RequestKindT>());
        entry.name = kind.name;
        entry.worth = kind.worth;
        entry.deadline_us = kind.deadline.count();
    }
    return packed;
}

core::ClientAccount unpack(const fb::AccountT& it)
{
    core::ClientAccount account { AccountId { it.id }, it.weight, it.token_digests, {} };
    for (const auto& kind : it.kinds)
        account.kinds.push_back({ kind->name, kind->worth, Duration { kind->deadline_us } });
    return account;
}

fb::ServiceT pack(const core::ServiceSpec& it)
{
    fb::ServiceT packed;
    packed.name = it.name.text();
    packed.max_requests = it.maxRequests;
    for (const auto& route : it.routes) {
        auto& entry = *packed.routes.emplace_back(std::make_unique<fb::RouteT>());
        entry.method = route.method;
        entry.path_prefix = route.pathPrefix;
        entry.idempotent = route.idempotent;
    }
    return packed;
}

core::ServiceSpec unpack(const fb::ServiceT& it)
{
    core::ServiceSpec service { ServiceName { it.name }, {}, it.max_requests };
    for (const auto& route : it.routes)
        service.routes.push_back({ route->method, route->path_prefix, route->idempotent });
    return service;
}

fb::GeneralT pack(const core::General& it)
{
    fb::GeneralT packed;
    packed.data_centres = textsOf(it.dataCentres);
    packed.ledger_homes = textsOf(it.ledgerHomes);
    packed.weight_store_bytes_per_second = it.weightStoreBytesPerSecond;
    packed.manifest_revision = it.manifestRevision.value;
    packed.submission_id = it.submissionId;
    packed.digest = it.digest;
    return packed;
}

core::General unpack(const fb::GeneralT& it)
{
    return { dataCentresOf(it.data_centres), dataCentresOf(it.ledger_homes), it.weight_store_bytes_per_second,
        Revision { it.manifest_revision }, it.submission_id, it.digest };
}

fb::TakeOutIdT pack(const core::TakeOutId& it)
{
    fb::TakeOutIdT packed;
    packed.origin = it.origin.text();
    packed.issuer = it.issuer.text();
    packed.counter = it.counter;
    return packed;
}

core::TakeOutId unpack(const fb::TakeOutIdT& it)
{
    return { DataCentreId { it.origin }, BootId { it.issuer }, it.counter };
}

fb::TakeOutT pack(const core::TakeOut& it)
{
    fb::TakeOutT packed;
    packed.id = owned(pack(it.id));
    packed.unit = static_cast<std::uint8_t>(it.unit);
    packed.name = it.name;
    return packed;
}

core::TakeOut unpack(const fb::TakeOutT& it) { return { unpack(*it.id), unitOf(it.unit), it.name }; }

fb::EntryT pack(const core::VersionedEntry& it)
{
    fb::EntryT packed;
    packed.key = it.key;
    packed.revision = it.revision.value;
    std::visit(Overloaded {
                   [](std::monostate) {},
                   [&](const auto& value) { packed.value.Set(pack(value)); },
               },
        it.value);
    return packed;
}

core::VersionedEntry unpack(const fb::EntryT& it)
{
    core::VersionedEntry entry { it.key, Revision { it.revision }, {} };
    if (const auto* general = it.value.AsGeneral())
        entry.value = unpack(*general);
    else if (const auto* model = it.value.AsModel())
        entry.value = unpack(*model);
    else if (const auto* account = it.value.AsAccount())
        entry.value = unpack(*account);
    else if (const auto* service = it.value.AsService())
        entry.value = unpack(*service);
    else if (const auto* takeOut = it.value.AsTakeOut())
        entry.value = unpack(*takeOut);
    return entry;
}

fb::SubmissionT pack(const core::AcceptedSubmission& it)
{
    fb::SubmissionT packed;
    packed.id = it.submissionId;
    packed.digest = it.digest;
    packed.revision = it.revision.value;
    return packed;
}

core::AcceptedSubmission unpack(const fb::SubmissionT& it) { return { it.id, it.digest, Revision { it.revision } }; }

namespace {

fb::SubmitManifestT packCommand(const core::SubmitManifest& it)
{
    fb::SubmitManifestT packed;
    packed.submission_id = it.submissionId;
    packed.digest = it.digest;
    packed.has_expected = it.expected.has_value();
    packed.expected = it.expected.value_or(Revision {}).value;
    packed.general = owned(pack(core::General { it.manifest.dataCentres, it.manifest.ledgerHomes,
        it.manifest.weightStoreBytesPerSecond, {}, it.submissionId, it.digest }));
    packed.models = packAll(it.manifest.models);
    packed.accounts = packAll(it.manifest.accounts);
    packed.services = packAll(it.manifest.services);
    return packed;
}

fb::AddTakeOutT packCommand(const core::AddTakeOut& it)
{
    fb::AddTakeOutT packed;
    packed.submission_id = it.submissionId;
    packed.take_out = owned(pack(it.takeOut));
    return packed;
}

fb::BringBackT packCommand(const core::BringBack& it)
{
    fb::BringBackT packed;
    packed.submission_id = it.submissionId;
    packed.unit = static_cast<std::uint8_t>(it.unit);
    packed.name = it.name;
    packed.cancelled = packAll(it.cancelled);
    return packed;
}

core::SubmitManifest unpackCommand(const fb::SubmitManifestT& it)
{
    const auto general = unpack(*it.general);
    core::SubmitManifest command { it.submission_id, it.digest, std::nullopt,
        { general.dataCentres, unpackAll(it.models), unpackAll(it.accounts), unpackAll(it.services),
            general.ledgerHomes, general.weightStoreBytesPerSecond } };
    if (it.has_expected)
        command.expected = Revision { it.expected };
    return command;
}

} // namespace

fb::CommandT pack(const core::Command& it)
{
    fb::CommandT packed;
    std::visit([&](const auto& command) { packed.command.Set(packCommand(command)); }, it);
    return packed;
}

std::optional<core::Command> unpack(const fb::CommandT& it)
{
    if (const auto* submit = it.command.AsSubmitManifest())
        return unpackCommand(*submit);
    if (const auto* add = it.command.AsAddTakeOut())
        return core::AddTakeOut { add->submission_id, unpack(*add->take_out) };
    if (const auto* back = it.command.AsBringBack())
        return core::BringBack { back->submission_id, unitOf(back->unit), back->name, unpackAll(back->cancelled) };
    return std::nullopt;
}

} // namespace rosemarymill::wire::configuration::detail
