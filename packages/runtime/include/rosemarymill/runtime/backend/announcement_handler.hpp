#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/runtime/http/pending_replies.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

/// HTTP handler for the announcements of backend servers.
namespace rosemarymill::runtime::backend {

/// Handles `POST /v1/backends/announce` on an HTTP server.
class AnnouncementHandler {
public:
    AnnouncementHandler(http::Server& server, PostEvent post);

    /// Responds to an announcement: status 200 with interval and home, or 400 with the reason.
    void reply(const node::ReplyAnnouncement& effect);

private:
    void receive(http::Exchange& exchange);

    PostEvent m_post;
    http::PendingReplies m_pending;
};

} // namespace rosemarymill::runtime::backend
