#include <rosemarymill/wire/codec/codec.hpp>

namespace rosemarymill::wire {

namespace {

class DecodeCategory final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "decode"; }
    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<DecodeError>(value)) {
        case DecodeError::Malformed:
            return "payload does not match its schema";
        case DecodeError::UnexpectedKind:
            return "unexpected message kind";
        }
        return "unknown decode error";
    }
};

} // namespace

std::error_code make_error_code(DecodeError error) noexcept // NOLINT(readability-identifier-naming)
{
    static const DecodeCategory category;
    return { static_cast<int>(error), category };
}

} // namespace rosemarymill::wire
