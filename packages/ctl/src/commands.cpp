#include <rosemarymill/ctl/commands.hpp>

#include <rosemarymill/ctl/client.hpp>
#include <rosemarymill/wire/digest/sha256.hpp>
#include <rosemarymill/wire/json/parse.hpp>
#include <rosemarymill/wire/manifest/manifest.hpp>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

namespace rosemarymill::ctl {

namespace {

using nlohmann::ordered_json;

constexpr std::chrono::seconds watchInterval { 1 };
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

std::optional<std::string> readFile(const std::string& name)
{
    const auto readAll = [](std::istream& it) { return std::string(std::istreambuf_iterator<char>(it), {}); };
    if (name == "-")
        return readAll(std::cin);
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return std::nullopt;
    return readAll(file);
}

/// Outcome of a query that was sent to the addresses in turn.
struct Outcome {
    ExitCode code { ExitCode::Unreachable };
    Answer answer;
    std::string address;
};

/// Sends the query to the entry VMs in turn until one decides. The submission id makes resends idempotent.
Outcome sendUntilDecided(const Arguments& arguments, const Query& query, std::ostream& err)
{
    Client client(arguments.timeout);
    Outcome outcome { ExitCode::NotAccepted, {}, {} };
    for (const auto& address : arguments.addresses) {
        const auto answer = client.send(address, query);
        if (!answer) {
            err << address << ": no answer\n";
            outcome.code = ExitCode::Unreachable;
            continue;
        }
        if (answer->status == statusOk)
            return { ExitCode::Success, *answer, address };
        if (answer->status == statusConflict)
            return { ExitCode::Conflict, *answer, address };
        if (answer->status == statusBadRequest)
            return { ExitCode::Invalid, *answer, address };
        err << address << ": status " << answer->status << ": " << answer->body << '\n';
        // A 503 leaves the code as it is: an earlier entry VM that gave no answer may have accepted the command.
        if (answer->status != statusUnavailable)
            outcome.code = ExitCode::Unreachable;
        outcome.answer = *answer;
    }
    return outcome;
}

void printFaults(const std::vector<wire::JsonFault>& faults, bool json, std::ostream& out, std::ostream& err)
{
    if (!json) {
        err << wire::describe(faults) << '\n';
        return;
    }
    auto list = ordered_json::array();
    for (const auto& it : faults)
        list.push_back({ { "path", it.path }, { "value", it.value }, { "rule", it.rule } });
    out << ordered_json { { "valid", false }, { "faults", std::move(list) } } << '\n';
}

/// Reads and validates the manifest file. On an error the text stays empty and the exit code gives the reason.
ExitCode loadManifest(const Arguments& arguments, std::string& text, std::ostream& out, std::ostream& err)
{
    auto read = readFile(arguments.file);
    if (!read) {
        err << arguments.file << ": cannot be read\n";
        return ExitCode::Usage;
    }
    const auto parsed = wire::parseManifest(*read);
    if (!parsed.manifest) {
        printFaults(parsed.faults, arguments.json, out, err);
        return ExitCode::Invalid;
    }
    text = std::move(*read);
    return ExitCode::Success;
}

ExitCode check(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    std::string text;
    const auto code = loadManifest(arguments, text, out, err);
    if (code != ExitCode::Success)
        return code;
    const auto digest = wire::sha256Hex(text);
    if (arguments.json)
        out << ordered_json { { "valid", true }, { "digest", digest } } << '\n';
    else
        out << "valid, digest " << digest << '\n';
    return ExitCode::Success;
}

std::string describeAnswer(const Answer& answer)
{
    const auto body = wire::parseLenientJson(answer.body);
    if (!body.is_object())
        return answer.body;
    if (!body.contains("result"))
        return body.dump(2);
    const auto revision = body.value("revision", std::uint64_t { 0 });
    const auto current = body.value("current", std::uint64_t { 0 });
    auto text = body.value("result", std::string {});
    if (revision)
        text += (text == "conflict" ? " with revision " : " as revision ") + std::to_string(revision);
    if (current > revision)
        text += ", superseded by " + std::to_string(current);
    const auto detail = body.value("detail", std::string {});
    return detail.empty() ? text : text + ": " + detail;
}

/// Sends a command that changes state and prints the decision.
ExitCode submit(
    const Arguments& arguments, Query query, const std::string& submissionId, std::ostream& out, std::ostream& err)
{
    query.post = true;
    query.headers.emplace_back("X-Submission-Id", submissionId);
    const auto outcome = sendUntilDecided(arguments, query, err);
    if (arguments.json && !outcome.answer.body.empty())
        out << outcome.answer.body << '\n';
    else if (!outcome.answer.body.empty())
        (outcome.code == ExitCode::Success ? out : err) << describeAnswer(outcome.answer) << '\n';
    if (outcome.code == ExitCode::Unreachable)
        err << "outcome unknown; repeat the command with --submission-id " << submissionId << '\n';
    return outcome.code;
}

ExitCode apply(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    Query query;
    const auto code = loadManifest(arguments, query.body, out, err);
    if (code != ExitCode::Success)
        return code;
    query.path = "/v1/manifest";
    query.headers.emplace_back("Content-Type", "application/json");
    if (arguments.expectRevision)
        query.headers.emplace_back("X-Expect-Revision", std::to_string(*arguments.expectRevision));
    const auto id = arguments.submissionId.empty() ? wire::sha256Hex(query.body) : arguments.submissionId;
    return submit(arguments, std::move(query), id, out, err);
}

ExitCode changeAvailability(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    Query query;
    query.path = arguments.command == Command::TakeOut ? "/v1/take-out" : "/v1/bring-back";
    query.body = ordered_json { { "kind", arguments.unitKind }, { "name", arguments.unitName } }.dump(
        -1, ' ', true, ordered_json::error_handler_t::replace);
    query.headers.emplace_back("Content-Type", "application/json");
    const auto id = arguments.submissionId.empty() ? boost::uuids::to_string(boost::uuids::random_generator()())
                                                   : arguments.submissionId;
    return submit(arguments, std::move(query), id, out, err);
}

ExitCode show(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    const bool status = arguments.command == Command::Status;
    const Query query { false, status ? "/v1/status" : "/v1/revisions", {}, {} };
    const auto outcome = sendUntilDecided(arguments, query, err);
    if (outcome.code != ExitCode::Success)
        return outcome.code;
    const auto& body = outcome.answer.body;
    if (arguments.json)
        out << body << '\n';
    else
        out << (status ? renderStatus(body) : renderRevisions(body));
    out.flush();
    return ExitCode::Success;
}

ExitCode watch(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    for (;;) {
        const auto code = show(arguments, out, err);
        if (!out)
            return code;
        if (!arguments.json)
            out << '\n';
        std::this_thread::sleep_for(watchInterval);
    }
}

} // namespace

ExitCode run(const Arguments& arguments, std::ostream& out, std::ostream& err)
{
    switch (arguments.command) {
    case Command::Check:
        return check(arguments, out, err);
    case Command::Apply:
        return apply(arguments, out, err);
    case Command::TakeOut:
    case Command::BringBack:
        return changeAvailability(arguments, out, err);
    case Command::Status:
    case Command::Revisions:
        return arguments.watch ? watch(arguments, out, err) : show(arguments, out, err);
    }
    return ExitCode::Usage;
}

} // namespace rosemarymill::ctl
