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
