#include "leaseclient.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "stats.h"
#include "table.h"
#include "timers.h"

enum {
    EVENTS_MAX = 64,
    EVENT_ROUNDS_MAX = 8,   /* rounds of events in one run */
    IDLE_EASY_MAX = 64,     /* easy handles kept for later calls */
    READ_BUFFER = 4 * 1024, /* answers are short; libcurl's own is 16 KiB */
    URL_SIZE = ADDRESS_SIZE + LEASE_PATH_SIZE + 8,
    NEVER = -1,
};

/* A call in progress. */
struct call {
    struct handle self;
    int64_t due_us; /* times out then */
    uint64_t number;
    struct lease_request request;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    unsigned int attempts; /* to send the request on a connection */
    char *answer;
    size_t size;
    size_t answer_capacity;
    struct leaseclient *client;
};

struct leaseclient {
    struct leaseclient_options opts;
    CURLM *multi;
    int epoll;
    int64_t due_us; /* when libcurl's timer is due, or NEVER */
    bool due_now;   /* libcurl's timer is due at once */
    struct table calls;
    struct timers timeouts;
    CURL *idle[IDLE_EASY_MAX];
    size_t n_idle;
};

struct leaseclient_options
leaseclient_options_default(void)
{
    return (struct leaseclient_options){
        .idle_connections_max = 512,
        .idle_max_s = 15,
        .answer_bytes_max = (size_t)1 << 20,
        .clock = clock_real(),
    };
}

/* libcurl's callback for the events to watch on a socket. */
static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *socket)
{
    struct leaseclient *c = user;
    struct epoll_event e = {.data.fd = fd};

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        (void)epoll_ctl(c->epoll, EPOLL_CTL_DEL, fd, NULL);
        (void)curl_multi_assign(c->multi, fd, NULL);
        return 0;
    }
    e.events |= (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0;
    e.events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0;
    if (socket == NULL) {
        (void)epoll_ctl(c->epoll, EPOLL_CTL_ADD, fd, &e);
        (void)curl_multi_assign(c->multi, fd, c);
    }
    else {
        (void)epoll_ctl(c->epoll, EPOLL_CTL_MOD, fd, &e);
    }
    return 0;
}

static int64_t
now_us(const struct leaseclient *c)
{
    return clock_now(c->opts.clock).mono_us;
}

static int
on_timer(CURLM *multi, long ms, void *user)
{
    struct leaseclient *c = user;

    (void)multi;
    c->due_now = ms == 0;
    c->due_us = ms < 0 ? NEVER : now_us(c) + ms * USEC_PER_MSEC;
    return 0;
}

struct leaseclient *
leaseclient_new(const struct leaseclient_options *o)
{
    struct leaseclient *c = calloc(1, sizeof(*c));

    if (c == NULL || curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK) {
        free(c);
        return NULL;
    }
    c->opts = *o;
    c->due_us = NEVER;
    table_init(&c->calls, sizeof(struct call));
    c->epoll = epoll_create1(EPOLL_CLOEXEC);
    c->multi = curl_multi_init();
    if (c->epoll < 0 || c->multi == NULL) {
        leaseclient_free(c);
        return NULL;
    }
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, o->idle_connections_max);
    curl_multi_setopt(c->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
    return c;
}

static void
call_free(struct call *call)
{
    blob_unref(call->request.spec);
    curl_slist_free_all(call->headers);
    free(call->body);
    free(call->answer);
    table_remove(&call->client->calls, call->self);
}

void
leaseclient_free(struct leaseclient *c)
{
    struct call *call;
    struct handle h;
    uint32_t at = 0;

    if (c == NULL) {
        return;
    }
    while ((call = table_next(&c->calls, &at, &h)) != NULL) {
        curl_multi_remove_handle(c->multi, call->easy);
        curl_easy_cleanup(call->easy);
        call_free(call);
    }
    while (c->n_idle > 0) {
        curl_easy_cleanup(c->idle[--c->n_idle]);
    }
    if (c->multi != NULL) {
        curl_multi_cleanup(c->multi);
    }
    if (c->epoll >= 0) {
        (void)close(c->epoll);
    }
    table_clear(&c->calls);
    timers_clear(&c->timeouts);
    free(c);
    curl_global_cleanup();
}

static size_t
append_answer(const char *data, size_t size, size_t n, void *user)
{
    struct call *call = user;
    size_t bytes = size * n;

    if (call->size + bytes > call->client->opts.answer_bytes_max) {
        return 0;
    }
    if (call->size + bytes > call->answer_capacity) {
        size_t answer_capacity = 2 * (call->size + bytes);
        char *grown = realloc(call->answer, answer_capacity);

        if (grown == NULL) {
            return 0;
        }
        call->answer = grown;
        call->answer_capacity = answer_capacity;
    }
    memcpy(call->answer + call->size, data, bytes);
    call->size += bytes;
    return bytes;
}

/* The timeout restarts when libcurl dials and when it sends the request.  When
 * this process is behind, that is long after the call was made. */
static void
restart_timeout(struct call *call)
{
    call->due_us = now_us(call->client) + call->request.timeout_us;
}

static int
before_connect(void *user, curl_socket_t fd, curlsocktype purpose)
{
    (void)fd;
    (void)purpose;
    restart_timeout(user);
    return CURL_SOCKOPT_OK;
}

/* libcurl defines the parameters. */
/* NOLINTBEGIN(readability-non-const-parameter) */
static int
before_request(void *user, char *remote, char *local, int remote_port,
               int local_port)
{
    struct call *call = user;

    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    call->attempts++;
    restart_timeout(call);
    return CURL_PREREQFUNC_OK;
}
/* NOLINTEND(readability-non-const-parameter) */

static CURL *
easy_get(struct leaseclient *c)
{
    CURL *easy = c->n_idle > 0 ? c->idle[--c->n_idle] : curl_easy_init();

    if (easy == NULL) {
        abort();
    }
    return easy;
}

static void
easy_put(struct leaseclient *c, CURL *easy)
{
    if (c->n_idle == IDLE_EASY_MAX) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    c->idle[c->n_idle++] = easy;
}

static void
add_headers(struct call *call, const struct lease_http_request *wire)
{
    call->headers =
        curl_slist_append(call->headers, "Content-Type: application/json");
    for (size_t i = 0; i < LEASE_HEADERS_MAX; i++) {
        if (wire->headers[i][0] != '\0') {
            call->headers = curl_slist_append(call->headers, wire->headers[i]);
        }
    }
}

static void
set_easy_options(struct call *call, const struct leaseclient_options *o)
{
    CURL *easy = call->easy;
    struct lease_http_request wire = {0};
    char url[URL_SIZE];

    o->codec->encode(&call->request, &wire);
    (void)snprintf(url, sizeof(url), "http://%s%s", call->request.address.s,
                   wire.path);
    call->body = wire.body;
    add_headers(call, &wire);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(call->body));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)READ_BUFFER);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, o->idle_max_s);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, before_connect);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_answer);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

void
leaseclient_send(struct leaseclient *c, struct be_call *from)
{
    struct handle h;
    struct call *call = table_add(&c->calls, &h);

    call->self = h;
    call->number = from->call;
    call->request = from->request;
    from->request.spec = NULL;
    call->client = c;
    call->easy = easy_get(c);
    restart_timeout(call);
    timers_add(&c->timeouts, call->due_us, h);
    set_easy_options(call, &c->opts);
    stats_add(&stats.calls_begun, 1);
    if (curl_multi_add_handle(c->multi, call->easy) != CURLM_OK) {
        abort(); /* out of memory */
    }
}

/* Whether a start is refused after an earlier attempt, which may have been, or
 * may still be, carried out. */
static bool
refused_after_earlier_attempt(const struct call *call,
                              enum lease_result result)
{
    return call->request.kind == LEASE_START && call->attempts > 1 &&
           result != LEASE_OK;
}

static void
report_outcome(struct leaseclient *c, struct call *call, CURLcode result)
{
    struct lease_answer answer = {.result = LEASE_NO_ANSWER};
    long status = 0;

    if (result == CURLE_OK) {
        curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
        c->opts.codec->decode(&call->request, status,
                              call->answer != NULL ? call->answer : "",
                              call->size, &answer);
        if (refused_after_earlier_attempt(call, answer.result)) {
            lease_answer_clear(&answer);
            answer.result = LEASE_NO_ANSWER;
        }
    }
    else if (call->attempts == 0) {
        answer.result = LEASE_NOT_SENT;
    }
    c->opts.on_outcome(c->opts.ctx, call->number, &answer);
}

static void
end_call(struct leaseclient *c, struct call *call, CURLcode result)
{
    report_outcome(c, call, result);
    curl_multi_remove_handle(c->multi, call->easy);
    easy_put(c, call->easy);
    call_free(call);
}

static void
end_completed(struct leaseclient *c)
{
    CURLMsg *msg;
    int left;

    while ((msg = curl_multi_info_read(c->multi, &left)) != NULL) {
        struct call *call = NULL;

        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&call);
        end_call(c, call, msg->data.result);
    }
}

static void
end_timed_out(struct leaseclient *c, int64_t until_us)
{
    struct handle h;

    while (timers_pop(&c->timeouts, until_us, &h)) {
        struct call *call = table_get(&c->calls, h);

        if (call == NULL) {
            continue;
        }
        if (call->due_us > until_us) {
            timers_add(&c->timeouts, call->due_us, h);
            continue;
        }
        end_call(c, call, CURLE_OPERATION_TIMEDOUT);
    }
}

int
leaseclient_fd(const struct leaseclient *c)
{
    return c->epoll;
}

static int64_t
ms_until(int64_t at_us, int64_t from_us)
{
    return at_us > from_us ? (at_us - from_us) / USEC_PER_MSEC + 1 : 0;
}

/* When the next call still in progress may time out.  Most calls end long
 * before; the process must not wake up for the timeouts of these. */
static int64_t
next_timeout_us(struct leaseclient *c)
{
    struct handle h;

    while (c->timeouts.n > 0 &&
           table_get(&c->calls, c->timeouts.items[0].h) == NULL) {
        (void)timers_pop(&c->timeouts, INT64_MAX, &h);
    }
    return timers_next_us(&c->timeouts);
}

int64_t
leaseclient_next_ms(struct leaseclient *c)
{
    int64_t at_us = next_timeout_us(c);

    if (c->due_now) {
        return 0;
    }
    if (c->due_us != NEVER && c->due_us < at_us) {
        at_us = c->due_us;
    }
    return at_us == INT64_MAX ? -1 : ms_until(at_us, now_us(c));
}

static void
handle_event(struct leaseclient *c, const struct epoll_event *e)
{
    int what = 0;
    int running;

    what |= (e->events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    what |= (e->events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    what |= (e->events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    (void)curl_multi_socket_action(c->multi, e->data.fd, what, &running);
}

/* Returns whether all pending events were handled. */
static bool
handle_events(struct leaseclient *c)
{
    struct epoll_event events[EVENTS_MAX];
    int n = EVENTS_MAX;

    for (int round = 0; n == EVENTS_MAX && round < EVENT_ROUNDS_MAX; round++) {
        n = epoll_wait(c->epoll, events, EVENTS_MAX, 0);
        for (int i = 0; i < n; i++) {
            handle_event(c, &events[i]);
        }
    }
    return n < EVENTS_MAX;
}

/* Calls are timed out only after all pending answers were read.  When this
 * process is behind, answers wait in its sockets for longer than the timeout,
 * and healthy runs would be stopped. */
void
leaseclient_run(struct leaseclient *c, bool readable)
{
    int64_t begun_us = now_us(c);
    bool timeout_due = next_timeout_us(c) <= begun_us;
    bool all_read = true;
    int running;

    if (readable || timeout_due) {
        all_read = handle_events(c);
    }
    if (c->due_now || (c->due_us != NEVER && begun_us >= c->due_us)) {
        c->due_now = false;
        c->due_us = NEVER;
        (void)curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0,
                                       &running);
    }
    end_completed(c);
    if (all_read && timeout_due) {
        end_timed_out(c, begun_us);
    }
}
