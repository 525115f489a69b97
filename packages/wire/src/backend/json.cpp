#include <rosemarymill/wire/backend/json.hpp>

#include <rosemarymill/wire/json/object_reader.hpp>
#include <rosemarymill/wire/json/parse.hpp>

#include <limits>

namespace rosemarymill::wire {

namespace {

using nlohmann::json;

/// Maximum length of a string member in bytes. Ids and addresses are far shorter.
constexpr std::size_t maxStringBytes = 256;

/// Reads the members of one JSON object of an announcement.
class Reader {
public:
    Reader(const json& value, std::string path, std::vector<JsonFault>& faults)
        : m_reader(value, std::move(path), faults)
        , m_faults(faults)
    {
    }

    [[nodiscard]] std::string text(const std::string& key, bool required = true)
    {
        return m_reader.text(
            key, [](std::string_view it) { return it.size() <= maxStringBytes; }, "a string of at most 256 bytes",
            required ? std::nullopt : std::optional<std::string> { "" });
    }

    template <typename Integer> [[nodiscard]] Integer integer(const std::string& key, Integer fallback)
    {
        return static_cast<Integer>(m_reader.integer(key, 0, std::numeric_limits<Integer>::max(), fallback));
    }

    [[nodiscard]] bool boolean(const std::string& key) { return m_reader.boolean(key, false); }

    template <typename Visit> void object(const std::string& key, Visit visit)
    {
        if (const auto* value = m_reader.member(key); value && !value->is_null())
            visit(Reader(*value, childPath(m_reader.path(), key), m_faults));
    }

    template <typename Visit> void objects(const std::string& key, Visit visit)
    {
        m_reader.each(
            key, false, [&](const json& value, const std::string& path) { visit(Reader(value, path, m_faults)); });
    }

    [[nodiscard]] std::vector<std::uint64_t> hashes(const std::string& key)
    {
        std::vector<std::uint64_t> values;
        m_reader.each(key, false, [&](const json& value, const std::string& path) {
            if (value.is_number_unsigned())
                values.push_back(value.get<std::uint64_t>());
            else
                m_faults.push_back({ path, excerpt(value), "must be an unsigned integer" });
        });
        return values;
    }

    [[nodiscard]] std::vector<std::string> texts(const std::string& key)
    {
        std::vector<std::string> values;
        m_reader.each(key, false, [&](const json& value, const std::string& path) {
            if (value.is_string())
                values.push_back(value.get<std::string>());
            else
                m_faults.push_back({ path, excerpt(value), "must be a string" });
        });
        return values;
    }

    [[nodiscard]] backend::Kind kind()
    {
        const auto name = m_reader.text(
            "kind", [](std::string_view it) { return it == "engine" || it == "service"; }, "engine or service");
        return name == "service" ? backend::Kind::Service : backend::Kind::Engine;
    }

private:
    ObjectReader m_reader;
    std::vector<JsonFault>& m_faults;
};

void readIdentity(Reader& reader, backend::Announcement& it)
{
    it.id = ServerId { reader.text("id") };
    it.bootId = BootId { reader.text("boot_id") };
    it.vm = VmId { reader.text("vm") };
    it.dataCentre = DataCentreId { reader.text("data_centre") };
    it.fabricDomain = FabricDomainId { reader.text("fabric_domain", false) };
    it.address = reader.text("address");
    it.kind = reader.kind();
    it.service = ServiceName { reader.text("service", false) };
}

void readCapacity(Reader& reader, backend::Announcement& it)
{
    it.accelerators = reader.integer<std::uint32_t>("accelerators", 0);
    it.memoryBytes = reader.integer<std::uint64_t>("memory_bytes", 0);
    it.tokenMemory = reader.integer<std::uint64_t>("token_memory", 0);
    it.maxRequests = reader.integer<std::uint32_t>("max_requests", 1);
    it.cold = reader.boolean("cold");
    it.coldRequests = reader.integer<std::uint32_t>("cold_requests", 1);
    it.leaving = reader.boolean("leaving");
    reader.objects("models", [&](Reader model) {
        it.models.push_back({ ModelName { model.text("name") }, model.text("version"), model.texts("adapters") });
    });
}

void readState(Reader& reader, backend::Announcement& it)
{
    reader.object("load", [&](Reader load) {
        it.load = { load.integer<std::uint32_t>("running", 0), load.integer<std::uint32_t>("queued", 0),
            load.integer<std::uint64_t>("tokens_held", 0) };
    });
    reader.object("group", [&](Reader group) {
        it.group = backend::GroupMembership { GroupId { group.integer<std::uint64_t>("id", 0) },
            FencingNumber { group.integer<std::uint64_t>("fencing", 0) }, group.integer<std::uint32_t>("rank", 0) };
    });
    it.fencingSeen = FencingNumber { reader.integer<std::uint64_t>("fencing_seen", 0) };
    it.checksFencing = reader.boolean("checks_fencing");
    reader.object("cache_events", [&](Reader events) {
        it.cacheEvents
            = { events.integer<std::uint64_t>("sequence", 0), events.hashes("added"), events.hashes("removed") };
    });
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

std::optional<backend::Announcement> decodeAnnouncement(std::string_view text, std::vector<JsonFault>& faults)
{
    const auto document = parseJson(text, faults);
    if (!document)
        return std::nullopt;
    Reader reader(*document, {}, faults);
    backend::Announcement it;
    readIdentity(reader, it);
    readCapacity(reader, it);
    readState(reader, it);
    if (!faults.empty())
        return std::nullopt;
    return it;
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
