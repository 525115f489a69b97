#include <rosemarymill/runtime/caller/parse_request.hpp>

#include <rosemarymill/wire/digest/sha256.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::runtime::caller;

namespace {

HttpParts chat(std::string_view body)
{
    HttpParts parts;
    parts.method = "POST";
    parts.path = "/v1/chat/completions";
    parts.body = body;
    parts.authorization = "Bearer secret";
    return parts;
}

call::Request parsed(const HttpParts& parts) { return std::get<call::Request>(parseModelRequest(parts)); }

std::string withPrompt(const std::string& prompt)
{
    return R"({"model":"planner","messages":[{"role":"user","content":")" + prompt + R"("}]})";
}

} // namespace

// Guards against attributes missing from the parsed request: the core never receives the body.
TEST_CASE("All attributes of a chat request are parsed", "[caller]")
{
    auto parts = chat(R"({"model":"planner:visits@3","stream":true,"max_tokens":40,)"
                      R"("messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]})");
    parts.kind = "draft";
    parts.deadlineMs = "250";
    parts.idempotencyKey = "key";
    const auto it = parsed(parts);
    CHECK(it.model == ModelName { "planner" });
    CHECK(it.adapter == "visits");
    CHECK(it.version == "3");
    CHECK(it.stream);
    CHECK(it.maxOutputTokens == 40);
    CHECK(it.promptTokens >= 1);
    CHECK(it.kind == "draft");
    CHECK(it.idempotencyKey == "key");
    CHECK(it.deadline == 250ms);
    CHECK(it.tokenDigest == wire::sha256Hex("secret"));
    CHECK(it.bodyBytes == parts.body.size());
}

// Guards against a fingerprint shared by requests of two accounts, paths or bodies: if one request crashed servers,
// the other would be refused too.
TEST_CASE("The fingerprint depends on account, path and body", "[caller]")
{
    const auto body = withPrompt("same");
    const auto base = parsed(chat(body)).fingerprint;
    CHECK(parsed(chat(body)).fingerprint == base);
    auto other = chat(body);
    other.authorization = "Bearer other";
    CHECK(parsed(other).fingerprint != base);
    CHECK(parsed(chat(withPrompt("different"))).fingerprint != base);
}

// Guards against prefix hashes that differ although the prompts have a common prefix.
TEST_CASE("Prompts with a common prefix share their leading hashes", "[caller]")
{
    const std::string common(600, 'a');
    const auto first = parsed(chat(withPrompt(common + std::string(300, 'b')))).prefixHashes;
    const auto second = parsed(chat(withPrompt(common + std::string(300, 'c')))).prefixHashes;
    REQUIRE(first.size() == 3);
    REQUIRE(second.size() == 3);
    CHECK(first[0] == second[0]);
    CHECK(first[1] == second[1]);
    CHECK(first[2] != second[2]);
    CHECK(parsed(chat(withPrompt(std::string(100'000, 'a')))).prefixHashes.size() == maxPrefixBlocks);
}

// Guards against service calls routed by the wrong service or path.
TEST_CASE("A service request is split into service and path", "[caller]")
{
    HttpParts parts;
    parts.method = "POST";
    parts.path = "/v1/services/kit-desk/orders/7";
    const auto it = std::get<call::Request>(parseServiceRequest(parts));
    CHECK(it.target == call::Target::Service);
    CHECK(it.service == ServiceName { "kit-desk" });
    CHECK(it.path == "/orders/7");
    parts.path = "/v1/services/kit-desk";
    CHECK(std::holds_alternative<BadRequest>(parseServiceRequest(parts)));
}

// Guards against a crash or a misparsed request on malicious or malformed JSON.
TEST_CASE("Malformed bodies are rejected", "[caller]")
{
    const std::string deep(200'000, '[');
    for (const std::string_view body :
        { std::string_view { "null" }, std::string_view { "\"x\"" }, std::string_view { R"({"model":""})" },
            std::string_view { R"({"model":{}})" }, std::string_view { R"({"model":"m","messages":{}})" },
            std::string_view { "\xff\xfe" }, std::string_view { deep } })
        CHECK(std::holds_alternative<BadRequest>(parseModelRequest(chat(body))));
}
