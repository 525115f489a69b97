#pragma once

/// Forward declarations of the base types.
namespace rosemarymill {

struct Clock;

template <typename Tag> class Name;

template <typename Tag> struct Number;

} // namespace rosemarymill
