#include <rosemarymill/core/routes/table.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using routes::Document;
using routes::Table;

namespace {

routes::Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    routes::Route it;
    it.name = name;
    it.host = host;
    it.pathPrefix = prefix;
    it.timeout = 1s;
    it.shares = { { ServiceName { "desk" }, 1 } };
    return it;
}

Document document()
{
    Document it;
    it.version = 3;
    it.routes = { route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/") };
    it.services.push_back({ ServiceName { "desk" }, {}, 0, {}, 0, {} });
    it.accounts = { { AccountId { "one" }, { "key-1", "key-2" }, {} }, { AccountId { "two" }, { "key-3" }, {} } };
    return it;
}

std::string matched(const Table& table, std::string_view host, std::string_view path)
{
    const auto* it = table.match(host, path);
    return it ? it->name : "none";
}

std::vector<std::string> faultPaths(const Document& document)
{
    std::vector<std::string> paths;
    for (const auto& it : validate(document))
        paths.push_back(it.path);
    return paths;
}

} // namespace

TEST_CASE("the longest prefix of the host matches", "[routes]")
{
    const Table table(document());
    CHECK(matched(table, "a.example", "/x/y/z") == "long");
    CHECK(matched(table, "a.example", "/x/yy") == "short");
    CHECK(matched(table, "A.Example:8080", "/x/?q=/y/") == "short");
    CHECK(matched(table, "b.example", "/x/y/z") == "other");
    CHECK(matched(table, "b.example", "/x") == "none");
    CHECK(matched(table, "c.example", "/x/") == "none");
}

TEST_CASE("API keys belong to accounts", "[routes]")
{
    const Table table(document());
    REQUIRE(table.accountOf("key-2"));
    CHECK(table.accountOf("key-2")->id == AccountId { "one" });
    CHECK_FALSE(table.accountOf("key-4"));
    CHECK_FALSE(table.accountOf(""));
}

TEST_CASE("traffic is split between services by weight", "[routes]")
{
    auto it = route("split", "a.example", "/");
    it.shares = { { ServiceName { "none" }, 0 }, { ServiceName { "most" }, 90 }, { ServiceName { "few" }, 10 } };
    unsigned most = 0;
    constexpr unsigned samples = 1000;
    for (std::uint64_t i = 0; i < samples; ++i) {
        const auto& service = Table::choose(it, ~std::uint64_t { 0 } / samples * i);
        CHECK(service != ServiceName { "none" });
        most += service == ServiceName { "most" } ? 1 : 0;
    }
    CHECK(most == 900);
    CHECK(Table::choose(it, ~std::uint64_t { 0 }) == ServiceName { "few" });
}

TEST_CASE("each rule of a document is checked", "[routes]")
{
    CHECK(faultPaths(document()).empty());
    auto broken = document();
    broken.routes[0].shares = { { ServiceName { "unknown" }, 1 } };
    CHECK(faultPaths(broken) == std::vector<std::string> { "/routes/0/service" });
    broken = document();
    broken.routes[1].shares[0].weight = 0;
    CHECK(faultPaths(broken) == std::vector<std::string> { "/routes/1/weight" });
    broken = document();
    broken.routes[1].timeout = {};
    CHECK(faultPaths(broken) == std::vector<std::string> { "/routes/1/timeout" });
    broken = document();
    broken.routes[2] = broken.routes[0];
    CHECK(faultPaths(broken) == std::vector<std::string> { "/routes/2/path" });
    broken = document();
    broken.accounts[1].keys = { "key-1" };
    CHECK(faultPaths(broken) == std::vector<std::string> { "/accounts/1/keys" });
}
