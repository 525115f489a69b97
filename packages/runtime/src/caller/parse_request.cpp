#include <rosemarymill/runtime/caller/parse_request.hpp>

#include <rosemarymill/wire/digest/sha256.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace rosemarymill::runtime::caller {

namespace {

using nlohmann::json;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view servicesPrefix = "/v1/services/";

/// Longest deadline that a caller may request: one day.
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;

std::optional<std::string> parseDeadline(std::string_view text, Duration& deadline)
{
    if (text.empty())
        return std::nullopt;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || value <= 0 || value > maxDeadlineMs)
        return "X-Request-Deadline-Ms is not a number of milliseconds between 1 and " + std::to_string(maxDeadlineMs);
    deadline = std::chrono::milliseconds { value };
    return std::nullopt;
}

std::string_view tokenOf(std::string_view authorization)
{
    return authorization.starts_with(bearerPrefix) ? authorization.substr(bearerPrefix.size()) : std::string_view {};
}

std::optional<std::string> fillCommon(const HttpParts& parts, call::Request& request)
{
    const auto token = tokenOf(parts.authorization);
    request.tokenDigest = token.empty() ? std::string {} : wire::sha256Hex(token);
    request.method = parts.method;
    request.kind = parts.kind;
    request.idempotencyKey = parts.idempotencyKey;
    request.traceparent = parts.traceparent;
    request.bodyBytes = parts.body.size();
    const std::array<std::string_view, 4> hashed { request.tokenDigest, parts.path, parts.query, parts.body };
    request.fingerprint = fingerprint(hashed);
    return parseDeadline(parts.deadlineMs, request.deadline);
}

void splitModel(std::string_view text, call::Request& request)
{
    if (const auto at = text.rfind('@'); at != std::string_view::npos) {
        request.version = text.substr(at + 1);
        text = text.substr(0, at);
    }
    if (const auto colon = text.find(':'); colon != std::string_view::npos) {
        request.adapter = text.substr(colon + 1);
        text = text.substr(0, colon);
    }
    request.model = ModelName { text };
}

/// Appends the text of a chat message's content, which is a string or a list of content parts.
void appendContent(const json& content, std::string& prompt)
{
    if (content.is_string())
        prompt += content.get_ref<const std::string&>();
    if (!content.is_array())
        return;
    for (const auto& part : content) {
        const auto text = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && text != part.end() && text->is_string())
            prompt += text->get_ref<const std::string&>();
    }
}

std::optional<std::string> readMessages(const json& document, std::string& prompt)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty())
        return "messages is not a non-empty list";
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return "messages[].role is not a string";
        prompt += message["role"].get_ref<const std::string&>();
        prompt += '\n';
        if (const auto content = message.find("content"); content != message.end())
            appendContent(*content, prompt);
        prompt += '\n';
    }
    return std::nullopt;
}

std::optional<std::string> readPrompt(const json& document, std::string& prompt)
{
    const auto it = document.find("prompt");
    if (it == document.end() || !it->is_string())
        return "prompt is not a string";
    prompt = it->get_ref<const std::string&>();
    return std::nullopt;
}

std::optional<std::string> readLimit(const json& document, const char* name, std::uint64_t& limit)
{
    const auto it = document.find(name);
    if (it == document.end() || it->is_null())
        return std::nullopt;
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0)
        return std::string(name) + " is not a positive integer";
    limit = it->get<std::uint64_t>();
    return std::nullopt;
}

void hashPrefixes(std::string_view prompt, call::Request& request)
{
    std::uint64_t hash = 0;
    for (std::size_t pos = 0; pos + prefixBlockBytes <= prompt.size(); pos += prefixBlockBytes) {
        if (request.prefixHashes.size() == maxPrefixBlocks)
            break;
        hash = hash64(prompt.substr(pos, prefixBlockBytes), hash);
        request.prefixHashes.push_back(hash);
    }
}

std::optional<std::string> readDocument(const json& document, bool isChat, call::Request& request)
{
    if (!document.is_object())
        return "the body is not a JSON object";
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
        return "model is not a string";
    splitModel(model->get_ref<const std::string&>(), request);
    if (request.model.empty())
        return "model is empty";
    if (const auto it = document.find("stream"); it != document.end() && !it->is_null()) {
        if (!it->is_boolean())
            return "stream is not a boolean";
        request.stream = it->get<bool>();
    }
    request.maxOutputTokens = defaultMaxOutputTokens;
    for (const auto* name : { "max_tokens", "max_completion_tokens" }) {
        if (auto fault = readLimit(document, name, request.maxOutputTokens))
            return fault;
    }
    std::string prompt;
    if (auto fault = isChat ? readMessages(document, prompt) : readPrompt(document, prompt))
        return fault;
    request.promptTokens = prompt.size() / bytesPerToken + 1;
    hashPrefixes(prompt, request);
    return std::nullopt;
}

} // namespace

std::variant<call::Request, BadRequest> parseModelRequest(const HttpParts& parts)
{
    call::Request request;
    request.target = call::Target::Model;
    request.path = parts.path;
    if (auto fault = fillCommon(parts, request))
        return BadRequest { std::move(*fault) };
    const auto document = json::parse(parts.body, nullptr, false);
    if (document.is_discarded())
        return BadRequest { "the body is not valid JSON" };
    if (auto fault = readDocument(document, parts.path.ends_with("/chat/completions"), request))
        return BadRequest { std::move(*fault) };
    return request;
}

std::variant<call::Request, BadRequest> parseServiceRequest(const HttpParts& parts)
{
    call::Request request;
    request.target = call::Target::Service;
    if (auto fault = fillCommon(parts, request))
        return BadRequest { std::move(*fault) };
    const auto relativePath = parts.path.substr(servicesPrefix.size());
    const auto slash = relativePath.find('/');
    if (slash == std::string_view::npos || slash == 0)
        return BadRequest { "the path is not /v1/services/{service}/{path}" };
    request.service = ServiceName { relativePath.substr(0, slash) };
    request.path = relativePath.substr(slash);
    return request;
}

} // namespace rosemarymill::runtime::caller
