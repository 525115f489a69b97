#pragma once

#include <rosemarymill/core/base/id.hpp>

#include <event2/http.h>

#include <functional>
#include <string>

/// A caller's request in the form in which backend servers receive it.
namespace rosemarymill::runtime::backend {

/// Request kept until its call ends, so that a further attempt can send it again.
struct OutgoingRequest {
    evhttp_cmd_type method { EVHTTP_REQ_POST };
    /// Path with query.
    std::string target;
    std::string contentType;
    std::string accept;
    std::string idempotencyKey;
    std::string traceparent;
    std::string body;
};

/// Finds the request of a call; null when the call has ended.
using RequestLookup = std::function<const OutgoingRequest*(CallId)>;

} // namespace rosemarymill::runtime::backend
