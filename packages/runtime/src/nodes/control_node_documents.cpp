#include <rosemarymill/runtime/nodes/control_node.hpp>

#include <rosemarymill/core/fleet/document_parts.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/compress/compress.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>
#include <rosemarymill/wire/routes/codec.hpp>

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

bool ControlNode::loadTable(const std::string& submission)
{
    // The log may have applied further commands since, so the kept document has to match the stored version.
    const auto it = std::find_if(m_decodedProposals.begin(), m_decodedProposals.end(), [&](const auto& kept) {
        return !submission.empty() && kept.submission == submission && kept.document.version == m_documentVersion;
    });
    if (it != m_decodedProposals.end()) {
        m_table = std::make_shared<routes::Table>(std::move(it->document));
        m_decodedProposals.erase(it);
        return true;
    }
    const auto text = documentText();
    if (!text)
        return false;
    const auto begin = readClock();
    auto decoded = m_platformAdapter.decodeDocument(text.value());
    m_decodeTimes.add(readClock() - begin);
    if (!decoded.faults.empty()) {
        writeLog(node::LogLevel::Error, "fleet",
            "Rejected stored document: it breaks a rule at " + decoded.faults.front().path + ": "
                + decoded.faults.front().rule + ". It is not activated.");
        return false;
    }
    m_table = std::make_shared<routes::Table>(std::move(decoded.document));
    return true;
}

void ControlNode::publishDocument()
{
    m_feed.publish(m_table->document(), readClock());
    m_pushes.clear();
    for (auto& it : m_subscribers.subscribers())
        pushDocument(it);
    decide(core::event::DocumentChanged { readClock(), m_table });
}

Result<void> ControlNode::storeDocument(routes::Document document, std::string_view text, CommitHandler done)
{
    const auto version = document.version;
    const auto refuse = [&](const char* form, std::size_t bytes, std::size_t limit) {
        writeDecision("fleet", "rejected document",
            { { "version", std::to_string(version) }, { "form", form }, { "bytes", std::to_string(bytes) },
                { "limit", std::to_string(limit) } });
        return std::make_error_code(std::errc::message_size);
    };
    if (text.size() > core::maxDocumentBytes)
        return refuse("submitted", text.size(), core::maxDocumentBytes);
    BOOST_OUTCOME_TRY(bytes, wire::compress(text));
    if (bytes.size() > core::maxStoredDocumentBytes)
        return refuse("compressed", bytes.size(), core::maxStoredDocumentBytes);
    auto submission = nextSubmission();
    if (m_decodedProposals.size() >= maxDecodedProposals)
        m_decodedProposals.pop_front();
    m_decodedProposals.push_back({ submission, std::move(document) });
    propose(core::StoreDocument { std::move(submission), version, std::move(bytes), core::Encoding::Zstd },
        std::move(done));
    return outcome::success();
}

void ControlNode::readDocument(ReadHandler done)
{
    propose(core::Barrier { nextSubmission() }, [this, done = std::move(done)](bool committed) {
        if (!committed)
            return done(nullptr);
        auto text = documentText();
        if (!text)
            return done(nullptr);
        const StoredDocument document { m_replica->machine().state().version, std::move(text.value()) };
        done(&document);
    });
}

Result<std::string> ControlNode::documentText() const
{
    const auto& state = m_replica->machine().state();
    if (state.encoding == core::Encoding::Plain)
        return state.bytes;
    auto text = wire::decompress(state.bytes, core::maxDocumentBytes);
    if (!text)
        writeLog(node::LogLevel::Error, "fleet",
            "Rejected stored document " + std::to_string(state.version)
                + ", decompression failed: " + text.error().message() + '.');
    return text;
}

void ControlNode::pushDocument(Subscriber& subscriber)
{
    if (!m_leads)
        return;
    const auto push = m_feed.next(subscriber.id);
    if (!push)
        return;
    if (auto frames = framesOf(*push))
        m_subscribers.sendPush(subscriber, std::move(frames));
}

std::shared_ptr<const Frames> ControlNode::framesOf(const core::DocumentFeed::Push& push)
{
    auto& cached = m_pushes[push];
    if (cached)
        return cached;
    const auto changes = m_feed.changes(push);
    const auto packed = wire::routes::pack(changes);
    if (!packed) {
        writeLog(node::LogLevel::Error, "fleet",
            "Dropped document push, compression failed: " + packed.error().message() + '.');
        return nullptr;
    }
    const auto bytes = std::as_bytes(std::span { packed.value() });
    Frames frames;
    for (const auto& part : core::splitPush(push.from, push.to, bytes)) {
        wire::Buffer payload;
        wire::fleet::encode(part, payload);
        wire::appendFrame(wire::FrameKind::Fleet, payload, frames.emplace_back());
    }
    writeDecision("fleet", "encoded document push",
        { { "from", std::to_string(push.from) }, { "to", std::to_string(push.to) },
            { "entries", std::to_string(changes.entries.size()) }, { "bytes", std::to_string(bytes.size()) },
            { "parts", std::to_string(frames.size()) } });
    return cached = std::make_shared<const Frames>(std::move(frames));
}

} // namespace rosemarymill::runtime::nodes
