#include "parts.hpp"

namespace rosemarymill::node {

namespace {

bool isResend(const ConfigurationInForce& held, const ManifestSubmitted& event)
{
    return held.revision && held.submissionId == event.submissionId && held.digest == event.digest;
}

} // namespace

void handle(State& state, const ManifestSubmitted& event, Effects& effects)
{
    auto& held = state.configuration;
    if (isResend(held, event)) {
        effects(ReplyOperator { event.request, OperatorResult::AlreadyAccepted, held.revision, held.revision, {} });
        return;
    }
    if (event.expected && *event.expected != held.revision) {
        effects(ReplyOperator { event.request, OperatorResult::Conflict, held.revision, held.revision,
            "expected revision " + std::to_string(event.expected->value) + ", in force is "
                + std::to_string(held.revision.value) + " from submission " + held.submissionId });
        return;
    }
    held = { held.revision.next(), event.submissionId, event.digest, event.manifest };
    effects(
        WriteLog { LogLevel::Info, "configuration", "Revision " + std::to_string(held.revision.value) + " in force." });
    effects(ReplyOperator { event.request, OperatorResult::Accepted, held.revision, held.revision, {} });
    updateGroups(state, effects);
}

void handle(State&, const AvailabilityCommand& event, Effects& effects)
{
    effects(ReplyOperator {
        event.request, OperatorResult::NotAccepted, {}, {}, "no log of availability changes is configured" });
}

} // namespace rosemarymill::node
