#include <rosemarymill/ctl/commands.hpp>

#include <rosemarymill/wire/json/parse.hpp>

#include <sstream>

#include <nlohmann/json.hpp>

namespace rosemarymill::ctl {

namespace {

using nlohmann::json;

std::string textOf(const json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end())
        return "-";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

json arrayOf(const json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_array() ? *it : json::array();
}

json objectOf(const json& object, const char* key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_object() ? *it : json::object();
}

} // namespace

std::string renderStatus(std::string_view text)
{
    const auto status = wire::parseLenientJson(text);
    if (!status.is_object())
        return std::string(text);
    std::ostringstream out;
    const auto configuration = objectOf(status, "configuration");
    const auto calls = objectOf(status, "calls");
    out << "vm " << textOf(status, "vm") << " in " << textOf(status, "data_centre") << ", ready "
        << textOf(status, "ready");
    if (!textOf(status, "reason").empty())
        out << " (" << textOf(status, "reason") << ')';
    out << "\nrevision " << textOf(configuration, "revision") << " from submission "
        << textOf(configuration, "submission_id") << "\ncalls " << textOf(calls, "active") << " active, "
        << textOf(calls, "waiting") << " waiting\n";
    for (const auto& unit : arrayOf(status, "taken_out"))
        out << "out of service: " << textOf(unit, "kind") << ' ' << textOf(unit, "name") << '\n';
    for (const auto& group : arrayOf(status, "groups"))
        out << "group " << textOf(group, "id") << ' ' << textOf(group, "model") << '@' << textOf(group, "version")
            << ' ' << textOf(group, "phase") << ", " << arrayOf(group, "members").size() << " members\n";
    for (const auto& server : arrayOf(status, "servers"))
        out << "server " << textOf(server, "id") << " on " << textOf(server, "vm") << ' ' << textOf(server, "kind")
            << ", in flight " << textOf(server, "in_flight") << ", running " << textOf(server, "running")
            << (textOf(server, "cold") == "true" ? ", cold" : "")
            << (textOf(server, "leaving") == "true" ? ", leaving" : "") << '\n';
    return out.str();
}

std::string renderRevisions(std::string_view text)
{
    const auto document = wire::parseLenientJson(text);
    if (!document.is_object())
        return std::string(text);
    std::ostringstream out;
    for (const auto& revision : arrayOf(document, "revisions"))
        out << textOf(revision, "revision") << ' ' << textOf(revision, "submission_id") << ' '
            << textOf(revision, "digest") << '\n';
    return out.str();
}

} // namespace rosemarymill::ctl
