/**
 * DOC: publish - what the answers to a publication mean
 *
 * Pure readers of bm-control's JSON; docs/control-api.md is their source.
 */
#ifndef BM_PUBLISH_H
#define BM_PUBLISH_H

#include <jansson.h>

#include "fetch.h"

/** enum publish_end - how a publication ended */
enum publish_end {
    PUBLISH_ACCEPTED,    /* durable on a majority */
    PUBLISH_TAKEN,       /* somebody else published from this base first */
    PUBLISH_REFUSED,     /* nothing was changed, and trying again is no use */
    PUBLISH_UNREACHABLE, /* nothing was changed: nobody took it */
    PUBLISH_UNKNOWN,     /* may be accepted; resend the same request id */
};

/** struct publish_answer - what was told */
struct publish_answer {
    enum publish_end end;
    uint64_t version; /* accepted, or in force now; 0 when not told */
    bool resend;      /* accepted by an earlier request with this id */
    char detail[DETAIL_SIZE];
};

/** publish_read() - @unknown says that some attempt ended without a word */
struct publish_answer publish_read(const struct fetch_reply *reply,
                                   bool unknown);

/** struct publish_laggard - an instance without the version in force */
struct publish_laggard {
    char instance[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t version;
    int64_t heard_ms;
};

/** struct publish_reach - how far a version has come */
struct publish_reach {
    bool known; /* it was read from a status */
    size_t in_force;
    size_t lagging;
};

/** publish_laggards() - reads a status and lists up to @room instances that
 * are below @version */
struct publish_reach publish_laggards(const json_t *status, uint64_t version,
                                      struct publish_laggard *out,
                                      size_t room);

#endif
