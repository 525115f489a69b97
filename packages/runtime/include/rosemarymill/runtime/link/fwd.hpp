#pragma once

/// Forward declarations of the peer links' types.
namespace rosemarymill::runtime {

struct LinkCounters;
struct LinkOptions;
class PeerLinks;

} // namespace rosemarymill::runtime
