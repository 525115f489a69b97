#pragma once

#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

/// Command line of the stand-in engine.
namespace standin {

/// Behaviour of one stand-in engine.
struct EngineOptions {
    std::string address { "127.0.0.1:0" };
    std::vector<std::string> entries;
    std::string id;
    std::string vm;
    std::string dataCentre;
    std::string fabricDomain { "fabric-1" };
    std::uint32_t accelerators { 2 };
    std::uint32_t maxRequests { 64 };
    std::uint64_t memoryBytes { 0 };
    std::uint64_t tokenMemory { 0 };
    double tokensPerSecond { 50 };
    std::uint32_t firstTokenMs { 20 };
    std::uint32_t loadMs { 0 };
    std::uint32_t tokenBytes { 100 };
    std::uint64_t defaultTokens { 16 };
    bool cold { false };
    std::uint32_t coldRequests { 1 };
    std::uint32_t warmAfter { 8 };
    bool ignoreFencing { false };
    std::string crashMarker;
    bool crossAnswers { false };
    std::uint64_t dieAfterTokens { 0 };
    std::uint64_t skipToken { 0 };
    std::uint64_t repeatToken { 0 };
};

/// Reads the command line. Returns nothing after printing the help text.
inline std::optional<EngineOptions> parseEngineOptions(int argc, char** argv)
{
    namespace options = boost::program_options;
    EngineOptions it;
    bool help = false;
    options::options_description description("standin-engine options");
    auto add = description.add_options();
    add("help", options::bool_switch(&help), "print this text");
    add("address", options::value(&it.address), "ip:port to listen at; port 0 lets the kernel choose");
    add("announce", options::value(&it.entries)->composing(), "entry VM to announce to; repeatable");
    add("id", options::value(&it.id)->required(), "server id");
    add("vm", options::value(&it.vm), "VM name; the id by default");
    add("data-centre", options::value(&it.dataCentre)->required(), "data centre");
    add("fabric-domain", options::value(&it.fabricDomain), "fabric domain");
    add("accelerators", options::value(&it.accelerators), "accelerators");
    add("max-requests", options::value(&it.maxRequests), "requests announced as the limit");
    add("memory-bytes", options::value(&it.memoryBytes), "memory for weights");
    add("token-memory", options::value(&it.tokenMemory), "tokens held beyond which the engine crashes; 0: no limit");
    add("tokens-per-second", options::value(&it.tokensPerSecond), "tokens per second and stream; 0: no limit");
    add("first-token-ms", options::value(&it.firstTokenMs), "delay of the first token");
    add("load-ms", options::value(&it.loadMs), "time to load a model");
    add("token-bytes", options::value(&it.tokenBytes), "size of a token event");
    add("default-tokens", options::value(&it.defaultTokens), "tokens of an answer without max_tokens");
    add("cold", options::bool_switch(&it.cold),
        "start cold; more concurrent requests than --cold-requests crash the engine");
    add("cold-requests", options::value(&it.coldRequests), "concurrent requests that a cold engine can run");
    add("warm-after", options::value(&it.warmAfter), "answers after which the engine is warm");
    add("ignore-fencing", options::bool_switch(&it.ignoreFencing), "execute orders with an old fencing number");
    add("crash-marker", options::value(&it.crashMarker), "text in a request body that makes the engine exit");
    add("cross-answers", options::bool_switch(&it.crossAnswers), "answer with the request id of another request");
    add("die-after-tokens", options::value(&it.dieAfterTokens), "exit in mid-stream after this many tokens; 0: never");
    add("skip-token", options::value(&it.skipToken), "leave out this token index once per stream; 0: never");
    add("repeat-token", options::value(&it.repeatToken), "send this token index twice per stream; 0: never");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values["help"].as<bool>()) {
        std::cout << description;
        return std::nullopt;
    }
    options::notify(values);
    if (it.vm.empty())
        it.vm = it.id;
    return it;
}

} // namespace standin
