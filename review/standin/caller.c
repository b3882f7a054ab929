/*
 * A client of the users' platform with one job, as PROTOCOL.md says.  It opens
 * its connection at a given time, sends the job at another one, on the same
 * connection, and waits for its answer.  It appends what it sends and gets to
 * a record.  All times are in milliseconds since EPOCH, a Unix time in
 * milliseconds.
 *
 * Usage: caller NAME EPOCH CONNECT-AT SEND-AT IP:PORT HOST PATH TIMEOUT-MS
 *        BODY RECORD [METHOD]
 */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum { BUFFER = 65536 };

static const char *name;
static FILE *out;

static long long
wall_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static void
sleep_until(long long at_ms)
{
    long long left = at_ms - wall_ms();

    if (left > 0) {
        (void)usleep((useconds_t)(left * 1000));
    }
}

static void
record(const char *format, ...)
{
    char line[1024];
    va_list args;
    int n = snprintf(line, sizeof(line), "%lld client %s ", wall_ms(), name);

    va_start(args, format);
    (void)vsnprintf(line + n, sizeof(line) - (size_t)n, format, args);
    va_end(args);
    (void)fprintf(out, "%s\n", line);
    (void)fflush(out);
}

static int
dial(const char *address)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    char ip[64];
    char *colon;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    (void)snprintf(ip, sizeof(ip), "%s", address);
    colon = strrchr(ip, ':');
    if (fd < 0 || colon == NULL) {
        return -1;
    }
    *colon = '\0';
    at.sin_port = htons((uint16_t)atoi(colon + 1));
    if (inet_pton(AF_INET, ip, &at.sin_addr) != 1 ||
        connect(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Whether the whole answer is there. */
static int
is_whole(const char *text, size_t size)
{
    const char *end = memmem(text, size, "\r\n\r\n", 4);
    const char *field = strcasestr(text, "content-length:");

    if (end == NULL) {
        return 0;
    }
    return field == NULL ||
           size >= (size_t)(end - text) + 4 + strtoul(field + 15, NULL, 10);
}

/* Reads the answer until @until_ms and records how it ended. */
static void
read_answer(int fd, long long until_ms)
{
    static char text[BUFFER];
    size_t size = 0;

    while (!is_whole(text, size)) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        long long left = until_ms - wall_ms();
        ssize_t n;

        if (left <= 0 || poll(&p, 1, (int)left) == 0) {
            record("timeout");
            return;
        }
        n = recv(fd, text + size, sizeof(text) - 1 - size, 0);
        if (n <= 0) {
            record("cut after %zu bytes of an answer", size);
            return;
        }
        size += (size_t)n;
        text[size] = '\0';
    }
    record("answer %.3s %s", text + 9,
           strstr(text, "\r\n\r\n") != NULL ? strstr(text, "\r\n\r\n") + 4
                                            : "");
}

int
main(int argc, char **argv)
{
    static char request[BUFFER];
    const char *method;
    long long epoch;
    int fd;
    int n;

    if (argc < 11) {
        (void)fprintf(stderr,
                      "usage: caller NAME EPOCH CONNECT-AT SEND-AT IP:PORT "
                      "HOST PATH TIMEOUT-MS BODY RECORD [METHOD]\n");
        return 2;
    }
    method = argc > 11 ? argv[11] : "POST";
    (void)signal(SIGPIPE, SIG_IGN);
    name = argv[1];
    epoch = atoll(argv[2]);
    out = fopen(argv[10], "a");
    if (out == NULL) {
        perror(argv[10]);
        return 1;
    }
    sleep_until(epoch + atoll(argv[3]));
    fd = dial(argv[5]);
    if (fd < 0) {
        record("no connection to %s", argv[5]);
        return 0;
    }
    record("connected to %s", argv[5]);
    sleep_until(epoch + atoll(argv[4]));
    n = snprintf(request, sizeof(request),
                 "%s %s HTTP/1.1\r\nHost: %s\r\nTimeout-Ms: %s\r\n"
                 "Content-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 method, argv[7], argv[6], argv[8], strlen(argv[9]), argv[9]);
    if (send(fd, request, (size_t)n, 0) != n) {
        record("connection closed before the request was sent");
        return 0;
    }
    record("sent %s %s to %s %s", method, argv[7], argv[5], argv[9]);
    read_answer(fd, wall_ms() + atoll(argv[8]));
    (void)close(fd);
    return 0;
}
