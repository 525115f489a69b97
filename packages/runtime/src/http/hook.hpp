#pragma once

#include <evhtp.h>

/// Conversion of typed hook functions to libevhtp's generic hook type.
namespace rosemarymill::runtime::http::detail {

/// libevhtp stores all hooks as one function type and casts them back. g++ accepts the cast without a warning only via
/// void (*)().
template <typename Hook> evhtp_hook asHook(Hook hook)
{
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

} // namespace rosemarymill::runtime::http::detail
