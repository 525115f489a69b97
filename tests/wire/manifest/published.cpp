#include <rosemarymill/wire/manifest/manifest.hpp>

#include "support/file.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace rosemarymill;
using nlohmann::json;

namespace {

std::set<std::string> keysOf(const json& object)
{
    std::set<std::string> keys;
    for (const auto& [key, value] : object.items())
        keys.insert(key);
    return keys;
}

} // namespace

TEST_CASE("The sample manifests of both deployments are valid", "[manifest]")
{
    for (const auto* name : { "cooperativa", "grabbelton" }) {
        const auto parsed = wire::parseManifest(test::readSourceFile(std::string("deploy/") + name + ".manifest.json"));
        CAPTURE(name, wire::describe(parsed.faults));
        REQUIRE(parsed.manifest.has_value());
        CHECK(parsed.manifest->accounts.size() == 10);
        CHECK(parsed.manifest->dataCentres.size() == 3);
    }
}

// Guards against a member that was added to the manifest but not to the published schema. A formatted manifest contains
// every member that the parser accepts.
TEST_CASE("The published schema has exactly the members of a manifest", "[manifest]")
{
    const auto schema = json::parse(test::readSourceFile("docs/manifest.schema.json"));
    const auto manifest = json::parse(
        wire::formatManifest(*wire::parseManifest(test::readSourceFile("deploy/cooperativa.manifest.json")).manifest));
    const auto& model = manifest["models"][0];
    const auto& account = manifest["accounts"][0];
    const auto& service = manifest["services"][0];
    const auto& types = schema["$defs"];
    CHECK(keysOf(schema["properties"]) == keysOf(manifest));
    CHECK(keysOf(types["model"]["properties"]) == keysOf(model));
    CHECK(keysOf(types["adapter"]["properties"]) == keysOf(model["adapters"][0]));
    CHECK(keysOf(types["replicas"]["properties"]) == keysOf(model["replicas"].front()));
    CHECK(keysOf(types["account"]["properties"]) == keysOf(account));
    CHECK(keysOf(types["kind"]["properties"]) == keysOf(account["kinds"][0]));
    CHECK(keysOf(types["service"]["properties"]) == keysOf(service));
    CHECK(keysOf(types["route"]["properties"]) == keysOf(service["routes"][0]));
}
