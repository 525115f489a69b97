#pragma once

#include <string>
#include <vector>

/// Faults found while parsing and validating JSON input.
namespace rosemarymill::wire {

/// One fault: its location, the value found and the rule that the value violates.
struct JsonFault {
    /// JSON pointer (RFC 6901); empty for the whole document.
    std::string path;
    /// The value as JSON, shortened; empty when the member is absent.
    std::string value;
    std::string rule;

    friend bool operator==(const JsonFault&, const JsonFault&) = default;
};

/// Formats a fault as one line: path, value and rule.
[[nodiscard]] std::string describe(const JsonFault& fault);

/// Formats faults as one line each.
[[nodiscard]] std::string describe(const std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
