#pragma once

#include <string>
#include <vector>

/// Faults found while reading JSON from outside.
namespace rosemarymill::wire {

/// One fault: where it is, what was found and which rule it breaks.
struct JsonFault {
    /// JSON pointer (RFC 6901); empty for the whole document.
    std::string path;
    /// The value as JSON, shortened; empty when the member is absent.
    std::string value;
    std::string rule;

    friend bool operator==(const JsonFault&, const JsonFault&) = default;
};

/// The fault as one line: path, value and rule.
[[nodiscard]] std::string describe(const JsonFault& fault);

/// One line per fault.
[[nodiscard]] std::string describe(const std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
