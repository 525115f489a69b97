#include <rosemarymill/wire/digest/sha256.hpp>
#include <rosemarymill/wire/manifest/manifest.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>

using namespace rosemarymill;
using nlohmann::json;

namespace {

json sample()
{
    return json::parse(R"({
        "data_centres": ["mixco", "antigua"],
        "weight_store_bytes_per_second": 1000000000,
        "models": [{"name": "planner/chat", "version": "3", "vms_per_replica": 8, "weight_bytes": 70000000000,
            "adapters": [{"name": "tone", "version": "1"}],
            "replicas": {"mixco": {"minimum": 1, "maximum": 3}, "antigua": {"minimum": 0, "maximum": 2}}}],
        "accounts": [{"id": "brand-1", "weight": 2.5, "token_digests":
            ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"],
            "kinds": [{"name": "draft", "worth": 4, "deadline_ms": 2500}]}],
        "services": [{"name": "kit-desk", "max_requests": 8, "routes": [
            {"method": "GET", "path_prefix": "/stock", "idempotent": true},
            {"method": "POST", "path_prefix": "/orders", "idempotent": false}]}],
        "ledger_homes": ["mixco"]
    })");
}

wire::ParsedManifest parseChanged(const std::function<void(json&)>& change)
{
    auto document = sample();
    change(document);
    return wire::parseManifest(document.dump());
}

} // namespace

TEST_CASE("A manifest is unchanged after formatting and parsing", "[manifest]")
{
    const auto parsed = wire::parseManifest(sample().dump());
    REQUIRE(wire::describe(parsed.faults).empty());
    CHECK(parsed.manifest->accounts[0].kinds[0].deadline == 2500ms);
    CHECK(parsed.manifest->models[0].replicas.at(DataCentreId { "mixco" }).maximum == 3);
    const auto reparsed = wire::parseManifest(wire::formatManifest(*parsed.manifest, 2));
    CHECK(reparsed.manifest == parsed.manifest);
}

TEST_CASE("Each violated rule is reported with its path", "[manifest]")
{
    struct Case {
        std::function<void(json&)> change;
        std::string path;
        std::string rule;
    };
    const auto digest = std::string(64, 'a');
    const std::vector<Case> cases {
        { [](json& it) { it["modles"] = 1; }, "/modles", "unknown member" },
        { [](json& it) { it.erase("models"); }, "/models", "the member is required" },
        { [](json& it) { it["models"] = "x"; }, "/models", "must be an array" },
        { [](json& it) { it["models"][0] = 3; }, "/models/0", "must be an object" },
        { [](json& it) { it["models"][0]["name"] = "a:b"; }, "/models/0/name", "must be a name" },
        { [](json& it) { it["models"][0]["vms_per_replica"] = 0; }, "/models/0/vms_per_replica", "must be an integer" },
        { [](json& it) { it["models"][0]["weight_bytes"] = -1; }, "/models/0/weight_bytes", "must be an integer" },
        { [](json& it) { it["models"][0]["weight_bytes"] = 1.5; }, "/models/0/weight_bytes", "must be an integer" },
        { [](json& it) { it["models"][0]["replicas"]["mixco"]["minimum"] = 4; }, "/models/0/replicas/mixco",
            "minimum must not be above maximum" },
        { [](json& it) {
             it["models"][0]["replicas"]["a/b"] = { { "minimum", 0 }, { "maximum", 0 } };
         },
            "/models/0/replicas/a~1b", "is not in data_centres" },
        { [](json& it) { it["models"].push_back(it["models"][0]); }, "/models/1", "occurs twice" },
        { [](json& it) { it["accounts"].push_back(it["accounts"][0]); }, "/accounts/1/id", "occurs twice" },
        { [&](json& it) { it["accounts"][0]["token_digests"].push_back(digest); }, "/accounts/0/token_digests/1",
            "occurs twice" },
        { [](json& it) { it["accounts"][0]["token_digests"][0] = "secret"; }, "/accounts/0/token_digests/0",
            "must be a SHA-256 digest" },
        { [](json& it) { it["accounts"][0]["weight"] = 0; }, "/accounts/0/weight", "must be a number" },
        { [](json& it) { it["accounts"][0]["kinds"][0]["deadline_ms"] = "2s"; }, "/accounts/0/kinds/0/deadline_ms",
            "must be an integer" },
        { [](json& it) { it["services"][0]["routes"][0]["method"] = "get"; }, "/services/0/routes/0/method",
            "must be GET" },
        { [](json& it) { it["services"][0]["routes"][0]["path_prefix"] = "stock"; }, "/services/0/routes/0/path_prefix",
            "must be a path" },
        { [](json& it) { it["services"][0]["routes"][0]["idempotent"] = "yes"; }, "/services/0/routes/0/idempotent",
            "must be true or false" },
        { [](json& it) { it["services"][0]["routes"][0].erase("idempotent"); }, "/services/0/routes/0/idempotent",
            "the member is required" },
        { [](json& it) { it["ledger_homes"] = json::array(); }, "/services/0/routes/1/idempotent",
            "requires at least one data centre in ledger_homes" },
        { [](json& it) { it["ledger_homes"][0] = "breda"; }, "/ledger_homes", "is not in data_centres" },
        { [](json& it) { it["data_centres"].push_back("mixco"); }, "/data_centres/2", "occurs twice" },
        { [](json& it) { it["data_centres"] = json::array(); }, "/data_centres", "at least one data centre" },
    };
    for (const auto& it : cases) {
        const auto parsed = parseChanged(it.change);
        CAPTURE(it.path, it.rule, wire::describe(parsed.faults));
        CHECK_FALSE(parsed.manifest.has_value());
        CHECK(std::any_of(parsed.faults.begin(), parsed.faults.end(),
            [&](const auto& fault) { return fault.path == it.path && fault.rule.find(it.rule) != std::string::npos; }));
    }
}

TEST_CASE("A fault is formatted as path, value and rule in one line, and all faults are reported at once", "[manifest]")
{
    const auto parsed = parseChanged([](json& it) {
        it["models"][0]["vms_per_replica"] = 100;
        it["accounts"][0]["weight"] = "big";
    });
    CHECK(wire::describe(parsed.faults)
        == "/models/0/vms_per_replica: 100: must be an integer from 1 to 64\n"
           "/accounts/0/weight: \"big\": must be a number from 0.001 to 1000000.0");
}

TEST_CASE("Malformed, overlong and deeply nested texts and duplicate members are rejected", "[manifest]")
{
    CHECK(wire::parseManifest("{\"models\": [").faults.at(0).rule.starts_with("malformed JSON"));
    CHECK(wire::parseManifest("").faults.size() == 1);
    CHECK(wire::parseManifest("\xff\xfe").faults.size() == 1);
    const auto twice = wire::parseManifest(R"({"models": [{}, {"name": "a", "name": "b"}]})");
    REQUIRE(twice.faults.size() == 1);
    CHECK(twice.faults[0].path == "/models/1/name");
    CHECK(twice.faults[0].rule == "the member occurs twice");
    const auto deep = wire::parseManifest(std::string(100'000, '['));
    CHECK(deep.faults.at(0).rule == "nesting is limited to 16 levels");
    CHECK(wire::parseManifest(std::string(wire::maxManifestBytes + 1, ' ')).faults.size() == 1);
}

TEST_CASE("The digest matches the published SHA-256 test vector", "[manifest]")
{
    CHECK(wire::sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
