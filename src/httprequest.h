/**
 * DOC: httprequest - one HTTP request, from its headers to its reply
 *
 * Internal to httpd.
 */
#ifndef BM_HTTPREQUEST_H
#define BM_HTTPREQUEST_H

#include <microhttpd.h>
#include <sys/queue.h>

#include "effect.h"
#include "envelope.h"
#include "httpserver.h"
#include "route.h"

/**
 * struct httprequest - a request
 * @client: its connection
 * @route: what it asks for
 * @body: as far as it came
 * @begun_us: monotonic time when its headers were there
 * @body_due_us: monotonic time by which the body must be there
 * @reading: it is in the list of those whose body is on its way
 * @cut_off: it was refused before its body was whole
 * @replied: @reply is there
 */
struct httprequest {
    struct MHD_Connection *connection;
    struct httpserver_client *client;
    struct httpwait wait_for_reply;
    struct route_match route;
    char key[KEY_TEXT_SIZE]; /* of a submission */
    bool respond_async;
    bool wait;
    uint32_t count;
    uint64_t incarnation;
    char *body;
    size_t body_size;
    size_t body_room;
    int64_t begun_us;
    int64_t body_due_us;
    bool reading;
    bool cut_off;
    bool replied;
    struct effect reply;
    TAILQ_ENTRY(httprequest) reading_link;
};

/** struct httprefusal - why a request is refused before the reducer */
struct httprefusal {
    enum problem problem;
    char detail[DETAIL_SIZE];
};

/** httprequest_check() - reads what the headers and the query tell; false
 * with @why where they are wrong */
bool httprequest_check(struct httprequest *r, size_t body_max,
                       struct httprefusal *why);

/** httprequest_append() - adds to the body; false when memory is out */
bool httprequest_append(struct httprequest *r, const char *data, size_t size);

/** httprequest_event() - the event of a whole request, numbered @id; NULL
 * with @why where the body is wrong */
struct envelope *httprequest_event(struct httprequest *r, uint64_t id,
                                   struct httprefusal *why);

/** httprequest_free() - NULL is allowed */
void httprequest_free(struct httprequest *r);

#endif
