#pragma once

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/nodes/control_node.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

/// Control VMs that run in one process and communicate over loopback.
namespace rosemarymill::test {

using runtime::nodes::ControlNode;

/// Free address on loopback.
inline std::string freeAddress(event_base* base) { return RawListener(base).address(); }

/// Document text of `bytes` bytes as compressible as routes are. It begins with the version.
inline std::string documentText(std::uint64_t version, std::size_t bytes)
{
    auto text = std::to_string(version);
    while (text.size() < bytes)
        text += ",{\"name\":\"r-" + std::to_string(text.size() * 7919) + "\",\"route_kind\":\"streaming\"}";
    text.resize(std::max(bytes, std::to_string(version).size()));
    return text;
}

/// Incompressible document text. It begins with the version.
inline std::string randomText(std::uint64_t version, std::size_t bytes)
{
    std::mt19937 random { 1 };
    auto text = std::to_string(version) + ',';
    while (text.size() < bytes)
        text.push_back(static_cast<char>(random()));
    return text;
}

inline routes::Document documentOf(std::uint64_t version)
{
    routes::Document document;
    document.version = version;
    return document;
}

inline std::uint64_t versionOf(std::string_view text)
{
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

/// Control VM under test, with its data folder and the number of documents that it has decoded.
struct Vm {
    std::string address;
    std::string folder;
    unsigned decoded { 0 };
    std::unique_ptr<ControlNode> node;
};

struct World {
    static constexpr std::size_t initialVoters = 3;

    /// `prepare` is called with each data folder before the VMs start. It writes the state of an earlier version, whose
    /// log was bootstrapped by these voters.
    explicit World(const std::function<void(const std::filesystem::path&)>& prepare = {})
        : World(std::vector<std::string> {}, prepare)
    {
    }

    /// The VMs get `others` as their seeds instead of each other.
    explicit World(
        std::vector<std::string> others, const std::function<void(const std::filesystem::path&)>& prepare = {})
        : base(event_base_new())
        , seeds(std::move(others))
    {
        std::string name = (std::filesystem::temp_directory_path() / "rosemarymill-XXXXXX").string();
        root = mkdtemp(name.data());
        for (std::size_t i = 0; i < initialVoters; ++i)
            add();
        for (auto& it : vms) {
            if (prepare) {
                prepare(it.folder);
                std::ofstream voters(it.folder + "/voters");
                for (const auto& vm : vms)
                    voters << vm.address << '\n';
            }
        }
        for (auto& it : vms)
            start(it);
    }

    ~World()
    {
        for (auto& it : vms)
            it.node.reset();
        std::error_code ec;
        std::filesystem::remove_all(root, ec);
    }

    World(const World&) = delete;
    World& operator=(const World&) = delete;

    /// Control VM with an empty disk that is not started yet.
    Vm& add()
    {
        auto& vm = vms.emplace_back();
        vm.address = freeAddress(base.get());
        vm.folder = (root / std::to_string(vms.size())).string();
        std::filesystem::create_directory(vm.folder);
        return vm;
    }

    void loseDisk(Vm& vm)
    {
        vm.node.reset();
        std::filesystem::remove_all(vm.folder);
        std::filesystem::create_directory(vm.folder);
    }

    void start(Vm& vm, bool bootstrap = true)
    {
        runtime::nodes::ControlNodeSettings settings;
        settings.address = vm.address;
        settings.dataCentre = DataCentreId { "mixco" };
        settings.seeds = seeds;
        for (const auto& it : vms) {
            if (seeds.empty())
                settings.seeds.push_back(it.address);
        }
        settings.bootstrap = bootstrap;
        settings.dataFolder = vm.folder;
        settings.seed = ++starts;
        runtime::nodes::PlatformAdapter platformAdapter;
        platformAdapter.decodeDocument = [&vm](std::string_view text) {
            ++vm.decoded;
            runtime::nodes::DecodedDocument decoded;
            decoded.document.version = versionOf(text);
            return decoded;
        };
        vm.node = std::make_unique<ControlNode>(base.get(), std::move(settings), std::move(platformAdapter));
    }

    Vm* leader()
    {
        const auto it
            = std::find_if(vms.begin(), vms.end(), [](const auto& vm) { return vm.node && vm.node->leads(); });
        return it == vms.end() ? nullptr : &*it;
    }

    /// Waits for a leader and returns it.
    Vm& waitForLeader()
    {
        REQUIRE(runUntil(base.get(), [&] { return leader() != nullptr; }));
        return *leader();
    }

    /// Submits a document as an operator does, who retries while the outcome is unknown. Returns whether it is
    /// committed within ten seconds; false also when it is rejected.
    bool store(std::uint64_t version, const std::string& text)
    {
        const auto deadline = runtime::readClock() + 10s;
        while (runtime::readClock() < deadline) {
            std::optional<bool> committed;
            if (!waitForLeader().node->storeDocument(documentOf(version), text, [&](bool it) { committed = it; }))
                return false;
            REQUIRE(runUntil(base.get(), [&] { return committed.has_value(); }));
            if (*committed)
                return true;
            WARN("the outcome of version " << version << " is unknown; retrying");
        }
        return false;
    }

    /// Reads the stored document through the leader; empty when the read fails.
    std::string read()
    {
        std::optional<std::string> text;
        waitForLeader().node->readDocument([&](const auto* it) { text = it ? it->text : std::string {}; });
        runUntil(base.get(), [&] { return text.has_value(); });
        return text.value_or("");
    }

    /// Value of a metric of a control VM; -1 when the VM does not report it.
    static double metric(const Vm& vm, const std::string& name)
    {
        std::ostringstream out;
        vm.node->writeMetrics(out);
        std::istringstream in(out.str());
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with(name + ' '))
                return std::stod(line.substr(name.size()));
        }
        return -1;
    }

    bool waitForVersion(std::uint64_t version)
    {
        return runUntil(base.get(), [&] {
            return std::all_of(vms.begin(), vms.end(), [&](const auto& it) {
                return !it.node || metric(it, "rosemarymill_control_document_version") == static_cast<double>(version);
            });
        });
    }

    EventBase base;
    /// Seeds of all VMs; when empty, the addresses of the VMs that exist at a VM's start are its seeds.
    std::vector<std::string> seeds;
    std::filesystem::path root;
    std::uint64_t starts { 0 };
    std::deque<Vm> vms;
};

} // namespace rosemarymill::test
