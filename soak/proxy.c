#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "array.h"
#include "base.h"
#include "netaddr.h"

enum {
    BUFFER = 64 * 1024,
    BACKLOG = 128,
    FDS_MAX = 8192,
    BURST_US = 20 * 1000, /* of bandwidth that is saved up at most */
    RESENDS_MAX = 4,
};

/* A first retransmission; each further one comes after twice the time. */
#define RESEND_US (200 * USEC_PER_MSEC)

struct link {
    int owner;
    int target;
    int listener;
    struct netaddr to;
    int64_t cut_until_us;
    unsigned int way;
    int64_t delay_until_us;
    int64_t delay_us;
    int64_t bad_until_us;
    enum proxy_bad bad;
    int64_t late_us;
    SLIST_ENTRY(link) next;
};

/* One direction of a connection. */
struct flow {
    char data[BUFFER];
    size_t size;
    size_t sent;
    int64_t read_us; /* nothing is read before */
    bool held;       /* what is there was held back by a bad path */
    bool ended;
};

struct pair {
    struct link *link;
    int client;
    int server;
    bool mute;
    bool dead;
    bool stalls; /* where half of the connections do */
    struct flow forth;
    struct flow back;
};

struct proxy {
    int64_t bytes_per_s;
    int64_t budget[PROXY_OWNERS_MAX];
    int64_t now_us;
    uint64_t random;
    SLIST_HEAD(, link) links;
    struct pair **pairs;
    size_t n_pairs;
    size_t room;
};

struct proxy *
proxy_new(int64_t bytes_per_s)
{
    struct proxy *p = calloc(1, sizeof(*p));

    p->bytes_per_s = bytes_per_s;
    return p;
}

static void
free_pair(struct pair *c)
{
    (void)close(c->client);
    (void)close(c->server);
    free(c);
}

void
proxy_free(struct proxy *p)
{
    struct link *l;

    if (p == NULL) {
        return;
    }
    for (size_t i = 0; i < p->n_pairs; i++) {
        free_pair(p->pairs[i]);
    }
    free(p->pairs);
    while ((l = SLIST_FIRST(&p->links)) != NULL) {
        SLIST_REMOVE_HEAD(&p->links, next);
        (void)close(l->listener);
        free(l);
    }
    free(p);
}

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool
proxy_add(struct proxy *p, int owner, int target, const char *listen_at,
          const char *to)
{
    struct link *l = calloc(1, sizeof(*l));
    struct netaddr at;
    int on = 1;

    l->owner = owner;
    l->target = target;
    l->listener = open_socket();
    (void)setsockopt(l->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!netaddr_parse(listen_at, &at) || !netaddr_parse(to, &l->to) ||
        bind(l->listener, (struct sockaddr *)&at.sa, at.size) != 0 ||
        listen(l->listener, BACKLOG) != 0) {
        (void)close(l->listener);
        free(l);
        return false;
    }
    SLIST_INSERT_HEAD(&p->links, l, next);
    return true;
}

/* Faults */

static bool
meant(const struct link *l, int who)
{
    return l->owner == who || l->target == who;
}

void
proxy_cut(struct proxy *p, int who, int64_t until_us, unsigned int way)
{
    struct link *l;

    SLIST_FOREACH(l, &p->links, next)
    {
        if (meant(l, who)) {
            l->cut_until_us = until_us;
            l->way = way;
        }
    }
}

void
proxy_delay(struct proxy *p, int who, int64_t until_us, int64_t delay_us)
{
    struct link *l;

    SLIST_FOREACH(l, &p->links, next)
    {
        if (meant(l, who)) {
            l->delay_until_us = until_us;
            l->delay_us = delay_us;
        }
    }
}

void
proxy_spoil(struct proxy *p, int who, int64_t until_us, enum proxy_bad how,
            int64_t late_us)
{
    struct link *l;

    SLIST_FOREACH(l, &p->links, next)
    {
        if (meant(l, who)) {
            l->bad_until_us = until_us;
            l->bad = how;
            l->late_us = late_us;
        }
    }
}

void
proxy_mute(struct proxy *p, int who)
{
    for (size_t i = 0; i < p->n_pairs; i++) {
        struct pair *c = p->pairs[i];

        c->mute = c->mute || meant(c->link, who);
    }
}

static void
reset(int fd)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void
proxy_reset(struct proxy *p, int who)
{
    for (size_t i = 0; i < p->n_pairs; i++) {
        struct pair *c = p->pairs[i];

        if (meant(c->link, who)) {
            reset(c->client);
            reset(c->server);
            c->dead = true;
        }
    }
}

/* Forwarding */

static void
accept_one(struct proxy *p, struct link *l)
{
    int client =
        accept4(l->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    struct pair *c;

    if (client < 0) {
        return;
    }
    c = calloc(1, sizeof(*c));
    c->link = l;
    c->client = client;
    c->stalls = random_next(&p->random) % 2 == 0;
    c->server = open_socket();
    if (connect(c->server, (struct sockaddr *)&l->to.sa, l->to.size) != 0 &&
        errno != EINPROGRESS) {
        c->dead = true;
    }
    p->pairs =
        array_grow(p->pairs, p->n_pairs, &p->room, sizeof(struct pair *));
    p->pairs[p->n_pairs++] = c;
}

static bool
is_bad(const struct proxy *p, const struct link *l, enum proxy_bad how)
{
    return p->now_us < l->bad_until_us && l->bad == how;
}

static bool
is_cut(const struct proxy *p, const struct pair *c, unsigned int way)
{
    const struct link *l = c->link;

    return c->mute || (c->stalls && is_bad(p, l, PROXY_STALLED)) ||
           (p->now_us < l->cut_until_us &&
            (l->way == PROXY_BOTH_WAYS || l->way == way));
}

static bool
may_read(const struct proxy *p, const struct pair *c, const struct flow *f,
         unsigned int way)
{
    bool room = way != PROXY_BACK || p->bytes_per_s == 0 ||
                p->budget[c->link->owner] > 0;

    return !f->ended && f->size == 0 && p->now_us >= f->read_us && room &&
           !is_cut(p, c, way);
}

static int64_t
resent_us(struct proxy *p)
{
    int64_t us = 0;

    for (int i = 0; i < RESENDS_MAX; i++) {
        if (random_next(&p->random) % 2 == 0) {
            break;
        }
        us += RESEND_US << i;
    }
    return us;
}

/* Whether what can be read has to wait; the wait begins when it is seen. */
static bool
hold_back(struct proxy *p, const struct pair *c, struct flow *f)
{
    int64_t us = is_bad(p, c->link, PROXY_SLOW)    ? c->link->late_us
                 : is_bad(p, c->link, PROXY_LOSSY) ? resent_us(p)
                                                   : 0;

    f->held = !f->held && us > 0;
    if (f->held) {
        f->read_us = p->now_us + us;
    }
    return f->held;
}

static void
read_flow(struct proxy *p, struct pair *c, struct flow *f, int from,
          unsigned int way)
{
    ssize_t n = recv(from, f->data, sizeof(f->data), 0);

    if (n < 0) {
        c->dead = c->dead || (errno != EAGAIN && errno != ENOTCONN);
        return;
    }
    f->ended = n == 0;
    f->size = (size_t)n;
    f->sent = 0;
    if (p->now_us < c->link->delay_until_us) {
        f->read_us = p->now_us + c->link->delay_us;
    }
    if (way == PROXY_BACK) {
        p->budget[c->link->owner] -= n;
    }
}

static void
write_flow(struct pair *c, struct flow *f, int to)
{
    ssize_t n;

    if (f->size > f->sent) {
        n = send(to, f->data + f->sent, f->size - f->sent, MSG_NOSIGNAL);
        if (n < 0) {
            c->dead = c->dead || (errno != EAGAIN && errno != ENOTCONN);
            return;
        }
        f->sent += (size_t)n;
    }
    if (f->sent == f->size) {
        f->size = 0;
        f->sent = 0;
        if (f->ended) {
            (void)shutdown(to, SHUT_WR);
        }
    }
}

static short
wanted(const struct proxy *p, const struct pair *c, const struct flow *in,
       unsigned int way, const struct flow *out)
{
    return (short)((may_read(p, c, in, way) ? POLLIN : 0) |
                   (out->size > out->sent ? POLLOUT : 0));
}

static void
serve_pair(struct proxy *p, struct pair *c, short client, short server)
{
    if ((client & POLLERR) != 0 || (server & POLLERR) != 0) {
        c->dead = true;
        return;
    }
    if ((client & (POLLIN | POLLHUP)) != 0 &&
        may_read(p, c, &c->forth, PROXY_FORTH) &&
        !hold_back(p, c, &c->forth)) {
        read_flow(p, c, &c->forth, c->client, PROXY_FORTH);
    }
    if ((server & (POLLIN | POLLHUP)) != 0 &&
        may_read(p, c, &c->back, PROXY_BACK) && !hold_back(p, c, &c->back)) {
        read_flow(p, c, &c->back, c->server, PROXY_BACK);
    }
    write_flow(c, &c->forth, c->server);
    write_flow(c, &c->back, c->client);
    if (c->forth.ended && c->back.ended && c->forth.size == 0 &&
        c->back.size == 0) {
        c->dead = true;
    }
}

static void
refill(struct proxy *p, int64_t now_us)
{
    int64_t most = p->bytes_per_s * BURST_US / USEC_PER_SEC;
    int64_t more = p->bytes_per_s * (now_us - p->now_us) / USEC_PER_SEC;

    for (int i = 0; i < PROXY_OWNERS_MAX && p->now_us > 0; i++) {
        p->budget[i] += more;
        p->budget[i] = p->budget[i] < most ? p->budget[i] : most;
    }
    p->now_us = now_us;
}

static nfds_t
gather(const struct proxy *p, struct pollfd *fds)
{
    const struct link *l;
    nfds_t n = 0;

    SLIST_FOREACH(l, &p->links, next)
    {
        if (n < FDS_MAX) {
            fds[n++] = (struct pollfd){.fd = l->listener, .events = POLLIN};
        }
    }
    for (size_t i = 0; i < p->n_pairs && n + 2 <= FDS_MAX; i++) {
        const struct pair *c = p->pairs[i];

        fds[n++] = (struct pollfd){
            .fd = c->client,
            .events = wanted(p, c, &c->forth, PROXY_FORTH, &c->back)};
        fds[n++] = (struct pollfd){
            .fd = c->server,
            .events = wanted(p, c, &c->back, PROXY_BACK, &c->forth)};
    }
    return n;
}

static void
drop_dead(struct proxy *p)
{
    size_t kept = 0;

    for (size_t i = 0; i < p->n_pairs; i++) {
        struct pair *c = p->pairs[i];

        if (c->dead) {
            free_pair(c);
        }
        else {
            p->pairs[kept++] = c;
        }
    }
    p->n_pairs = kept;
}

void
proxy_run(struct proxy *p, int64_t now_us)
{
    static struct pollfd fds[FDS_MAX];
    size_t n_pairs = p->n_pairs; /* those that are polled */
    struct link *l;
    nfds_t n;
    nfds_t at = 0;

    refill(p, now_us);
    n = gather(p, fds);
    (void)poll(fds, n, 0);
    SLIST_FOREACH(l, &p->links, next)
    {
        if (at < n && (fds[at++].revents & POLLIN) != 0) {
            accept_one(p, l);
        }
    }
    for (size_t i = 0; i < n_pairs && at + 2 <= n; i++, at += 2) {
        if (!p->pairs[i]->dead) {
            serve_pair(p, p->pairs[i], fds[at].revents, fds[at + 1].revents);
        }
    }
    drop_dead(p);
}
