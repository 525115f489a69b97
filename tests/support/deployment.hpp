#pragma once

#include "child.hpp"
#include "tcp_client.hpp"

#include <rosemarymill/wire/digest/sha256.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <vector>

/// One entry VM with stand-in engines and services, all on loopback.
namespace rosemarymill::test {

inline const std::string binaryDir = ROSEMARYMILL_BINARY_DIR;
inline const std::string callerToken = "token-of-brand-1";

/// Sends a request on its own connection and returns the whole response.
inline std::string exchange(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, const std::string& headers = {})
{
    TcpClient client(address);
    client.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "
        + callerToken + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    (void)client.readToEnd();
    return client.received();
}

/// Body of a response whose length is given.
inline std::string bodyOf(const std::string& response)
{
    const auto pos = response.find("\r\n\r\n");
    return pos == std::string::npos ? std::string {} : response.substr(pos + 4);
}

inline nlohmann::json jsonOf(const std::string& response)
{
    return nlohmann::json::parse(bodyOf(response), nullptr, false);
}

/// Body of a chat request. The user appears in each token of the stand-in's answer.
inline std::string chatBody(const std::string& user, std::uint64_t tokens, bool stream = true)
{
    return nlohmann::json {
        { "model", "planner" }, { "stream", stream }, { "max_tokens", tokens }, { "user", user },
        { "messages", { { { "role", "user" }, { "content", "Plan a visit." } } } }
    }.dump();
}

/// Request head and body of a chat request.
inline std::string chatRequest(const std::string& body, const std::string& headers = {})
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerToken + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Token indexes in the bytes of a stream, in order.
inline std::vector<std::uint64_t> tokenIndexes(const std::string& stream)
{
    std::vector<std::uint64_t> indexes;
    for (auto pos = stream.find("id: "); pos != std::string::npos; pos = stream.find("id: ", pos + 4))
        indexes.push_back(std::stoull(stream.substr(pos + 4, 20)));
    return indexes;
}

/// Whether the indexes are 0, 1, 2 and so on.
inline bool isConsecutive(const std::vector<std::uint64_t>& indexes)
{
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        if (indexes[i] != i)
            return false;
    }
    return true;
}

class Deployment {
public:
    explicit Deployment(const std::vector<std::string>& daemonArguments = {})
        : m_daemon(binaryDir + "/packages/daemon/rosemarymilld", daemonFlags(daemonArguments))
        , m_callers(m_daemon.waitForWordAfter("Callers at "))
        , m_operators(m_daemon.waitForWordAfter("Operators at "))
    {
    }

    [[nodiscard]] const std::string& callers() const noexcept { return m_callers; }
    [[nodiscard]] const std::string& operators() const noexcept { return m_operators; }
    Child& daemon() noexcept { return m_daemon; }
    Child& engine(std::size_t index) { return m_servers.at(index); }

    /// Starts a stand-in engine and returns its address.
    std::string startEngine(const std::string& id, std::vector<std::string> arguments = {})
    {
        return start("standin-engine", id, std::move(arguments));
    }

    std::string startService(const std::string& id, std::vector<std::string> arguments = {})
    {
        arguments.insert(arguments.end(), { "--service", "kit-desk" });
        return start("standin-service", id, std::move(arguments));
    }

    /// Submits a manifest with one model, one account and one service. Returns whether all groups came to serve in
    /// time.
    bool serve(std::uint32_t groups, std::uint32_t vmsPerReplica = 1)
    {
        using nlohmann::json;
        const json manifest { { "data_centres", { "mixco" } },
            { "models",
                { { { "name", "planner" }, { "version", "1" }, { "vms_per_replica", vmsPerReplica },
                    { "weight_bytes", 1000 },
                    { "replicas", { { "mixco", { { "minimum", groups }, { "maximum", groups } } } } } } } },
            { "accounts", { { { "id", "brand-1" }, { "token_digests", { wire::sha256Hex(callerToken) } } } } },
            { "ledger_homes", { "mixco" } }, { "weight_store_bytes_per_second", 1'000'000'000 },
            { "services",
                { { { "name", "kit-desk" },
                    { "routes",
                        { { { "method", "POST" }, { "path_prefix", "/orders" }, { "idempotent", false } },
                            { { "method", "GET" }, { "path_prefix", "/stock" }, { "idempotent", true } } } } } } } };
        const auto answer = exchange(m_operators, "POST", "/v1/manifest", manifest.dump());
        if (jsonOf(answer).value("result", "") != "accepted")
            throw std::runtime_error("the manifest was not accepted: " + answer);
        return waitFor([&] {
            const auto status = jsonOf(exchange(m_operators, "GET", "/v1/status", {}));
            std::uint32_t serving = 0;
            for (const auto& group : status.at("groups"))
                serving += group.at("phase") == "serving" ? 1 : 0;
            return serving == groups && status.at("servers").size() >= m_servers.size();
        });
    }

    /// Value of one metric of the daemon.
    [[nodiscard]] double metric(const std::string& name) const
    {
        const auto text = "\n" + exchange(m_callers, "GET", "/metrics", {});
        const auto pos = text.find("\n" + name + " ");
        return pos == std::string::npos ? -1 : std::stod(text.substr(pos + name.size() + 2));
    }

private:
    static std::vector<std::string> daemonFlags(const std::vector<std::string>& further)
    {
        std::vector<std::string> flags { "--vm", "entry-1", "--data-centre", "mixco", "--caller-address", "127.0.0.1:0",
            "--operator-address", "127.0.0.1:0" };
        flags.insert(flags.end(), further.begin(), further.end());
        return flags;
    }

    std::string start(const std::string& program, const std::string& id, std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { "--id", id, "--data-centre", "mixco", "--announce", m_callers });
        m_servers.emplace_back(binaryDir + "/standin/" + program, arguments);
        return m_servers.back().waitForWordAfter("listening ");
    }

    Child m_daemon;
    std::string m_callers;
    std::string m_operators;
    std::deque<Child> m_servers;
};

} // namespace rosemarymill::test
