#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/manifest.hpp>
#include <rosemarymill/core/node/peer_message.hpp>

#include <concepts>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

/// Archives that convert structs to JSON and back. A struct is supported if a function template
/// `fields(archive, object)` lists its members, once for both directions.
namespace rosemarymill::wire::trace {

template <typename T>
concept Numeric = std::integral<T> || std::floating_point<T>;

/// Writes the members of a struct to a JSON object.
class Writer {
public:
    template <typename T> void operator()(const char* key, const T& value) { m_object[key] = toJson(value); }

    [[nodiscard]] nlohmann::json take() { return std::move(m_object); }

    template <typename T> static nlohmann::json toJson(const T& value)
    {
        Writer writer;
        // A struct without fields() gets a marker member, so that reading it fails instead of losing its members.
        if constexpr (requires { fields(writer, value); })
            fields(writer, value);
        else
            writer("unsupported", true);
        return writer.take();
    }
    static nlohmann::json toJson(const rosemarymill::node::PeerMessage& value);
    static nlohmann::json toJson(const rosemarymill::configuration::Manifest& value);
    template <Numeric T> static nlohmann::json toJson(const T& value) { return value; }
    template <typename T>
    requires std::is_enum_v<T>
    static nlohmann::json toJson(const T& value) { return static_cast<std::int64_t>(value); }
    static nlohmann::json toJson(const std::string& value) { return value; }
    static nlohmann::json toJson(const char* value) { return value; }
    template <typename Tag> static nlohmann::json toJson(const Name<Tag>& value) { return value.text(); }
    template <typename Tag> static nlohmann::json toJson(const Number<Tag>& value) { return value.value; }
    static nlohmann::json toJson(Duration value) { return value.count(); }
    static nlohmann::json toJson(Instant value) { return value.time_since_epoch().count(); }
    static nlohmann::json toJson(const Fingerprint& value) { return { value.high, value.low }; }
    template <typename T> static nlohmann::json toJson(const std::optional<T>& value)
    {
        return value ? toJson(*value) : nlohmann::json(nullptr);
    }
    template <typename T> static nlohmann::json toJson(const std::vector<T>& value)
    {
        auto array = nlohmann::json::array();
        for (const auto& it : value)
            array.push_back(toJson(it));
        return array;
    }
    template <typename K, typename V> static nlohmann::json toJson(const std::map<K, V>& value)
    {
        auto object = nlohmann::json::object();
        for (const auto& [key, it] : value)
            object[key.text()] = toJson(it);
        return object;
    }

private:
    nlohmann::json m_object = nlohmann::json::object();
};

/// Reads the members of a struct from a JSON object. Absent members keep their defaults; a wrong type throws a
/// nlohmann::json::exception, and an unknown member throws std::invalid_argument in finish().
class Reader {
public:
    explicit Reader(const nlohmann::json& object)
        : m_object(object)
    {
        if (!object.is_object())
            throw std::invalid_argument("expected an object instead of " + object.dump());
    }

    template <typename T> void operator()(const char* key, T& value)
    {
        const auto it = m_object.find(key);
        if (it == m_object.end())
            return;
        ++m_readCount;
        fromJson(*it, value);
    }

    void finish() const
    {
        if (m_readCount != m_object.size())
            throw std::invalid_argument("unknown member in " + m_object.dump());
    }

    template <typename T> static void fromJson(const nlohmann::json& json, T& value)
    {
        Reader reader(json);
        if constexpr (requires { fields(reader, value); })
            fields(reader, value);
        reader.finish();
    }
    static void fromJson(const nlohmann::json& json, rosemarymill::node::PeerMessage& value);
    static void fromJson(const nlohmann::json& json, rosemarymill::configuration::Manifest& value);
    template <Numeric T> static void fromJson(const nlohmann::json& json, T& value) { json.get_to(value); }
    template <typename T>
    requires std::is_enum_v<T>
    static void fromJson(const nlohmann::json& json, T& value) { value = static_cast<T>(json.get<std::int64_t>()); }
    static void fromJson(const nlohmann::json& json, std::string& value) { json.get_to(value); }
    template <typename Tag> static void fromJson(const nlohmann::json& json, Name<Tag>& value)
    {
        value = Name<Tag> { json.get<std::string>() };
    }
    template <typename Tag> static void fromJson(const nlohmann::json& json, Number<Tag>& value)
    {
        json.get_to(value.value);
    }
    static void fromJson(const nlohmann::json& json, Duration& value)
    {
        value = Duration { json.get<Duration::rep>() };
    }
    static void fromJson(const nlohmann::json& json, Instant& value)
    {
        value = Instant { Duration { json.get<Duration::rep>() } };
    }
    static void fromJson(const nlohmann::json& json, Fingerprint& value)
    {
        json.at(0).get_to(value.high);
        json.at(1).get_to(value.low);
    }
    template <typename T> static void fromJson(const nlohmann::json& json, std::optional<T>& value)
    {
        value.reset();
        if (!json.is_null())
            fromJson(json, value.emplace());
    }
    template <typename T> static void fromJson(const nlohmann::json& json, std::vector<T>& value)
    {
        value.clear();
        for (const auto& it : json.get_ref<const nlohmann::json::array_t&>())
            fromJson(it, value.emplace_back());
    }
    template <typename K, typename V> static void fromJson(const nlohmann::json& json, std::map<K, V>& value)
    {
        value.clear();
        for (const auto& [key, it] : json.get_ref<const nlohmann::json::object_t&>())
            fromJson(it, value[K { key }]);
    }

private:
    const nlohmann::json& m_object;
    std::size_t m_readCount { 0 };
};

} // namespace rosemarymill::wire::trace
