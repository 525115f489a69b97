#include "archive.hpp"

#include <rosemarymill/wire/manifest/manifest.hpp>
#include <rosemarymill/wire/node/codec.hpp>

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace rosemarymill::wire::trace {

using nlohmann::json;

json Writer::toJson(const rosemarymill::node::PeerMessage& value)
{
    Buffer payload;
    const auto kind = wire::node::encode(value, payload);
    std::string digits;
    for (const auto byte : payload)
        boost::algorithm::hex_lower(std::string(1, static_cast<char>(byte)), std::back_inserter(digits));
    return { { "kind", kind ? static_cast<unsigned>(*kind) : 0 }, { "payload", digits } };
}

json Writer::toJson(const rosemarymill::configuration::Manifest& value) { return json::parse(formatManifest(value)); }

void Reader::fromJson(const json& object, rosemarymill::node::PeerMessage& value)
{
    const auto kind = object.at("kind").get<std::uint16_t>();
    if (kind == 0) {
        value = std::monostate {};
        return;
    }
    std::string bytes;
    boost::algorithm::unhex(object.at("payload").get<std::string>(), std::back_inserter(bytes));
    auto message = wire::node::decode(
        static_cast<FrameKind>(kind), std::as_bytes(std::span<const char>(bytes.data(), bytes.size())));
    if (!message)
        throw std::invalid_argument("peer message: " + message.error().message());
    value = std::move(message.value());
}

void Reader::fromJson(const json& object, rosemarymill::configuration::Manifest& value)
{
    auto parsed = parseManifest(object.dump());
    if (!parsed.manifest)
        throw std::invalid_argument("manifest: " + describe(parsed.faults));
    value = std::move(*parsed.manifest);
}

} // namespace rosemarymill::wire::trace
