#include <rosemarymill/core/node/reduce.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;

namespace {

template <typename T> std::vector<T> effectsOf(const node::Effects& effects)
{
    std::vector<T> found;
    for (const auto& it : effects) {
        if (const auto* effect = std::get_if<T>(&it))
            found.push_back(*effect);
    }
    return found;
}

configuration::Manifest sampleManifest()
{
    configuration::Manifest manifest;
    manifest.dataCentres = { DataCentreId { "mixco" } };
    configuration::ModelSpec model;
    model.name = ModelName { "planner" };
    model.version = "1";
    model.vmsPerReplica = 2;
    model.replicas[DataCentreId { "mixco" }] = { 1, 1 };
    manifest.models = { model };
    configuration::ClientAccount account;
    account.id = AccountId { "brand-1" };
    account.tokenDigests = { "digest-1" };
    manifest.accounts = { account };
    return manifest;
}

backend::Announcement engine(const std::string& name)
{
    backend::Announcement it;
    it.id = ServerId { name };
    it.bootId = BootId { "boot-" + name };
    it.vm = VmId { "vm-" + name };
    it.dataCentre = DataCentreId { "mixco" };
    it.fabricDomain = FabricDomainId { "fabric-1" };
    it.address = "127.0.0.1:9" + name;
    it.accelerators = 2;
    it.maxRequests = 4;
    return it;
}

} // namespace

TEST_CASE("A call is served only after every member of the group has confirmed it", "[node]")
{
    node::Settings settings;
    settings.vm = VmId { "entry-1" };
    settings.dataCentre = DataCentreId { "mixco" };
    settings.announceAddress = "127.0.0.1:7000";
    node::State state { settings };
    node::Effects effects;
    const Instant start { 1s };
    node::reduce(
        state, node::ManifestSubmitted { start, RequestId { 1 }, std::nullopt, "s", "d", sampleManifest() }, effects);
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 2 }, engine("01") }, effects);
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 3 }, engine("02") }, effects);
    const auto orders = effectsOf<node::SendOrder>(effects);
    REQUIRE(orders.size() == 2);

    call::Request request;
    request.tokenDigest = "digest-1";
    request.model = ModelName { "planner" };
    effects.clear();
    node::reduce(state, node::CallArrived { start, CallId { 1 }, request }, effects);
    auto confirmed = engine("01");
    confirmed.group = backend::GroupMembership { orders[0].order.group, orders[0].order.fencing, orders[0].order.rank };
    confirmed.fencingSeen = orders[0].order.fencing;
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 4 }, confirmed }, effects);
    CHECK(effectsOf<node::Dispatch>(effects).empty());

    confirmed = engine("02");
    confirmed.group = backend::GroupMembership { orders[1].order.group, orders[1].order.fencing, orders[1].order.rank };
    confirmed.fencingSeen = orders[1].order.fencing;
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 5 }, confirmed }, effects);
    CHECK(effectsOf<node::Dispatch>(effects).size() == 1);
}

TEST_CASE("An error response to a resumed stream neither ends the stream nor is forwarded into it", "[node]")
{
    node::Settings settings;
    settings.vm = VmId { "entry-1" };
    settings.dataCentre = DataCentreId { "mixco" };
    settings.announceAddress = "127.0.0.1:7000";
    node::State state { settings };
    node::Effects effects;
    const Instant start { 1s };
    auto manifest = sampleManifest();
    manifest.models[0].vmsPerReplica = 1;
    node::reduce(state, node::ManifestSubmitted { start, RequestId { 1 }, std::nullopt, "s", "d", manifest }, effects);
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 2 }, engine("01") }, effects);
    const auto orders = effectsOf<node::SendOrder>(effects);
    REQUIRE(orders.size() == 1);
    auto confirmed = engine("01");
    confirmed.group = backend::GroupMembership { orders[0].order.group, orders[0].order.fencing, orders[0].order.rank };
    confirmed.fencingSeen = orders[0].order.fencing;
    node::reduce(state, node::AnnouncementReceived { start, RequestId { 3 }, confirmed }, effects);
    call::Request request;
    request.tokenDigest = "digest-1";
    request.model = ModelName { "planner" };
    request.stream = true;
    effects.clear();
    node::reduce(state, node::CallArrived { start, CallId { 1 }, request }, effects);
    auto dispatches = effectsOf<node::Dispatch>(effects);
    REQUIRE(dispatches.size() == 1);
    const auto first = dispatches[0].attempt;
    node::reduce(state, node::ResponseStarted { start, first, 200, true }, effects);
    node::reduce(state, node::TokenReceived { start, first, 0, 8 }, effects);
    node::reduce(state, node::AttemptFailed { start, first, node::AttemptError::TimedOut, true }, effects);
    dispatches = effectsOf<node::Dispatch>(effects);
    REQUIRE(dispatches.size() == 2);
    const auto second = dispatches[1].attempt;
    CHECK(dispatches[1].resumeFrom == 1);
    const auto [status, stream] = GENERATE(std::pair { 500, false }, std::pair { 404, false }, std::pair { 200, false },
        std::pair { 204, false }, std::pair { 500, true });
    CAPTURE(status, stream);
    effects.clear();
    node::reduce(state, node::ResponseStarted { start, second, status, stream }, effects);
    node::reduce(state, node::ResponseFinished { start, second }, effects);
    CHECK(effectsOf<node::FinishCall>(effects).empty());
    CHECK(effectsOf<node::BeginResponse>(effects).empty());
    CHECK(effectsOf<node::CancelAttempt>(effects).size() == 1);
}
