#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/core/fleet/control.hpp>
#include <rosemarymill/core/routes/document.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Functions that a platform's adapter provides to the processes of a fleet.
namespace rosemarymill::runtime::nodes {

/// Request to the HTTP interface of a server.
struct ServerRequest {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Decoded document. It is valid only when `faults`, the rules that it breaks, is empty.
struct DecodedDocument {
    routes::Document document;
    std::vector<routes::Fault> faults;
};

struct PlatformAdapter {
    /// Decodes a document in the form in which operators submit it.
    std::function<DecodedDocument(std::string_view bytes)> decodeDocument;
    std::function<ServerRequest(const ServerId&, const fleet::Order&)> encodeOrder;
    /// Interprets the HTTP status with which a server answered an order; 0 means no answer.
    std::function<fleet::event::OrderResult(unsigned status)> interpretOrderStatus;
    std::function<ServerRequest(const ServerId&)> encodeProbe;
    std::function<fleet::event::ProbeResult(unsigned status)> interpretProbeStatus;
};

} // namespace rosemarymill::runtime::nodes
