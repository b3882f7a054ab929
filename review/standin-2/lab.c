#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    CONNS_MAX = 600,
    IN_MAX = 16384,
    PORT_CALLERS = 0, /* offsets from the first port */
    PORT_READY = 1,
    PORT_FIRST = 2,
    PORT_LAST = 9,
    PORT_WORKERS = 10,
    READY_TRIES_MS = 15000,
    SLOTS = 8,
    WORKER_MILLI = 32000,
    LATE_MAX = 2000,
};

/* A connection that a worker has accepted. */
struct server_conn {
    int fd; /* -1: unused */
    int worker;
    char in[IN_MAX];
    size_t size;
};

struct process {
    pid_t pid; /* 0: not running */
    char name[32];
    char ip[32];
    const char *program;
    bool again; /* start it again once it has ended */
    int64_t again_after;
    int64_t again_at;
};

FILE *lab_record;
bool lab_trouble = true;
struct lab_worker lab_workers[LAB_WORKERS_MAX];
int lab_n_workers;
struct lab_run lab_runs[LAB_RUNS_MAX];
int lab_n_runs;
int lab_task_milli = 14000;
double lab_late_share;
int lab_late_from = 2000;
int lab_late_to = 12000;
int lab_late_orders;
int lab_orders;

static struct server_conn conns[CONNS_MAX];
static struct lab_call calls[LAB_CALLS_MAX];
static int n_calls;
static struct process processes[LAB_CONTROLS + LAB_BROKERS];
static char folder[256];
static int port;
static int64_t began_us;
static const char *const zones[] = {"zone-a", "zone-b", "zone-c"};

static int64_t
mono_us(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t
lab_now(void)
{
    return (mono_us() - began_us) / 1000;
}

static int64_t
unix_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
lab_note(const char *format, ...)
{
    va_list args;

    fprintf(lab_record, "%8.3f s  ", (double)lab_now() / 1000.0);
    va_start(args, format);
    vfprintf(lab_record, format, args);
    va_end(args);
    fputc('\n', lab_record);
    fflush(lab_record);
}

/* Processes */

static void
end_processes(void)
{
    for (size_t i = 0; i < LAB_CONTROLS + LAB_BROKERS; i++) {
        if (processes[i].pid > 0) {
            (void)kill(processes[i].pid, SIGKILL);
            (void)waitpid(processes[i].pid, NULL, 0);
            processes[i].pid = 0;
        }
    }
}

void
lab_end(int code)
{
    end_processes();
    if (lab_record != NULL) {
        lab_note("end, exit code %d", code);
        fclose(lab_record);
    }
    exit(code);
}

void
lab_give_up(const char *why)
{
    fprintf(stderr, "could not run: %s\n", why);
    if (lab_record != NULL) {
        lab_note("could not run: %s", why);
    }
    lab_end(2);
}

static void
on_signal(int number)
{
    (void)number;
    for (size_t i = 0; i < LAB_CONTROLS + LAB_BROKERS; i++) {
        if (processes[i].pid > 0) {
            (void)kill(processes[i].pid, SIGKILL);
        }
    }
    _exit(2);
}

static void
write_settings(const struct process *p, int zone, bool control, bool first)
{
    char path[512];
    FILE *f;

    snprintf(path, sizeof(path), "%s/%s.json", folder, p->name);
    f = fopen(path, "w");
    if (f == NULL) {
        lab_give_up("cannot write settings");
    }
    fprintf(f,
            "{\"node-name\":\"%s\",\"ip\":\"%s\",\"zone\":\"%s\","
            "\"region\":\"r\",\"zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\","
            "\"zone-c\":\"r\"},",
            p->name, p->ip, zones[zone]);
    if (control) {
        fprintf(f, "\"bind-addresses\":{\"control\":\"%s:%d\"},", p->ip,
                port + PORT_CALLERS);
        fprintf(f, "\"data-dir\":\"%s/%s.data\",", folder, p->name);
    }
    else {
        fprintf(f,
                "\"bind-addresses\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\"},"
                "\"data-dir\":null,",
                p->ip, port + PORT_CALLERS, p->ip, port + PORT_READY);
    }
    fprintf(f,
            "\"port-range\":[%d,%d],\"seeds\":[\"127.0.1.1:%d\","
            "\"127.0.1.2:%d\",\"127.0.1.3:%d\"],\"bootstrap\":%s,"
            "\"heartbeat-ms\":1500,\"orders\":\"call\","
            "\"bounds\":{\"max-hold-ms\":1000,\"grace-s\":6,"
            "\"resend-ms\":1300,\"stop-timeout-ms\":50,\"cancel_ms\":3000,"
            "\"drain-ms\":2000,\"contact-ms\":3000,\"remote-factor\":1.5}}\n",
            port + PORT_FIRST, port + PORT_LAST, port, port, port,
            first ? "true" : "false");
    fclose(f);
    snprintf(path, sizeof(path), "%s/%s.data", folder, p->name);
    (void)mkdir(path, 0700);
}

static void
start_process(struct process *p)
{
    char setting[512];
    char log[512];
    pid_t parent = getpid();

    snprintf(setting, sizeof(setting), "%s/%s.json", folder, p->name);
    snprintf(log, sizeof(log), "%s/%s.log", folder, p->name);
    p->pid = fork();
    if (p->pid < 0) {
        p->pid = 0;
        lab_give_up("fork failed");
    }
    if (p->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

        (void)dup2(fd, 1);
        (void)dup2(fd, 2);
        for (int i = 3; i < 1024; i++) {
            (void)close(i);
        }
        (void)setenv("BORAGEMOOR_NODE_FILE", setting, 1);
        /* Ends with this process, however that ends. */
        (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() == parent) {
            execl(p->program, p->program, (char *)NULL);
        }
        _exit(127);
    }
    lab_note("process %s starts, pid %d", p->name, (int)p->pid);
}

static void
watch_processes(void)
{
    for (size_t i = 0; i < LAB_CONTROLS + LAB_BROKERS; i++) {
        struct process *p = &processes[i];
        int status;

        if (p->pid > 0 && waitpid(p->pid, &status, WNOHANG) == p->pid) {
            p->pid = 0;
            if (WIFEXITED(status)) {
                lab_note("process %s ended with code %d", p->name,
                         WEXITSTATUS(status));
            }
            else {
                lab_note("process %s ended by signal %d", p->name,
                         WTERMSIG(status));
            }
            p->again_at = lab_now() + p->again_after;
        }
        if (p->pid == 0 && p->again && p->again_at > 0 &&
            lab_now() >= p->again_at) {
            p->again_at = 0;
            start_process(p);
        }
    }
}

void
lab_signal_broker(int broker, int number)
{
    struct process *p = &processes[LAB_CONTROLS + broker];

    if (p->pid > 0) {
        lab_note("signal %d to %s", number, p->name);
        (void)kill(p->pid, number);
    }
}

void
lab_restart_broker_when_ended(int broker, int64_t after_ms)
{
    struct process *p = &processes[LAB_CONTROLS + broker];

    p->again = true;
    p->again_after = after_ms;
    write_settings(p, broker % 3, false, false);
}

/* Sockets */

static struct sockaddr_in
address(const char *ip, int at)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)at)};

    (void)inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

static int
listen_at(const char *ip, int at)
{
    struct sockaddr_in a = address(ip, at);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 128) != 0) {
        if (fd >= 0) {
            (void)close(fd);
        }
        return -1;
    }
    return fd;
}

/* Closes with a reset, as a process that is killed or a proxy does. */
static void
reset_fd(int fd)
{
    struct linger l = {.l_onoff = 1, .l_linger = 0};

    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
    (void)close(fd);
}

static int
begin_call(const char *label, const char *ip, int at, const char *method,
           const char *path, const char *headers, const char *body)
{
    struct sockaddr_in a = address(ip, at);
    struct lab_call *c;
    size_t size = strlen(body);
    int on = 1;

    if (n_calls == LAB_CALLS_MAX) {
        lab_give_up("too many calls");
    }
    c = &calls[n_calls];
    memset(c, 0, sizeof(*c));
    snprintf(c->label, sizeof(c->label), "%s", label);
    c->worker = -1;
    c->sent = lab_now();
    c->out = malloc(size + 1024);
    c->out_size = (size_t)sprintf(
        c->out,
        "%s %s HTTP/1.1\r\nHost: review.example\r\n"
        "Content-Type: application/json\r\n%sContent-Length: %zu\r\n\r\n%s",
        method, path, headers, size, body);
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    (void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (c->fd < 0 || (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) != 0 &&
                      errno != EINPROGRESS)) {
        c->done = lab_now();
    }
    return n_calls++;
}

static void
end_call(struct lab_call *c)
{
    c->done = lab_now();
    if (c->fd >= 0) {
        (void)close(c->fd);
    }
    c->fd = -1;
    if (c->worker < 0) {
        lab_note("%s: answer %d%s%s", c->label, c->status,
                 c->body != NULL ? " " : "", c->body != NULL ? c->body : "");
    }
}

static void
read_answer(struct lab_call *c)
{
    ssize_t n =
        recv(c->fd, c->in + c->in_size, sizeof(c->in) - 1 - c->in_size, 0);
    char *end;
    char *length;
    size_t size = 0;

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        end_call(c);
        return;
    }
    c->in_size += (size_t)n;
    c->in[c->in_size] = '\0';
    end = strstr(c->in, "\r\n\r\n");
    if (end == NULL) {
        return;
    }
    length = strcasestr(c->in, "\r\ncontent-length:");
    if (length != NULL && length < end) {
        size = strtoul(length + 17, NULL, 10);
    }
    if (strlen(end + 4) < size) {
        return;
    }
    c->status = atoi(c->in + 9);
    c->body = end + 4;
    end_call(c);
}

static void
write_request(struct lab_call *c)
{
    ssize_t n = send(c->fd, c->out + c->out_done, c->out_size - c->out_done,
                     MSG_NOSIGNAL);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        end_call(c);
        return;
    }
    c->out_done += (size_t)n;
}

struct lab_call *
lab_call_at(int call)
{
    return &calls[call];
}

static const char *
broker_ip(int broker)
{
    return processes[LAB_CONTROLS + broker].ip;
}

int
lab_post(int broker, const char *id, const char *body, int timeout_ms)
{
    char path[128];
    char headers[64];
    char label[48];

    snprintf(path, sizeof(path), "/jobs/%s", id);
    snprintf(headers, sizeof(headers), "Timeout-Ms: %d\r\n", timeout_ms);
    snprintf(label, sizeof(label), "POST %s at broker%d", id, broker + 1);
    lab_note("%s: sent %s", label, body);
    return begin_call(label, broker_ip(broker), port + PORT_CALLERS, "POST",
                      path, headers, body);
}

int
lab_delete(int broker, const char *id, bool reset_after_send)
{
    char path[128];
    char label[48];
    int call;

    snprintf(path, sizeof(path), "/jobs/%s", id);
    snprintf(label, sizeof(label), "DELETE %s at broker%d", id, broker + 1);
    lab_note("%s: sent", label);
    call = begin_call(label, broker_ip(broker), port + PORT_CALLERS, "DELETE",
                      path, "", "");
    calls[call].reset_after_send = reset_after_send;
    return call;
}

bool
lab_await(int call, int64_t at)
{
    while (calls[call].done == 0 && lab_now() < at) {
        lab_run_for(2);
    }
    return calls[call].done != 0;
}

/* Workers */

static int64_t
worker_clock(const struct lab_worker *w)
{
    return lab_now() - w->born + 1;
}

static void
answer(struct server_conn *c, int status, json_t *body)
{
    if (c->fd < 0) { /* an order that is carried out late */
        lab_note("worker %s carries out a late order: %d %s",
                 lab_workers[c->worker].id, status,
                 json_string_value(json_object_get(body, "reason")) != NULL
                     ? json_string_value(json_object_get(body, "reason"))
                     : "");
        json_decref(body);
        return;
    }
    struct lab_worker *w = &lab_workers[c->worker];
    char *text;
    char *whole;
    int n;

    json_object_set_new(body, "clock-ms", json_integer(worker_clock(w)));
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    whole = malloc(strlen(text) + 256);
    n = sprintf(whole,
                "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                status, strlen(text), text);
    (void)send(c->fd, whole, (size_t)n, MSG_NOSIGNAL);
    free(whole);
    free(text);
}

static void
conflict(struct server_conn *c, const char *reason)
{
    answer(c, 409, json_pack("{s:s}", "reason", reason));
}

static void
end_run(struct lab_worker *w, struct lab_run *r, int64_t at, const char *how)
{
    r->ended = at > r->begun ? at : r->begun;
    r->how = how;
    r->number = ++w->last_number;
}

static struct lab_run *
find_run(const struct lab_worker *w, const char *task, long run, bool *old)
{
    *old = false;
    for (int i = w->first_run; i < lab_n_runs; i++) {
        struct lab_run *r = &lab_runs[i];

        if (&lab_workers[r->worker] != w || r->life != w->life ||
            strcmp(r->task, task) != 0) {
            continue;
        }
        if (r->ended == 0 && r->run == run) {
            return r;
        }
        *old = *old || (r->ended != 0 && r->run >= run);
    }
    return NULL;
}

static struct lab_run *
add_run(struct lab_worker *w, const char *task, long run)
{
    struct lab_run *r;

    if (lab_n_runs == LAB_RUNS_MAX) {
        lab_give_up("too many runs");
    }
    r = &lab_runs[lab_n_runs++];
    memset(r, 0, sizeof(*r));
    r->worker = (int)(w - lab_workers);
    r->life = w->life;
    r->run = run;
    r->begun = lab_now();
    snprintf(r->kind, sizeof(r->kind), "%s", w->kind);
    snprintf(r->task, sizeof(r->task), "%s", task);
    return r;
}

static void
extend(struct lab_worker *w, const json_t *body)
{
    int64_t asked = json_integer_value(json_object_get(body, "deadline-ms"));
    int64_t most = worker_clock(w) + LAB_MAX_HOLD_MS;

    asked = asked < most ? asked : most;
    w->deadline = asked > w->deadline ? asked : w->deadline;
}

/* The spec holds the run time in ms of the tasks of each step: "4400,300". */
static int64_t
run_time(const char *spec, const char *task)
{
    const char *dot = strchr(task, '.');
    int step;

    dot = dot != NULL ? strchr(dot + 1, '.') : NULL;
    step = dot != NULL ? atoi(dot + 1) : 0;
    while (step-- > 0 && strchr(spec, ',') != NULL) {
        spec = strchr(spec, ',') + 1;
    }
    return atoi(spec);
}

static int
count_running(const struct lab_worker *w)
{
    int n = 0;

    for (int i = w->first_run; i < lab_n_runs; i++) {
        n += &lab_workers[lab_runs[i].worker] == w &&
             lab_runs[i].life == w->life && lab_runs[i].ended == 0;
    }
    return n;
}

static void
on_start(struct server_conn *c, struct lab_worker *w, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    long run = (long)json_integer_value(json_object_get(body, "run"));
    struct lab_run *r;
    bool old;

    if (task == NULL || spec == NULL) {
        answer(c, 400, json_object());
        return;
    }
    extend(w, body);
    if (find_run(w, task, run, &old) != NULL) {
        answer(c, 200, json_object());
        return;
    }
    if (old) {
        conflict(c, "old");
        return;
    }
    if (worker_clock(w) >
        json_integer_value(json_object_get(body, "deadline-ms"))) {
        conflict(c, "late");
        return;
    }
    if ((count_running(w) + 1) * lab_task_milli > WORKER_MILLI) {
        conflict(c, "room");
        return;
    }
    r = add_run(w, task, run);
    snprintf(r->spec, sizeof(r->spec), "%s", spec);
    r->whole = run_time(spec, task);
    r->due = lab_now() + r->whole;
    lab_note("worker %s (kind %s, life %d) starts %s run %ld", w->id, w->kind,
             w->life, task, run);
    answer(c, 200, json_object());
}

static void
on_stop(struct server_conn *c, struct lab_worker *w, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    long run = (long)json_integer_value(json_object_get(body, "run"));
    struct lab_run *r;
    bool old;

    if (task == NULL) {
        answer(c, 400, json_object());
        return;
    }
    r = find_run(w, task, run, &old);
    if (r != NULL && r->stop_at == 0) {
        r->stop_at = lab_now() + LAB_STOP_MS;
    }
    if (r == NULL && !old) {
        end_run(w, add_run(w, task, run), lab_now(), "stopped");
    }
    answer(c, 200, json_object());
}

static void
answer_hold(struct lab_worker *w)
{
    json_t *running = json_array();
    json_t *finished = json_array();
    struct server_conn *c = &conns[w->held_conn];

    w->held_conn = -1;
    for (int i = w->first_run; i < lab_n_runs; i++) {
        struct lab_run *r = &lab_runs[i];
        int64_t ran = lab_now() - r->begun;

        if (&lab_workers[r->worker] != w || r->life != w->life) {
            continue;
        }
        if (r->ended == 0) {
            json_array_append_new(
                running,
                json_pack("[s,I,s,I,i]", r->task, (json_int_t)r->run, "",
                          (json_int_t)(100 * ran / (r->whole + 1)),
                          lab_task_milli));
        }
        else if (r->number > w->noted && json_array_size(finished) < 500) {
            json_array_append_new(
                finished, json_pack("[I,s,I,s,s]", (json_int_t)r->number,
                                    r->task, (json_int_t)r->run, r->how, ""));
        }
    }
    answer(c, 200,
           json_pack("{s:o,s:o,s:I}", "running", running, "finished", finished,
                     "born", (json_int_t)w->born_ms));
}

static void
on_hold(struct server_conn *c, struct lab_worker *w, const json_t *body)
{
    long noted = (long)json_integer_value(json_object_get(body, "last-seen"));
    int64_t wait = json_integer_value(json_object_get(body, "wait-ms"));

    if (w->held_conn >= 0) {
        answer_hold(w);
    }
    w->noted = noted > w->noted ? noted : w->noted;
    if (json_object_get(body, "deadline-ms") != NULL) {
        extend(w, body);
    }
    w->held_conn = (int)(c - conns);
    w->held_until = lab_now() + wait;
    if (w->last_number > w->noted || wait <= 0) {
        answer_hold(w);
    }
}

/* Orders without an answer. */
struct late_order {
    int worker;
    char head[32];
    char *text;
    int64_t due;
};

static struct late_order late_orders[LATE_MAX];
static int n_late;

static void
leave_unanswered(const struct server_conn *c, const char *head,
                 const char *text, size_t size)
{
    struct late_order *o = &late_orders[n_late++];
    int span = lab_late_to - lab_late_from;

    o->worker = c->worker;
    snprintf(o->head, sizeof(o->head), "%.*s ",
             (int)strcspn(head + 5, " ") + 5, head);
    o->text = strndup(text, size);
    o->due = lab_now() + lab_late_from + (int64_t)(drand48() * span);
    lab_late_orders++;
    lab_note("worker %s leaves unanswered, until %.3f s: %s%s",
             lab_workers[c->worker].id, (double)o->due / 1000.0, o->head,
             o->text);
}

static void
on_request(struct server_conn *c, const char *head, const char *text,
           size_t size)
{
    struct lab_worker *w = &lab_workers[c->worker];
    json_t *body = json_loadb(text, size, 0, NULL);
    const char *expected = strcasestr(head, "\r\nexpected-instance:");
    long fence =
        (long)json_integer_value(json_object_get(body, "fencing-token"));

    if (expected != NULL) {
        char id[32] = "";

        (void)sscanf(expected + 20, " %31[^\r]", id);
        if (strcmp(id, w->id) != 0) {
            answer(c, 421, json_object());
            json_decref(body);
            return;
        }
    }
    if (body == NULL) {
        answer(c, 400, json_object());
    }
    else if (fence < w->fence) {
        conflict(c, "fence");
    }
    else {
        w->fence = fence;
        if (c->fd >= 0 && strncmp(head, "POST /v1/run-", 13) == 0) {
            lab_orders++;
            /* Never more than the share, also where the draws would have it.
             */
            if (drand48() < lab_late_share && n_late < LATE_MAX &&
                lab_late_orders + 1 <= lab_late_share * lab_orders) {
                leave_unanswered(c, head, text, size);
                json_decref(body);
                return;
            }
        }
        if (strncmp(head, "POST /v1/run-start ", 19) == 0) {
            on_start(c, w, body);
        }
        else if (strncmp(head, "POST /v1/run-stop ", 18) == 0) {
            on_stop(c, w, body);
        }
        else if (strncmp(head, "POST /v1/hold ", 14) == 0) {
            on_hold(c, w, body);
        }
        else {
            answer(c, 404, json_object());
        }
    }
    json_decref(body);
}

static void
close_conn(struct server_conn *c)
{
    struct lab_worker *w = &lab_workers[c->worker];

    if (w->held_conn == (int)(c - conns)) {
        w->held_conn = -1;
    }
    (void)close(c->fd);
    c->fd = -1;
}

static void
read_requests(struct server_conn *c)
{
    ssize_t n = recv(c->fd, c->in + c->size, sizeof(c->in) - 1 - c->size, 0);
    char *end;

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_conn(c);
        return;
    }
    c->size += (size_t)n;
    c->in[c->size] = '\0';
    while (c->fd >= 0 && (end = strstr(c->in, "\r\n\r\n")) != NULL) {
        char *length = strcasestr(c->in, "\r\ncontent-length:");
        size_t head = (size_t)(end + 4 - c->in);
        size_t body = length != NULL && length < end
                          ? strtoul(length + 17, NULL, 10)
                          : 0;

        if (c->size < head + body) {
            return;
        }
        end[2] = '\0';
        on_request(c, c->in, c->in + head, body);
        memmove(c->in, c->in + head + body, c->size - head - body + 1);
        c->size -= head + body;
    }
}

static void
accept_conn(int worker)
{
    int fd = accept4(lab_workers[worker].listener, NULL, NULL,
                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    int on = 1;

    if (fd < 0) {
        return;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    for (int i = 0; i < CONNS_MAX; i++) {
        if (conns[i].fd < 0) {
            conns[i].fd = fd;
            conns[i].worker = worker;
            conns[i].size = 0;
            return;
        }
    }
    (void)close(fd);
}

static void
begin_life(struct lab_worker *w)
{
    w->listener = listen_at(w->ip, port + PORT_WORKERS);
    if (w->listener < 0) {
        lab_give_up("a worker cannot listen");
    }
    w->up = true;
    w->life++;
    w->born = lab_now();
    w->born_ms = unix_ms();
    w->sequence = 0;
    w->fence = 0;
    w->last_number = 0;
    w->noted = 0;
    w->deadline = 0;
    w->first_run = lab_n_runs;
    w->held_conn = -1;
    w->restart_at = 0;
    w->next_beat = lab_now();
}

/* What was sent to a worker that is down is lost, and its connections are
 * reset at the latest when it is back. */
static void
close_worker(int worker)
{
    struct lab_worker *w = &lab_workers[worker];

    if (w->listener >= 0) {
        (void)close(w->listener);
    }
    w->listener = -1;
    for (int i = 0; i < CONNS_MAX; i++) {
        if (conns[i].fd >= 0 && conns[i].worker == worker) {
            reset_fd(conns[i].fd);
            conns[i].fd = -1;
        }
    }
}

void
lab_crash_worker(int worker, int64_t after_ms, const char *kind, bool dark)
{
    struct lab_worker *w = &lab_workers[worker];

    lab_note("worker %s (kind %s, life %d) crashes%s", w->id, w->kind, w->life,
             dark ? ", silently" : "");
    w->up = false;
    w->dark = dark;
    if (!dark) {
        close_worker(worker);
    }
    w->held_conn = -1;
    for (int i = w->first_run; i < lab_n_runs; i++) {
        struct lab_run *r = &lab_runs[i];

        if (r->worker == worker && r->life == w->life && r->ended == 0) {
            r->ended = lab_now();
            r->how = "crashed";
        }
    }
    w->restart_at = lab_now() + after_ms;
    snprintf(w->next_kind, sizeof(w->next_kind), "%s", kind);
}

static void
send_beat(struct lab_worker *w)
{
    char path[160];
    char label[64];
    char *text;
    char at[64];
    int call;
    json_t *body;

    snprintf(at, sizeof(at), "%s:%d", w->ip, port + PORT_WORKERS);
    body = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", "review", "address", at, "zone", zones[w->zone], "version",
        "v1", "slots", SLOTS, "state", w->draining ? "draining" : "ready",
        "cold-remaining-ms", 0, "capacity", "cpu", WORKER_MILLI, "mem-mb",
        65536, "gpu", 0, "labels", w->kind, w->rack, "clock-ms",
        (json_int_t)worker_clock(w), "sequence", (json_int_t)++w->sequence,
        "born", (json_int_t)w->born_ms);
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    snprintf(path, sizeof(path), "/v1/instances/%.31s/heartbeat", w->id);
    snprintf(label, sizeof(label), "heartbeat %.31s", w->id);
    call = begin_call(label, processes[w->control].ip, port + PORT_CALLERS,
                      "POST", path, "", text);
    calls[call].worker = (int)(w - lab_workers);
    calls[call].timeout = lab_now() + 1000;
    if (calls[call].done != 0) {
        calls[call].timeout = 0;
    }
    free(text);
    w->next_beat = lab_now() + LAB_HEARTBEAT_MS;
}

/* A heartbeat without a 2xx goes to the next node at once. */
static void
check_beat(struct lab_call *c)
{
    struct lab_worker *w = &lab_workers[c->worker];

    if (c->status >= 200 && c->status < 300) {
        return;
    }
    w->control = (w->control + 1) % LAB_CONTROLS;
    w->next_beat = lab_now() + 20;
}

static void
run_late_orders(void)
{
    static struct server_conn nobody = {.fd = -1};

    for (int i = n_late - 1; i >= 0; i--) {
        struct late_order o = late_orders[i];

        if (lab_now() < o.due) {
            continue;
        }
        late_orders[i] = late_orders[--n_late];
        if (lab_workers[o.worker].up) {
            nobody.worker = o.worker;
            on_request(&nobody, o.head, o.text, strlen(o.text));
        }
        free(o.text);
    }
}

static void
poll_worker(struct lab_worker *w)
{
    int64_t lapse;

    if (!w->up) {
        if (w->restart_at > 0 && lab_now() >= w->restart_at) {
            snprintf(w->kind, sizeof(w->kind), "%s", w->next_kind);
            close_worker((int)(w - lab_workers));
            w->dark = false;
            begin_life(w);
            lab_note("worker %s starts again, kind %s, life %d", w->id,
                     w->kind, w->life);
        }
        return;
    }
    lapse = w->born + w->deadline - 1;
    for (int i = w->first_run; i < lab_n_runs; i++) {
        struct lab_run *r = &lab_runs[i];

        if (&lab_workers[r->worker] != w || r->life != w->life ||
            r->ended != 0) {
            continue;
        }
        if (r->stop_at != 0 && lab_now() >= r->stop_at) {
            end_run(w, r, r->stop_at, "stopped");
        }
        else if (r->due <= lapse && lab_now() >= r->due) {
            end_run(w, r, r->due, "done");
        }
        else if (lab_now() > lapse) {
            end_run(w, r, lapse, "lapsed");
        }
    }
    if (w->held_conn >= 0 &&
        (w->last_number > w->noted || lab_now() >= w->held_until)) {
        answer_hold(w);
    }
    if (lab_now() >= w->next_beat) {
        send_beat(w);
    }
}

void
lab_add_worker(int zone, const char *kind, const char *rack)
{
    struct lab_worker *w = &lab_workers[lab_n_workers];

    if (lab_n_workers == LAB_WORKERS_MAX) {
        lab_give_up("too many workers");
    }
    memset(w, 0, sizeof(*w));
    snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a0000 + lab_n_workers);
    snprintf(w->ip, sizeof(w->ip), "127.0.%d.%d", 11 + zone,
             1 + lab_n_workers);
    snprintf(w->kind, sizeof(w->kind), "%s", kind);
    snprintf(w->rack, sizeof(w->rack), "%s", rack);
    w->zone = zone;
    w->control = zone;
    lab_n_workers++;
    begin_life(w);
    w->next_beat = lab_now() + 30 * (lab_n_workers % 16);
}

/* The loop */

static int
add_poll(struct pollfd *fds, int n, int fd, short events)
{
    fds[n].fd = fd;
    fds[n].events = events;
    fds[n].revents = 0;
    return n + 1;
}

static void
finish_calls(void)
{
    for (int i = 0; i < n_calls; i++) {
        struct lab_call *c = &calls[i];

        if (c->done == 0 && c->reset_after_send &&
            c->out_done == c->out_size) {
            lab_note("%s: the connection is reset", c->label);
            reset_fd(c->fd);
            c->fd = -1;
            end_call(c);
        }
        if (c->done == 0 && c->timeout > 0 && lab_now() >= c->timeout) {
            end_call(c);
        }
        if (c->done != 0 && c->worker >= 0) {
            check_beat(c);
            c->worker = -1;
            free(c->out);
            c->out = NULL;
            c->label[0] = '\0';
            /* Slots of heartbeats at the end are used again. */
            if (i == n_calls - 1) {
                n_calls--;
            }
        }
    }
}

static void
run_once(int64_t wait_ms)
{
    static struct pollfd fds[CONNS_MAX + LAB_WORKERS_MAX + LAB_CALLS_MAX];
    static int call_of[CONNS_MAX + LAB_WORKERS_MAX + LAB_CALLS_MAX];
    int n = 0;
    int first_conn;
    int first_call;
    static int conn_of[CONNS_MAX];
    static int worker_of[LAB_WORKERS_MAX];

    for (int i = 0; i < lab_n_workers; i++) {
        if (lab_workers[i].listener >= 0 && lab_workers[i].up) {
            worker_of[n] = i;
            n = add_poll(fds, n, lab_workers[i].listener, POLLIN);
        }
    }
    first_conn = n;
    for (int i = 0; i < CONNS_MAX; i++) {
        if (conns[i].fd >= 0 && !lab_workers[conns[i].worker].dark) {
            conn_of[n - first_conn] = i;
            n = add_poll(fds, n, conns[i].fd, POLLIN);
        }
    }
    first_call = n;
    for (int i = 0; i < n_calls; i++) {
        if (calls[i].done == 0 && calls[i].fd >= 0) {
            call_of[n] = i;
            n = add_poll(fds, n, calls[i].fd,
                         calls[i].out_done < calls[i].out_size ? POLLOUT
                                                               : POLLIN);
        }
    }
    (void)poll(fds, (nfds_t)n, (int)wait_ms);
    for (int i = 0; i < first_conn; i++) {
        if (fds[i].revents != 0) {
            accept_conn(worker_of[i]);
        }
    }
    for (int i = first_conn; i < first_call; i++) {
        struct server_conn *c = &conns[conn_of[i - first_conn]];

        if (fds[i].revents != 0 && c->fd == fds[i].fd) {
            read_requests(c);
        }
    }
    for (int i = first_call; i < n; i++) {
        struct lab_call *c = &calls[call_of[i]];

        if (fds[i].revents == 0 || c->done != 0) {
            continue;
        }
        if (c->out_done < c->out_size) {
            write_request(c);
        }
        else {
            read_answer(c);
        }
    }
    finish_calls();
    run_late_orders();
    for (int i = 0; i < lab_n_workers; i++) {
        poll_worker(&lab_workers[i]);
    }
    watch_processes();
}

void
lab_run_until(int64_t at)
{
    do {
        run_once(1);
    } while (lab_now() < at);
}

void
lab_run_for(int64_t ms)
{
    lab_run_until(lab_now() + ms);
}

/* Start */

static void
choose_ports(void)
{
    for (int i = 0; i < 100; i++) {
        int fds[LAB_BROKERS + 1];
        int n = 0;
        bool good = true;

        port = 20000 + (int)((getpid() * 37 + i * 101) % 11000);
        for (int k = 0; k < PORT_WORKERS + 1 && good && n < 7; k++) {
            int fd = listen_at("127.0.1.1", port + k);

            good = fd >= 0;
            if (good) {
                fds[n++] = fd;
            }
        }
        while (n > 0) {
            (void)close(fds[--n]);
        }
        if (good) {
            return;
        }
    }
    lab_give_up("no free ports");
}

static void
put_config(void)
{
    static const char config[] =
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
        "\"review.example\",\"path-prefix\":\"/jobs/\",\"route-type\":"
        "\"unsafe\",\"timeout-ms\":20000,\"target-latency-ms\":60,"
        "\"priority\":0,\"service\":\"review\",\"max-attempts\":4,"
        "\"stretch\":1.6}],\"services\":[{\"name\":\"review\","
        "\"health-path\":\"/health\",\"max-connections\":64,\"protocol\":"
        "\"h1\",\"tls\":false,\"admission-check\":true,\"standby\":false}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    int64_t until = lab_now() + READY_TRIES_MS;

    for (int i = 0; lab_now() < until; i++) {
        int call = begin_call("configuration", processes[i % 3].ip,
                              port + PORT_CALLERS, "POST", "/v1/config/put",
                              "", config);

        calls[call].timeout = lab_now() + 1000;
        (void)lab_await(call, lab_now() + 1100);
        if (calls[call].status == 200) {
            return;
        }
        lab_run_for(200);
    }
    lab_give_up("the configuration was not acknowledged");
}

static void
await_ready(void)
{
    int64_t until = lab_now() + READY_TRIES_MS;
    int ready = 0;

    while (ready < LAB_BROKERS && lab_now() < until) {
        ready = 0;
        for (int i = 0; i < LAB_BROKERS; i++) {
            int call = begin_call("readiness", broker_ip(i), port + PORT_READY,
                                  "GET", "/v1/readiness", "", "");

            calls[call].timeout = lab_now() + 500;
            (void)lab_await(call, lab_now() + 600);
            ready += calls[call].status == 200 ? 1 : 0;
        }
        lab_run_for(200);
    }
    if (ready < LAB_BROKERS) {
        lab_give_up("the brokers are not ready");
    }
}

void
lab_start(const char *in, int workers_per_zone)
{
    struct sigaction act = {.sa_handler = on_signal};

    began_us = mono_us();
    snprintf(folder, sizeof(folder), "%s", in);
    (void)sigaction(SIGTERM, &act, NULL);
    (void)sigaction(SIGINT, &act, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < CONNS_MAX; i++) {
        conns[i].fd = -1;
    }
    choose_ports();
    for (int i = 0; i < LAB_CONTROLS + LAB_BROKERS; i++) {
        struct process *p = &processes[i];
        bool control = i < LAB_CONTROLS;
        int number = control ? i + 1 : i - LAB_CONTROLS + 1;

        snprintf(p->name, sizeof(p->name), "%s%d",
                 control ? "control" : "broker", number);
        snprintf(p->ip, sizeof(p->ip), "127.0.%d.%d", control ? 1 : 2, number);
        p->program = control ? "target/bm-platform-control"
                             : "target/bm-platform-broker";
        write_settings(p, i % 3, control, true);
    }
    for (int i = 0; i < LAB_CONTROLS + LAB_BROKERS; i++) {
        start_process(&processes[i]);
    }
    for (int i = 0; i < workers_per_zone * 3; i++) {
        char rack[16];

        snprintf(rack, sizeof(rack), "r%d-%d", i % 3 + 1, i / 24);
        lab_add_worker(i % 3, i / 3 % 3 == 2 ? "b" : "a", rack);
    }
    put_config();
    await_ready();
    lab_run_for(2500);
    lab_note("all brokers are ready");
}

void
lab_write_runs(void)
{
    fprintf(lab_record,
            "\nruns: worker, kind, life, task, run, begun, ended, how\n");
    for (int i = 0; i < lab_n_runs; i++) {
        const struct lab_run *r = &lab_runs[i];

        fprintf(lab_record, "%s %s %d %s %ld %.3f %.3f %s\n",
                lab_workers[r->worker].id, r->kind, r->life, r->task, r->run,
                (double)r->begun / 1000.0, (double)r->ended / 1000.0,
                r->how != NULL ? r->how : "at work");
    }
    fputc('\n', lab_record);
}
