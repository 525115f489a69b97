#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/call/request.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the entry VM that holds a caller's connection (origin) and the entry VM of another data centre that
/// serves the call (server).
namespace rosemarymill::wire::forward {

struct Open {
    AttemptId attempt;
    /// Address of the origin's peer listener as "ip:port".
    std::string replyAddress;
    /// Token events below this index are not sent.
    std::uint64_t resumeFrom { 0 };
    call::Request request;
    /// HTTP method as a value of evhttp_cmd_type.
    std::uint32_t httpMethod { 0 };
    std::string httpTarget;
    std::string contentType;
    std::string accept;
    std::string body;
};

struct Cancel {
    AttemptId attempt;
};

struct Flow {
    AttemptId attempt;
    bool reading { true };
};

struct Check {
    std::string replyAddress;
    std::vector<AttemptId> attempts;
};

struct Alive { };

struct Head {
    AttemptId attempt;
    int status { 0 };
    bool stream { false };
    std::string contentType;
};

struct Chunk {
    AttemptId attempt;
    std::uint64_t index { 0 };
    std::string bytes;
};

struct Close {
    AttemptId attempt;
    bool complete { false };
    /// Whether any byte of the request may have reached a backend server.
    bool mayHaveRun { true };
    std::string body;
};

struct Message {
    BootId originBoot;
    std::variant<Open, Cancel, Flow, Check, Alive, Head, Chunk, Close> body;
};

void encode(const Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<Message> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::forward
