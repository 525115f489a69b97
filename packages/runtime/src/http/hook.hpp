#pragma once

#include <evhtp.h>

/// Conversion of typed hooks to libevhtp's untyped hook.
namespace rosemarymill::runtime::http::detail {

/// libevhtp stores all hooks as one function type and casts them back. The cast by way of void (*)() is the form that
/// g++ accepts without a warning.
template <typename Hook> evhtp_hook asHook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

} // namespace rosemarymill::runtime::http::detail
