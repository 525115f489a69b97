#pragma once

#include <rosemarymill/core/membership/reduce.hpp>

/// Parts of the membership reducer.
namespace rosemarymill::membership {

// gossip.cpp
[[nodiscard]] Header makeHeader(State& state, const VmId& receiver);
void applyUpdate(State& state, const Update& update, Instant now, Effects& effects);
void applyHeader(State& state, const Header& header, Instant now, Effects& effects);
/// Sends all claims to a sender whose view differs from that of this process.
void syncViews(State& state, const Header& header, Instant now, Effects& effects);
/// Sends the claims that changed during the event to a few random members.
void flushPush(State& state, Effects& effects);
[[nodiscard]] Update selfClaim(const State& state);
/// Up to count running members in random order, without those excluded.
[[nodiscard]] std::vector<VmId> randomMembers(State& state, std::size_t count, const VmId& excluded);

// probe.cpp
void startProbe(State& state, const VmId& target, const std::string& address, Instant now, Effects& effects);
void updateProbes(State& state, Instant now, Effects& effects);
void updateSuspects(State& state, Instant now, Effects& effects);
void probeNext(State& state, Instant now, Effects& effects);
void rejoin(State& state, Instant now, Effects& effects);
void handle(State& state, const Probe& message, Instant now, Effects& effects);
void handle(State& state, const Ack& message, Instant now, Effects& effects);
void handle(State& state, const ProbeRequest& message, Instant now, Effects& effects);

// digest.cpp
void exchangeDigests(State& state, Effects& effects);
void handle(State& state, const Digest& message, Instant now, Effects& effects);

} // namespace rosemarymill::membership
