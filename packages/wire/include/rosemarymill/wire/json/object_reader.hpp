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

/// Path of a member or element below a path.
[[nodiscard]] std::string childPath(std::string_view path, std::string_view child);

/// Value as JSON, shortened to 80 characters.
[[nodiscard]] std::string excerpt(const nlohmann::json& value);

/// Whether a text is a name: 1 to 128 letters, digits, '.', '_', '-' and the given further characters.
[[nodiscard]] bool isName(std::string_view text, std::string_view further = {}) noexcept;

/// Reads the members of one object and collects the faults. A member that is absent or wrong yields the fallback, so
/// that all faults of a document are found in one pass. Members that were never asked for are faults (see finish()).
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& value, std::string path, std::vector<JsonFault>& faults);

    [[nodiscard]] bool has(const std::string& key) const;

    /// A text that the predicate accepts. The rule says what is accepted.
    [[nodiscard]] std::string text(const std::string& key, const std::function<bool(std::string_view)>& accepts,
        const std::string& rule, const std::optional<std::string>& fallback = std::nullopt);

    /// A name (see isName).
    [[nodiscard]] std::string name(const std::string& key, std::string_view further = {});

    /// An integer within the range, limits included.
    [[nodiscard]] std::uint64_t integer(const std::string& key, std::uint64_t minimum, std::uint64_t maximum,
        std::optional<std::uint64_t> fallback = std::nullopt);

    /// A number above or at the minimum and at most the maximum.
    [[nodiscard]] double number(const std::string& key, double minimum, double maximum, double fallback);

    [[nodiscard]] bool boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);

    /// Calls the function with each element of an array and the element's path. An absent optional array has none.
    void each(const std::string& key, bool required,
        const std::function<void(const nlohmann::json&, const std::string&)>& visit);

    /// Calls the function with each member of an object, its key and its path.
    void eachMember(const std::string& key, bool required,
        const std::function<void(const std::string&, const nlohmann::json&, const std::string&)>& visit);

    /// The member itself when it is present.
    [[nodiscard]] const nlohmann::json* member(const std::string& key);

    /// Reports a member's value as a fault.
    void fault(const std::string& key, std::string rule);

    /// Reports the members that were not asked for.
    void finish();

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }

private:
    const nlohmann::json* find(const std::string& key, bool required);

    const nlohmann::json* m_value { nullptr };
    std::string m_path;
    std::vector<JsonFault>& m_faults;
    std::set<std::string> m_asked;
};

/// Reports values that occur twice, e.g. the names in a list.
class UniqueValues {
public:
    explicit UniqueValues(std::vector<JsonFault>& faults)
        : m_faults(faults)
    {
    }

    /// Notes a value. Empty values are ignored: they are already reported as wrong.
    void add(const std::string& value, const std::string& path, const std::string& what);

private:
    std::vector<JsonFault>& m_faults;
    std::set<std::string> m_seen;
};

} // namespace rosemarymill::wire
