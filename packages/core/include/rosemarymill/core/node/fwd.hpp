#pragma once

/// Forward declarations of the top reducer's types.
namespace rosemarymill::node {

struct Settings;
struct State;

} // namespace rosemarymill::node
