#include <rosemarymill/runtime/base/response_head.hpp>

#include <rosemarymill/core/base/message_head.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace rosemarymill::runtime {

bool isValidHead(evhttp_request& request)
{
    return isResponseHead(evhttp_request_get_response_code(&request), *evhttp_request_get_input_headers(&request));
}

int rejectInvalidHead(evhttp_request* request, void*)
{
    if (isValidHead(*request))
        return 0;
    writeLog(node::LogLevel::Warning, "backend", "Dropped a response with an invalid head.");
    return -1;
}

} // namespace rosemarymill::runtime
