#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// Responses that are no valid answers, for the tests of each place where answers are read.
namespace rosemarymill::test {

/// A response with a valid status line except for its status, or with a field whose name is no token. `headers` are
/// complete lines that the reader needs.
inline std::vector<std::string> malformedResponses(const std::string& headers = {})
{
    const std::string end = "Content-Length: 2\r\n\r\n{}";
    std::vector<std::string> all;
    const auto add = [&](std::initializer_list<std::string_view> parts) {
        auto& response = all.emplace_back();
        for (const auto it : parts)
            response.append(it);
    };
    for (const auto* status : { "000", "001", "099", "42" })
        add({ "HTTP/1.1 ", status, " None\r\n", headers, end });
    for (const char byte : { ' ', '\t', '\x01', '\x0b', '\x1f', '\x7f' }) {
        const std::string_view text { &byte, 1 };
        add({ "HTTP/1.1 200 OK\r\n", headers, "X-Na", text, "me: 1\r\n", end });
        add({ "HTTP/1.1 200 OK\r\n", headers, "Content-Length", text, ": 1\r\n", end });
    }
    return all;
}

} // namespace rosemarymill::test
