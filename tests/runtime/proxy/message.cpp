#include <rosemarymill/runtime/proxy/message.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill::runtime::proxy;

namespace {

/// Feeds a text byte by byte or at once and returns how many bytes were consumed.
std::size_t feed(Parser& parser, std::string_view text, bool bytewise)
{
    std::size_t used = 0;
    const std::size_t step = bytewise ? 1 : text.size();
    while (used < text.size()) {
        const auto n = parser.feed(text.substr(used, step));
        if (n == 0)
            break;
        used += n;
    }
    return used;
}

} // namespace

TEST_CASE("a request is parsed up to its end", "[proxy]")
{
    const std::string_view request = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\nabc";
    for (const bool bytewise : { false, true }) {
        Parser parser(Parser::Side::Request);
        const auto text = std::string(request) + "GET";
        CHECK(feed(parser, text, bytewise) == request.size());
        REQUIRE(parser.complete());
        CHECK(parser.head().method == "POST");
        CHECK(parser.head().target == "/a/b?c=d");
        CHECK(parser.head().find("host") == "x.example");
        CHECK(parser.head().keepAlive);
        CHECK(parser.body() == "abc");
    }
}

TEST_CASE("ambiguous requests are rejected", "[proxy]")
{
    for (const std::string_view request : {
             "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
             "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         }) {
        CAPTURE(request);
        Parser parser(Parser::Side::Request);
        feed(parser, request, false);
        CHECK(parser.failed());
    }
}

TEST_CASE("a response without a length ends with its connection", "[proxy]")
{
    Parser parser(Parser::Side::Response);
    feed(parser, "HTTP/1.1 200 OK\r\n\r\nabc", false);
    CHECK(parser.headComplete());
    CHECK_FALSE(parser.complete());
    CHECK(parser.finish());
    CHECK(parser.body() == "abc");
    CHECK_FALSE(parser.head().keepAlive);
}

TEST_CASE("a truncated response is not complete", "[proxy]")
{
    for (const std::string_view response : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200 OK\r\nContent-Le" }) {
        Parser parser(Parser::Side::Response);
        feed(parser, response, false);
        CHECK_FALSE(parser.finish());
    }
}

TEST_CASE("a response to HEAD has no body, and bytes after a response are not consumed", "[proxy]")
{
    Parser parser(Parser::Side::Response);
    parser.reset(true);
    const std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    CHECK(feed(parser, std::string(response) + "extra", false) == response.size());
    CHECK(parser.complete());
}

TEST_CASE("bytes that are not an HTTP response fail to parse", "[proxy]")
{
    Parser parser(Parser::Side::Response);
    feed(parser, "garbage\r\n\r\n", false);
    CHECK(parser.failed());
}

TEST_CASE("hop-by-hop headers are recognised", "[proxy]")
{
    MessageHead head;
    head.headers = { { "Connection", "close, X-Private" }, { "X-Private", "1" }, { "X-Public", "1" } };
    CHECK(isHopByHop(head, "x-private"));
    CHECK(isHopByHop(head, "Transfer-Encoding"));
    CHECK_FALSE(isHopByHop(head, "X-Public"));
}

TEST_CASE("a head with a continuation line is rejected, however its bytes are split", "[proxy]")
{
    const std::string before = "\r\n\nHTTP/1.1 200 OK\r\nX-A: 1\r\n";
    const std::string after = "X-B: 2\r\nContent-Length: 6\r\n\r\n\n \n\tab";
    for (const auto* line : { "", " folded\r\n", "\tX-C: 3\r\n", " Content-Length: 1\r\n" }) {
        auto text = before;
        text.append(line).append(after);
        for (std::size_t step = 1; step <= text.size(); ++step) {
            CAPTURE(line, step);
            Parser parser(Parser::Side::Response);
            for (std::size_t i = 0; i < text.size() && !parser.failed(); i += step)
                (void)parser.feed(std::string_view { text }.substr(i, step));
            const bool folded = *line != '\0';
            CHECK(parser.failed() == folded);
            CHECK(parser.complete() != folded);
        }
    }
}
