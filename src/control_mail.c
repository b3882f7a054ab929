#include "control_mail.h"

#include <stdlib.h>
#include <string.h>

struct control_mail *
control_mail_new(enum control_event_kind kind)
{
    struct control_mail *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        abort();
    }
    m->event.kind = kind;
    return m;
}

void
control_mail_free(struct control_mail *m)
{
    if (m == NULL) {
        return;
    }
    if (m->msg != NULL) {
        msg_free(m->msg);
        free(m->msg);
    }
    free(m->request_id);
    free(m->summary);
    blob_unref(m->config);
    free(m);
}

struct control_mail *
control_mail_message(struct name from, struct msg *msg)
{
    struct control_mail *m = control_mail_new(CEV_MESSAGE);

    m->msg = malloc(sizeof(*m->msg));
    if (m->msg == NULL) {
        abort();
    }
    *m->msg = *msg;
    memset(msg, 0, sizeof(*msg));
    m->event.u.message.from = from;
    m->event.u.message.msg = m->msg;
    return m;
}

struct control_mail *
control_mail_announce(struct rec_leased_upstream *u)
{
    struct msg report = {.kind = MSG_UPSTREAM_REPORT};
    struct control_mail *m;

    report.u.upstream_report.upstreams = malloc(sizeof(*u));
    if (report.u.upstream_report.upstreams == NULL) {
        abort();
    }
    report.u.upstream_report.upstreams[0] = *u;
    report.u.upstream_report.n_upstreams = 1;
    memset(u, 0, sizeof(*u));
    m = control_mail_message(name_of(""), &report);
    m->kind = CONTROL_MAIL_ANNOUNCE;
    return m;
}

struct control_mail *
control_mail_peer(struct name peer, bool up)
{
    struct control_mail *m = control_mail_new(CEV_TICK);

    m->kind = CONTROL_MAIL_PEER;
    m->peer = peer;
    m->peer_up = up;
    return m;
}
