/*
 * The processes' settings and folders, and the links between them.
 */
#include <arpa/inet.h>
#include <ftw.h>
#include <jansson.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "soak.h"

enum {
    PORTS_EACH = 8,
    PORTS_FROM = 21000,
    PORTS_REGIONS = 10,  /* as many soaks may run side by side */
    PORTS_REGION = 1000, /* of one of them */
    PORTS_WORKERS = 900, /* from the first of them */
    IP_ROOM = 32,
    OPEN_FOLDERS = 8, /* of nftw() */
    LEASE_MS = 1000,
    DELAYING = 3, /* number of the worker that carries orders out late */
    LINK_BYTES_PER_S = 25 * 1000 * 1000 / 8,
};

int
soak_procs(const struct soak *s)
{
    return MEMBERS + s->n_brokers;
}

static int
remove_one(const char *path, const struct stat *st, int type, struct FTW *ftw)
{
    (void)st;
    (void)type;
    (void)ftw;
    return remove(path);
}

void
soak_remove_folder(const char *path)
{
    if (nftw(path, remove_one, OPEN_FOLDERS, FTW_DEPTH | FTW_PHYS) != 0) {
        (void)fprintf(stderr, "bm-soak: %s is not removed\n", path);
    }
}

static void
address_of_proc(int i, char out[IP_ROOM])
{
    bool member = i < MEMBERS;

    (void)snprintf(out, IP_ROOM, "127.0.%d.%d", member ? 1 : 2,
                   member ? i + 1 : i - MEMBERS + 1);
}

static int
peer_port(const struct soak *s, int i)
{
    return s->base + PORTS_EACH * (i + 1);
}

static json_t *
listen_addresses(const struct soak *s, int i, const char *ip)
{
    char first[ADDRESS_ROOM];
    char second[ADDRESS_ROOM];

    (void)snprintf(first, sizeof(first), "%s:%d", ip, s->base);
    (void)snprintf(second, sizeof(second), "%s:%d", ip, s->base + 1);
    return i < MEMBERS
               ? json_pack("{s:s}", "control", first)
               : json_pack("{s:s,s:s}", "front", first, "ready", second);
}

static json_t *
seeds(const struct soak *s, int turn)
{
    json_t *list = json_array();

    for (int j = 0; j < MEMBERS; j++) {
        const char *address = s->addresses[(j + turn) % MEMBERS];

        (void)json_array_append_new(list, json_string(address));
    }
    return list;
}

/* Each process believes that the others listen on its own port, and there the
 * proxy listens in their place. */
bool
soak_write_settings(const struct soak *s, int i, bool first, int turn)
{
    int port = peer_port(s, i);
    char ip[IP_ROOM];
    char name[IP_ROOM];
    json_t *settings;
    bool written;

    address_of_proc(i, ip);
    (void)snprintf(name, sizeof(name), "%s-%d",
                   i < MEMBERS ? "control" : "broker",
                   i < MEMBERS ? i + 1 : i - MEMBERS + 1);
    settings = json_pack(
        "{s:s,s:s,s:s,s:s,s:o,s:[i,i],s:o,s:b,s:{s:i,s:i}}", "node-name", name,
        "ip", ip, "zone",
        region_zone(&s->region, i < MEMBERS ? i : i - MEMBERS), "region", "r",
        "bind-addresses", listen_addresses(s, i, ip), "port-range", port,
        port + PORTS_EACH - 1, "seeds", seeds(s, turn), "bootstrap",
        (int)first, "bounds", "max-hold-ms", LEASE_MS, "grace-s",
        (int)(GRACE_US / USEC_PER_SEC));
    (void)json_object_set_new(settings, "data-dir",
                              i < MEMBERS ? json_string(s->procs[i].data)
                                          : json_null());
    written = json_dump_file(settings, s->procs[i].settings, 0) == 0;
    json_decref(settings);
    return written;
}

static bool
link_members(struct soak *s, int i)
{
    for (int j = 0; j < MEMBERS; j++) {
        char from[ADDRESS_ROOM];
        char to[ADDRESS_ROOM];

        (void)snprintf(from, sizeof(from), "127.0.1.%d:%d", j + 1,
                       peer_port(s, i));
        (void)snprintf(to, sizeof(to), "127.0.1.%d:%d", j + 1,
                       peer_port(s, j));
        if (i != j && !proxy_add(s->proxy, i, j, from, to)) {
            (void)fprintf(stderr, "bm-soak: %s is taken\n", from);
            return false;
        }
    }
    return true;
}

static void
name_proc(struct soak *s, int i)
{
    struct proc *p = &s->procs[i];
    char ip[IP_ROOM];
    const char *kind = i < MEMBERS ? "control" : "broker";

    (void)snprintf(p->program, sizeof(p->program), "%s/bm-platform-%s",
                   s->build, kind);
    (void)snprintf(p->settings, sizeof(p->settings), "%s/%d.json", s->dir, i);
    (void)snprintf(p->log, sizeof(p->log), "%s/%s-%d.log", s->dir, kind,
                   i < MEMBERS ? i + 1 : i - MEMBERS + 1);
    (void)snprintf(p->data, sizeof(p->data), "%s/data%d", s->dir, i);
    address_of_proc(i, ip);
    (void)snprintf(s->addresses[i], ADDRESS_ROOM, "%s:%d", ip, s->base);
    if (i < MEMBERS) {
        s->region.controls[s->region.n_controls++] = s->addresses[i];
        (void)mkdir(p->data, S_IRWXU);
    }
    else {
        s->region.entries[s->region.n_entries++] = s->addresses[i];
    }
}

static bool
link_worker(struct soak *s, int i)
{
    char from[ADDRESS_ROOM];
    char to[ADDRESS_ROOM];

    (void)snprintf(from, sizeof(from), "127.0.0.1:%d",
                   s->region.base_port + REGION_WORKERS_MAX + i);
    (void)snprintf(to, sizeof(to), "127.0.0.1:%d", s->region.base_port + i);
    return proxy_add(s->proxy, WORKER_LINKS + i, WORKER_LINKS + i, from, to);
}

/* Whoever listens on the first port of a region has all of them. */
static bool
claim_ports(struct soak *s)
{
    for (int i = 0; i < PORTS_REGIONS; i++) {
        struct sockaddr_in at = {.sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

        s->base = PORTS_FROM + i * PORTS_REGION;
        s->lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        at.sin_port = htons((uint16_t)s->base);
        if (bind(s->lock, (struct sockaddr *)&at, sizeof(at)) == 0 &&
            listen(s->lock, 1) == 0) {
            return true;
        }
        (void)close(s->lock);
    }
    (void)fprintf(stderr, "bm-soak: all regions of ports are taken\n");
    return false;
}

bool
soak_prepare(struct soak *s)
{
    bool good = claim_ports(s);

    s->region.n_workers = s->n_workers;
    s->region.zones = s->pairs != 0 || s->evacuations != 0 ? PAIR_ZONES : 1;
    s->region.anywhere = s->pairs != 0;
    s->region.unseen = s->unseen != 0;
    s->region.base_port = s->base + PORTS_WORKERS;
    s->region.advertised = REGION_WORKERS_MAX;
    s->region.delaying = DELAYING % s->n_workers;
    s->proxy = proxy_new(LINK_BYTES_PER_S);
    for (int i = 0; i < soak_procs(s); i++) {
        name_proc(s, i);
    }
    for (int i = 0; i < soak_procs(s) && good; i++) {
        good = soak_write_settings(s, i, true, 0) && link_members(s, i);
    }
    for (int i = 0; i < s->n_workers && good; i++) {
        good = link_worker(s, i);
    }
    return good && region_start(&s->region);
}
