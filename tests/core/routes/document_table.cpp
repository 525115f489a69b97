#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/core/routes/table.hpp>

#include "support/documents.hpp"

#include <catch2/catch.hpp>

#include <cctype>
#include <map>

using namespace rosemarymill;
using routes::Document;
using routes::DocumentTable;
using test::DocumentGenerator;

namespace {

std::string toLower(std::string text)
{
    for (auto& it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

/// The document in the order of DocumentTable::document(): by host and prefix, or by name; equal entries keep their
/// order.
Document ordered(Document document)
{
    std::stable_sort(document.routes.begin(), document.routes.end(), [](const auto& a, const auto& b) {
        return std::pair { toLower(a.host), a.pathPrefix } < std::pair { toLower(b.host), b.pathPrefix };
    });
    std::stable_sort(document.services.begin(), document.services.end(),
        [](const auto& a, const auto& b) { return a.name < b.name; });
    std::stable_sort(
        document.accounts.begin(), document.accounts.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    return document;
}

Document withRoutes(std::uint64_t version, std::size_t count) { return test::largeDocument(version, count); }

} // namespace

TEST_CASE("A document rebuilt from any sequence of changes equals the decoded one", "[routes]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        DocumentGenerator source(seed);
        DocumentTable leader;
        std::vector<DocumentTable> receivers(3);
        for (unsigned step = 0; step < 60; ++step) {
            const auto& document = source.next();
            // A new leader has only the newest version. A leader may also have missed versions.
            if (source.below(20) == 0)
                leader = {};
            if (source.below(4) != 0)
                REQUIRE(leader.replace(document));
            if (leader.version() == 0)
                continue;
            for (auto& it : receivers) {
                if (source.below(3) == 0)
                    continue;
                const bool behind = it.version() < leader.version();
                REQUIRE(it.apply(leader.changesSince(it.version())) == behind);
                if (it.version() == document.version)
                    REQUIRE(it.document() == ordered(document));
            }
        }
    }
}

TEST_CASE("Look-ups in a rebuilt document return the same results as in the decoded one", "[routes]")
{
    DocumentGenerator source(7);
    DocumentTable replica;
    DocumentTable leader;
    for (unsigned step = 0; step < 200; ++step) {
        auto document = source.next();
        // Documents in force are valid: host and prefix are unique, and an API key belongs to one account.
        std::map<std::pair<std::string, std::string>, bool> seen;
        std::erase_if(document.routes, [&](const auto& it) {
            return !seen.emplace(std::pair { toLower(it.host), it.pathPrefix }, true).second;
        });
        std::map<std::string, std::string> owners;
        for (auto& it : document.accounts)
            std::erase_if(it.keys,
                [&](const auto& key) { return owners.emplace(key, it.id.text()).first->second != it.id.text(); });
        REQUIRE(leader.replace(document));
        REQUIRE(replica.apply(leader.changesSince(replica.version())));
        const routes::Table expected(document);
        const routes::Table rebuilt(replica.document());
        for (const auto& it : document.routes) {
            const auto* route = rebuilt.match(it.host, it.pathPrefix + "x");
            REQUIRE(route);
            REQUIRE(*route == *expected.match(it.host, it.pathPrefix + "x"));
        }
        for (const auto& [key, owner] : owners) {
            const auto* account = expected.accountOf(key);
            REQUIRE(account);
            REQUIRE(rebuilt.accountOf(key));
            REQUIRE(*rebuilt.accountOf(key) == *account);
        }
        for (const auto& it : document.services)
            REQUIRE(*rebuilt.service(it.name) == *expected.service(it.name));
    }
}

TEST_CASE("Only changed entries are sent, and older versions are rejected", "[routes]")
{
    DocumentTable leader;
    REQUIRE(leader.replace(withRoutes(3, 100)));
    DocumentTable replica;
    REQUIRE(replica.apply(leader.changesSince(0)));
    REQUIRE(leader.replace(withRoutes(9, 99)));
    const auto changes = leader.changesSince(3);
    CHECK(changes.from == 3);
    CHECK(changes.to == 9);
    // The route that contains the version, and the removed one.
    CHECK(changes.entries.size() == 2);
    REQUIRE(replica.apply(changes));
    CHECK(replica.document() == ordered(withRoutes(9, 99)));
    CHECK_FALSE(replica.apply(changes));
    CHECK_FALSE(leader.replace(withRoutes(9, 5)));
    CHECK_FALSE(leader.replace(withRoutes(8, 5)));
    CHECK(leader.document() == ordered(withRoutes(9, 99)));
}

TEST_CASE("Changes from a version other than the receiver's are rejected", "[routes]")
{
    DocumentTable leader;
    leader.replace(withRoutes(1, 10));
    leader.replace(withRoutes(2, 11));
    const auto changes = leader.changesSince(1);
    DocumentTable empty;
    CHECK_FALSE(empty.apply(changes));
    CHECK(empty.version() == 0);
}

// The receiver has a version that the leader skipped. Its entries may have other values than the leader's entries of
// older versions, so changes since that version would leave them wrong.
TEST_CASE("A receiver with an unknown version gets the whole document", "[routes]")
{
    auto divergent = withRoutes(2, 10);
    divergent.routes[5].priority = 7;
    DocumentTable receiver;
    receiver.replace(divergent);
    DocumentTable leader;
    leader.replace(withRoutes(1, 10));
    leader.replace(withRoutes(3, 10));
    const auto changes = leader.changesSince(2);
    CHECK(changes.from == 0);
    REQUIRE(receiver.apply(changes));
    CHECK(receiver.document() == ordered(withRoutes(3, 10)));
}

TEST_CASE("Removed entries beyond a limit are dropped, and older receivers get the whole document", "[routes]")
{
    DocumentTable leader;
    leader.replace(withRoutes(1, DocumentTable::maxRemoved + 20));
    leader.replace(withRoutes(2, DocumentTable::maxRemoved + 10));
    DocumentTable receiver;
    receiver.apply(leader.changesSince(0));
    CHECK(leader.changesSince(1).from == 1);
    leader.replace(withRoutes(3, 5));
    CHECK(leader.changesSince(1).from == 0);
    CHECK(leader.changesSince(2).from == 0);
    CHECK(leader.changesSince(0).entries.size() == 5 + 1 + 1);
    REQUIRE(receiver.apply(leader.changesSince(2)));
    CHECK(receiver.document() == ordered(withRoutes(3, 5)));
    leader.replace(withRoutes(4, 5));
    CHECK(leader.changesSince(3).from == 3);
}
