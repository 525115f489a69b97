#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct event_base;

/// HTTP client for the operator listener, based on libevent's evhttp.
namespace rosemarymill::ctl {

/// Answer of an entry VM.
struct Answer {
    int status { 0 };
    std::string body;
};

/// One HTTP request to an operator listener.
struct Query {
    bool post { false };
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Sends one request at a time and waits for its answer.
class Client {
public:
    explicit Client(std::chrono::milliseconds timeout);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /// Sends the query to "ip:port". Returns no answer when the entry VM cannot be reached, closes the connection or
    /// does not answer in time; the query may have been executed then.
    [[nodiscard]] std::optional<Answer> send(const std::string& address, const Query& query);

private:
    struct FreeBase {
        void operator()(event_base* it) const noexcept;
    };

    std::chrono::milliseconds m_timeout;
    std::unique_ptr<event_base, FreeBase> m_base;
};

} // namespace rosemarymill::ctl
