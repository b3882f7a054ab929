/**
 * DOC: control_event - inputs of control_step()
 *
 * Each event carries the current time.  The caller keeps ownership of what an
 * event points to, and must keep it valid during the step.
 */
#ifndef BM_CONTROL_EVENT_H
#define BM_CONTROL_EVENT_H

#include "base.h"
#include "wire.h"

/* CONTROL_EVENT(NAME, member of the union, what happened) */
/* clang-format off */
#define CONTROL_EVENT_LIST(CONTROL_EVENT)                                     \
    CONTROL_EVENT(TICK, none, "time has passed")                              \
    CONTROL_EVENT(MESSAGE, message, "a message from another process")         \
    CONTROL_EVENT(SAVED, saved, "a sync is done")                             \
    CONTROL_EVENT(PUBLISH, publish, "an operator publishes a configuration")  \
    CONTROL_EVENT(CHANGE, change, "an operator changes the membership")       \
    CONTROL_EVENT(EVACUATE, evacuate, "an operator evacuates a zone")         \
    CONTROL_EVENT(READ, read, "an HTTP client reads")                         \
    CONTROL_EVENT(GONE, gone, "an HTTP client disconnected before the answer")\
    CONTROL_EVENT(CONTACT, contact, "a process that may be a member is found")\
    CONTROL_EVENT(STOP, none, "a planned shutdown begins")
/* clang-format on */

enum control_event_kind {
#define CONTROL_EVENT(NAME, member, text) CEV_##NAME,
    CONTROL_EVENT_LIST(CONTROL_EVENT)
#undef CONTROL_EVENT
        CONTROL_EVENT_KINDS,
};

/** enum change_action - kind of membership change; CHANGE_REPLACE takes the
 * vote of a member whose disk is lost until the new disk has caught up */
enum change_action { CHANGE_ADD, CHANGE_REMOVE, CHANGE_REPLACE };

/** enum read_kind - what to read */
enum read_kind { READ_CONFIG, READ_HISTORY, READ_STATUS, READ_STATE };

struct cev_message {
    struct name from;
    const struct msg *msg;
};

struct cev_saved {
    uint64_t seq; /* of the CE_SYNC that is done */
};

struct cev_publish {
    uint64_t request; /* number that CE_REPLY refers to */
    struct name publisher;
    const char *request_id;
    uint64_t base_version;
    uint64_t rank; /* see struct rec_publish */
    const char *summary;
    struct blob *config;
};

struct cev_change {
    uint64_t request;
    enum change_action action;
    struct name member;
    struct address address; /* of CHANGE_ADD: of peer connections */
    struct address http;    /* of CHANGE_ADD: of the HTTP server */
};

struct cev_evacuate {
    uint64_t request;
    struct name publisher;
    struct name zone;
    bool evacuate; /* false: ends the evacuation */
};

struct cev_read {
    uint64_t request;
    enum read_kind kind;
    uint64_t version; /* of READ_CONFIG; 0: the newest */
    uint32_t limit;   /* of READ_HISTORY, in publications */
    bool local; /* answer at once from this member's state, maybe stale */
};

struct cev_disconnect {
    uint64_t request;
};

struct cev_contact {
    struct name name;
};

struct control_event {
    enum control_event_kind kind;
    struct moment now;
    union {
        char none;
        struct cev_message message;
        struct cev_saved saved;
        struct cev_publish publish;
        struct cev_change change;
        struct cev_evacuate evacuate;
        struct cev_read read;
        struct cev_disconnect gone;
        struct cev_contact contact;
    } u;
};

#endif
