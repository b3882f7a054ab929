/**
 * DOC: publish - interprets bm-control's answers to a publication
 *
 * Pure functions on the JSON that docs/control-api.md describes.
 */
#ifndef BM_PUBLISH_H
#define BM_PUBLISH_H

#include <jansson.h>

#include "fetch.h"

/** enum publish_outcome - outcome of a publication */
enum publish_outcome {
    PUBLISH_ACCEPTED,    /* durable on a majority */
    PUBLISH_CONFLICT,    /* another publication replaced the base first */
    PUBLISH_REFUSED,     /* nothing was changed; a retry would fail again */
    PUBLISH_UNREACHABLE, /* nothing was changed: no member accepted it */
    PUBLISH_UNKNOWN,     /* may be accepted; resend the same request id */
};

/** struct publish_answer - content of an answer */
struct publish_answer {
    enum publish_outcome outcome;
    uint64_t version; /* accepted, or in force now; 0 if not in the answer */
    bool resend;      /* accepted by an earlier request with this id */
    char detail[DETAIL_SIZE];
};

/** publish_read() - interprets a reply; @unknown: an attempt with this request
 * id ended without an answer */
struct publish_answer publish_read(const struct fetch_reply *reply,
                                   bool unknown);

/** struct publish_lagging_instance - an entry instance that does not have the
 * version yet; @heard_ms is the time since its last message */
struct publish_lagging_instance {
    char instance[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t version;
    int64_t heard_ms;
};

/** struct publish_rollout - roll-out of a version to entry instances */
struct publish_rollout {
    bool known; /* the status lists the instances */
    size_t in_force;
    size_t lagging;
};

/** publish_list_lagging() - reads a status, counts the instances with and
 * without
 * @version, and writes up to @room of those without it to @out */
struct publish_rollout
publish_list_lagging(const json_t *status, uint64_t version,
                     struct publish_lagging_instance *out, size_t room);

#endif
