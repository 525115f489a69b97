#pragma once

struct evhttp_request;

/// Checks of the responses that evhttp reads, which accepts any status and any name of a field.
namespace rosemarymill::runtime {

/// Whether the head of a response is valid, so that the response can be used.
[[nodiscard]] bool isValidHead(evhttp_request& request);

/// Header callback of requests that makes evhttp end those with an invalid response, as if the connection had been
/// closed. Returns -1 for them, otherwise 0.
int rejectInvalidHead(evhttp_request* request, void* arg);

} // namespace rosemarymill::runtime
