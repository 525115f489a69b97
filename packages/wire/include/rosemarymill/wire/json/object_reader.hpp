#pragma once

#include <rosemarymill/wire/json/fault.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Validating access to JSON objects.
namespace rosemarymill::wire {

/// JSON pointer of a member or element of the value at `path`.
[[nodiscard]] std::string childPath(std::string_view path, std::string_view child);

/// Value as JSON, shortened to 80 characters.
[[nodiscard]] std::string excerpt(const nlohmann::json& value);

/// Whether a string is a name: 1 to 128 letters, digits, '.', '_', '-' and the given extra characters.
[[nodiscard]] bool isName(std::string_view text, std::string_view extraCharacters = {}) noexcept;

/// Reads the members of one object and collects the faults. An absent or invalid member yields the fallback, so that
/// all faults of a document are found in one pass. finish() reports members that were never read.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string path, std::vector<JsonFault>& faults);

    [[nodiscard]] bool has(const std::string& key) const;

    /// A string that the predicate accepts. The fault of any other value is "must be " followed by `rule`.
    [[nodiscard]] std::string text(const std::string& key, const std::function<bool(std::string_view)>& accepts,
        const std::string& rule, const std::optional<std::string>& fallback = std::nullopt);

    /// A name (see isName).
    [[nodiscard]] std::string name(const std::string& key, std::string_view extraCharacters = {});

    /// An integer from `minimum` to `maximum`, both included.
    [[nodiscard]] std::uint64_t integer(const std::string& key, std::uint64_t minimum, std::uint64_t maximum,
        std::optional<std::uint64_t> fallback = std::nullopt);

    /// A number from `minimum` to `maximum`, both included.
    [[nodiscard]] double number(const std::string& key, double minimum, double maximum, double fallback);

    [[nodiscard]] bool boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);

    /// Calls `visit` with each element of an array and the element's path. An absent optional array has no elements.
    void each(const std::string& key, bool required,
        const std::function<void(const nlohmann::json&, const std::string&)>& visit);

    /// Calls `visit` with the key, value and path of each member of an object.
    void eachMember(const std::string& key, bool required,
        const std::function<void(const std::string&, const nlohmann::json&, const std::string&)>& visit);

    /// The value of a member, or null if it is absent.
    [[nodiscard]] const nlohmann::json* member(const std::string& key);

    /// Reports a fault of a member, with its value if it is present.
    void fault(const std::string& key, std::string rule);

    /// Reports each member that was never read as an unknown member.
    void finish();

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    const nlohmann::json* find(const std::string& key, bool required);

    const nlohmann::json* m_value { nullptr };
    std::string m_path;
    std::vector<JsonFault>& m_faults;
    std::set<std::string> m_readKeys;
};

/// Reports values that occur more than once, such as names in a list.
class UniqueValues {
public:
    explicit UniqueValues(std::vector<JsonFault>& faults)
        : m_faults(faults)
    {
    }

    /// Adds a value and reports it if it was added before; `what` describes it in the fault. Empty values are ignored,
    /// as they have already been reported as invalid.
    void add(const std::string& value, const std::string& path, const std::string& what);

private:
    std::vector<JsonFault>& m_faults;
    std::set<std::string> m_seen;
};

} // namespace rosemarymill::wire
