#include <platform/decode.hpp>
#include <platform/document.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <sstream>

using namespace rosemarymill;
using platform::DocumentDecoder;
using platform::Json;

namespace {

/// Random name with JSON delimiters, escapes and letters beyond ASCII.
std::string nameOf(std::mt19937& random)
{
    constexpr std::array<std::string_view, 10> parts { "a", "b", "{", "}", "[", "]", "\"", "\\", ",", "\xc3\xa9" };
    std::string name;
    for (auto n = random() % 6; n > 0; --n)
        name += parts[random() % parts.size()];
    return name + std::to_string(random() % 1000);
}

Json routeOf(std::mt19937& random)
{
    Json route { { "name", nameOf(random) }, { "host", nameOf(random) }, { "path_prefix", "/" + nameOf(random) + "/" },
        { "route_kind", random() % 2 ? "streaming" : "mutating" }, { "timeout_ms", 1 + random() % 9000 },
        { "priority", random() % 3 }, { "public", random() % 2 == 0 } };
    if (random() % 2)
        route["service"] = "llm";
    else
        route["split"] = { { { "service", "llm" }, { "weight", 90 } }, { { "service", "desk" }, { "weight", 10 } } };
    return route;
}

Json documentOf(std::mt19937& random, std::size_t routes)
{
    Json document { { "version", 1 }, { "routes", Json::array() },
        { "services", { { { "name", "llm" } }, { { "name", "desk" } } } },
        { "tenants", { { { "name", "t" }, { "api_keys", { "k" } } } } } };
    while (document["routes"].size() < routes)
        document["routes"].push_back(routeOf(random));
    return document;
}

/// Adds, removes, changes or moves a route. Returns the text of the new version, sometimes with other white space.
std::string nextVersion(std::mt19937& random, Json& document)
{
    auto& routes = document["routes"];
    document["version"] = document["version"].get<unsigned>() + 1;
    if (routes.empty() || random() % 3 == 0)
        routes.push_back(routeOf(random));
    else if (random() % 3 == 0)
        routes.erase(random() % routes.size());
    else if (random() % 2 == 0)
        routes[random() % routes.size()]["timeout_ms"] = random() % 50;
    else
        std::swap(routes[random() % routes.size()], routes[random() % routes.size()]);
    return document.dump(random() % 4 == 0 ? 1 : -1);
}

/// All that was decoded, as text.
std::string describe(const runtime::nodes::DecodedDocument& decoded)
{
    std::ostringstream out;
    out << decoded.document.version << '\n';
    for (const auto& it : decoded.document.routes) {
        out << it.name << '|' << it.host << '|' << it.pathPrefix << '|' << static_cast<int>(it.kind) << '|'
            << it.timeout.count() << '|' << it.latencyGoal.count() << '|' << it.interEventLatencyGoal.count() << '|'
            << it.priority << '|' << it.maxServers << '|' << it.isPublic << '|' << it.resumable;
        for (const auto& share : it.shares)
            out << '|' << share.service.text() << '|' << share.weight;
        out << '\n';
    }
    for (const auto& it : decoded.document.services)
        out << it.name.text() << '\n';
    for (const auto& it : decoded.document.accounts)
        out << it.id.text() << '|' << it.keys.size() << '\n';
    for (const auto& it : decoded.faults)
        out << it.path << '|' << it.value << '|' << it.rule << '\n';
    return out.str();
}

} // namespace

TEST_CASE("decoding successive versions gives the result of decoding each alone", "[platform]")
{
    std::mt19937 random { 1 };
    for (int document = 0; document < 20; ++document) {
        DocumentDecoder decoder;
        auto json = documentOf(random, random() % 30);
        for (int version = 0; version < 30; ++version) {
            const auto text = nextVersion(random, json);
            REQUIRE(describe(decoder.decode(text)) == describe(platform::decodeDocument(text)));
        }
    }
}

TEST_CASE("decoding damaged documents after others gives the result of decoding each alone", "[platform]")
{
    constexpr std::string_view letters = "{}[]\",:\\ x0e\xff\n";
    std::mt19937 random { 2 };
    DocumentDecoder decoder;
    auto json = documentOf(random, 8);
    const auto whole = json.dump();
    unsigned rejected = 0;
    for (int i = 0; i < 5000; ++i) {
        auto text = whole;
        for (auto n = 1 + random() % 2; n > 0; --n) {
            const auto at = random() % text.size();
            const auto kind = random() % 4;
            if (kind == 0)
                text.erase(at, 1 + random() % 3);
            else if (kind == 1)
                text.insert(at, 1, letters[random() % letters.size()]);
            else if (kind == 2)
                text[at] = letters[random() % letters.size()];
            else
                text.resize(std::max<std::size_t>(at, 1));
        }
        const auto expected = platform::decodeDocument(text);
        rejected += expected.faults.empty() ? 0 : 1;
        REQUIRE(describe(decoder.decode(text)) == describe(expected));
    }
    CHECK(rejected > 1000);
    CHECK(rejected < 5000);
}

TEST_CASE("decoding documents of unusual structure after others gives the result of decoding each alone", "[platform]")
{
    std::mt19937 random { 3 };
    const auto route = routeOf(random).dump();
    DocumentDecoder decoder;
    // R is replaced by a route, S by the services.
    for (const std::string_view outline : {
             R"({"version":1,"routes":[R],"routes":[],S})",
             R"({"version":1,"routes":[],"routes":[R],S})",
             R"({"version":1,"\u0072outes":[R],"routes":[],S})",
             R"({"version":1,"routes":null,S})",
             R"({"version":1,"routes":[R,],S})",
             R"({"version":1,"routes":[R R],S})",
             R"({"version":1,"routes":[1],S})",
             R"({"version":1,"routes":[R],S} x)",
             R"({"version":1,"routes":[R],S,})",
             R"({"version":1,S})",
             "\xef\xbb\xbf{\"version\":1,\"routes\":[R],S}",
             "{}",
             "",
         }) {
        std::string text;
        for (const char c : outline) {
            if (c == 'R')
                text += route;
            else if (c == 'S')
                text += R"("services":[{"name":"llm"},{"name":"desk"}])";
            else
                text += c;
        }
        CAPTURE(text);
        CHECK(describe(decoder.decode(text)) == describe(platform::decodeDocument(text)));
    }
}

TEST_CASE("only the changed route of a new version is parsed", "[platform]")
{
    std::mt19937 random { 4 };
    DocumentDecoder decoder;
    auto json = documentOf(random, 100);
    REQUIRE(decoder.decode(json.dump()).faults.empty());
    CHECK(decoder.parsedRoutes() == 100);
    json["version"] = 2;
    json["routes"][50]["timeout_ms"] = 9999;
    REQUIRE(decoder.decode(json.dump()).faults.empty());
    CHECK(decoder.parsedRoutes() == 101);
    json["version"] = 3;
    REQUIRE(decoder.decode(json.dump()).faults.empty());
    CHECK(decoder.parsedRoutes() == 101);
}

TEST_CASE("routes of documents that were rejected are not kept", "[platform]")
{
    constexpr std::size_t routes = 200;
    std::mt19937 random { 4 };
    DocumentDecoder decoder;
    REQUIRE(decoder.decode(documentOf(random, 8).dump()).faults.size() <= 1);
    const auto before = decoder.cachedRoutes();
    for (int i = 0; i < 10; ++i) {
        auto json = documentOf(random, routes);
        json["routes"].push_back({ { "name", "without a host" } });
        CHECK_FALSE(decoder.decode(json.dump()).faults.empty());
    }
    CHECK(decoder.cachedRoutes() <= before);
}

TEST_CASE("documents of too many values are rejected before they take memory", "[platform]")
{
    std::string body = R"({"version":2,"routes":[)";
    for (std::size_t i = 0; i < 300'000; ++i)
        body += "[],";
    body += "0]}";
    DocumentDecoder decoder;
    for (const auto& result : { decoder.decode(body), platform::decodeDocument(body) }) {
        REQUIRE(result.faults.size() == 1);
        CHECK(result.faults[0].rule.find("values") != std::string::npos);
    }
    // Delimiters in names do not count.
    std::mt19937 random { 5 };
    auto json = documentOf(random, 8);
    json["comment"] = std::string(300'000, ',');
    CHECK(describe(decoder.decode(json.dump())) == describe(platform::decodeDocument(json.dump())));
    CHECK(decoder.decode(json.dump()).document.routes.size() == 8);
}
