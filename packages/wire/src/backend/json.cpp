#include <rosemarymill/wire/backend/json.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace rosemarymill::wire {

namespace {

using nlohmann::json;

/// Ends the reading of a document; caught in decodeAnnouncement.
struct Fault : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Reads members of one JSON object and names the member in each fault.
class Reader {
public:
    Reader(const json& object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    {
        if (!object.is_object())
            throw Fault((m_path.empty() ? "the document" : m_path) + " is not an object");
    }

    [[nodiscard]] const json* find(const char* name) const
    {
        const auto it = m_object.find(name);
        return it == m_object.end() || it->is_null() ? nullptr : &*it;
    }

    [[nodiscard]] std::string pathOf(const char* name) const { return m_path.empty() ? name : m_path + "." + name; }

    [[nodiscard]] std::string text(const char* name, bool required) const
    {
        const auto* value = find(name);
        if (!value && !required)
            return {};
        if (!value || !value->is_string())
            throw Fault(pathOf(name) + " is not a string");
        return value->get<std::string>();
    }

    template <typename Integer> [[nodiscard]] Integer number(const char* name, Integer fallback) const
    {
        const auto* value = find(name);
        if (!value)
            return fallback;
        if (!value->is_number_unsigned())
            throw Fault(pathOf(name) + " is not an unsigned number");
        const auto wide = value->get<std::uint64_t>();
        if (wide > std::numeric_limits<Integer>::max())
            throw Fault(pathOf(name) + " is too large");
        return static_cast<Integer>(wide);
    }

    [[nodiscard]] bool flag(const char* name) const
    {
        const auto* value = find(name);
        if (value && !value->is_boolean())
            throw Fault(pathOf(name) + " is not a boolean");
        return value && value->get<bool>();
    }

    [[nodiscard]] const json& list(const char* name) const
    {
        static const json none = json::array();
        const auto* value = find(name);
        if (value && !value->is_array())
            throw Fault(pathOf(name) + " is not a list");
        return value ? *value : none;
    }

private:
    const json& m_object;
    std::string m_path;
};

std::vector<std::uint64_t> readHashes(const Reader& reader, const char* name)
{
    std::vector<std::uint64_t> hashes;
    for (const auto& it : reader.list(name)) {
        if (!it.is_number_unsigned())
            throw Fault(reader.pathOf(name) + " holds a value that is not an unsigned number");
        hashes.push_back(it.get<std::uint64_t>());
    }
    return hashes;
}

backend::ModelVersion readModel(const json& value)
{
    const Reader reader(value, "models[]");
    backend::ModelVersion model { ModelName { reader.text("name", true) }, reader.text("version", true), {} };
    for (const auto& it : reader.list("adapters")) {
        if (!it.is_string())
            throw Fault("models[].adapters holds a value that is not a string");
        model.adapters.push_back(it.get<std::string>());
    }
    return model;
}

backend::Kind readKind(const std::string& name)
{
    if (name == "engine")
        return backend::Kind::Engine;
    if (name == "service")
        return backend::Kind::Service;
    throw Fault("kind is neither 'engine' nor 'service'");
}

void readIdentity(const Reader& reader, backend::Announcement& it)
{
    it.id = ServerId { reader.text("id", true) };
    it.bootId = BootId { reader.text("boot_id", true) };
    it.vm = VmId { reader.text("vm", true) };
    it.dataCentre = DataCentreId { reader.text("data_centre", true) };
    it.fabricDomain = FabricDomainId { reader.text("fabric_domain", false) };
    it.address = reader.text("address", true);
    it.kind = readKind(reader.text("kind", true));
    it.service = ServiceName { reader.text("service", false) };
}

void readCapacity(const Reader& reader, backend::Announcement& it)
{
    it.accelerators = reader.number<std::uint32_t>("accelerators", 0);
    it.memoryBytes = reader.number<std::uint64_t>("memory_bytes", 0);
    it.tokenMemory = reader.number<std::uint64_t>("token_memory", 0);
    it.maxRequests = reader.number<std::uint32_t>("max_requests", 1);
    it.cold = reader.flag("cold");
    it.coldRequests = reader.number<std::uint32_t>("cold_requests", 1);
    it.leaving = reader.flag("leaving");
    for (const auto& model : reader.list("models"))
        it.models.push_back(readModel(model));
}

void readCondition(const Reader& reader, backend::Announcement& it)
{
    if (const auto* value = reader.find("load")) {
        const Reader load(*value, "load");
        it.load = { load.number<std::uint32_t>("running", 0), load.number<std::uint32_t>("queued", 0),
            load.number<std::uint64_t>("tokens_held", 0) };
    }
    if (const auto* value = reader.find("group")) {
        const Reader group(*value, "group");
        it.group = backend::GroupMembership { GroupId { group.number<std::uint64_t>("id", 0) },
            FencingNumber { group.number<std::uint64_t>("fencing", 0) }, group.number<std::uint32_t>("rank", 0) };
    }
    it.fencingSeen = FencingNumber { reader.number<std::uint64_t>("fencing_seen", 0) };
    it.checksFencing = reader.flag("checks_fencing");
    if (const auto* value = reader.find("cache_events")) {
        const Reader events(*value, "cache_events");
        it.cacheEvents = { events.number<std::uint64_t>("sequence", 0), readHashes(events, "added"),
            readHashes(events, "removed") };
    }
}

const char* nameOf(backend::OrderAction action) noexcept
{
    switch (action) {
    case backend::OrderAction::Load:
        return "load";
    case backend::OrderAction::Unload:
        return "unload";
    case backend::OrderAction::Join:
        return "join";
    case backend::OrderAction::Leave:
        return "leave";
    case backend::OrderAction::Role:
        break;
    }
    return "role";
}

} // namespace

std::variant<backend::Announcement, JsonFault> decodeAnnouncement(std::string_view text)
{
    const auto document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return JsonFault { "the document is not valid JSON" };
    try {
        const Reader reader(document, {});
        backend::Announcement it;
        readIdentity(reader, it);
        readCapacity(reader, it);
        readCondition(reader, it);
        return it;
    } catch (const Fault& fault) {
        return JsonFault { fault.what() };
    }
}

std::string encodeOrder(const backend::Order& order)
{
    const json document { { "order_id", order.orderId }, { "fencing", order.fencing.value },
        { "action", nameOf(order.action) }, { "model", order.model.text() }, { "version", order.version },
        { "adapter", order.adapter }, { "group", order.group.value }, { "members", order.members },
        { "rank", order.rank } };
    return document.dump();
}

} // namespace rosemarymill::wire
