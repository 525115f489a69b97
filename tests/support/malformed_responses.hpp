#pragma once

#include <string>
#include <vector>

/// Responses that are no valid answers, for the tests of each place where answers are read.
namespace rosemarymill::test {

/// A response with a valid status line except for its status, or with a field whose name is no token. `headers` are
/// complete lines that the reader needs.
inline std::vector<std::string> malformedResponses(const std::string& headers = {})
{
    const std::string end = "Content-Length: 2\r\n\r\n{}";
    std::vector<std::string> all;
    for (const auto* status : { "000", "001", "099", "42" })
        all.push_back(std::string("HTTP/1.1 ") + status + " None\r\n" + headers + end);
    for (const char byte : { ' ', '\t', '\x01', '\x0b', '\x1f', '\x7f' }) {
        for (const auto& name : { std::string("X-Na") + byte + "me", std::string("Content-Length") + byte })
            all.push_back("HTTP/1.1 200 OK\r\n" + headers + name + ": 1\r\n" + end);
    }
    return all;
}

} // namespace rosemarymill::test
