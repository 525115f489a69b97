#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/runtime/http/pending_replies.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

/// Minimal operator listener that takes a manifest.
namespace rosemarymill::runtime::operators {

/// Takes `POST /v1/manifest` on an HTTP server.
class ManifestListener {
public:
    ManifestListener(http::Server& server, PostEvent post);

    void reply(const node::ReplyOperator& effect);

private:
    void receive(http::Exchange& exchange);

    PostEvent m_post;
    http::PendingReplies m_pending;
};

} // namespace rosemarymill::runtime::operators
