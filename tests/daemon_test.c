/* How the programs' main thread takes signals. */
#include <signal.h>

#include "check.h"
#include "daemon.h"

struct seen {
    int dumps;
    int looks;
    int last_look; /* at which it is over */
};

static void
dump(void *user)
{
    ((struct seen *)user)->dumps++;
}

static bool
over(void *user)
{
    struct seen *s = user;

    return ++s->looks == s->last_look;
}

static void
dump_then_stop(void)
{
    struct seen s = {0};
    struct daemon_wait w = {.dump = dump, .user = &s};

    daemon_block_signals();
    (void)raise(SIGUSR1);
    (void)raise(SIGTERM);
    daemon_wait(&w);
    CU_ASSERT_EQUAL(s.dumps, 1);
}

/* An operator who finds a planned stop slow presses the keys again.  Jobs in
 * progress would be cut off if that ended the wait; a dump, to see what it
 * waits for, must still be possible. */
static void
second_signal_cuts_no_stop_short(void)
{
    struct seen s = {.last_look = 4};
    struct daemon_wait w = {.dump = dump,
                            .over = over,
                            .user = &s,
                            .look_ms = 1,
                            .stopping = true};

    daemon_block_signals();
    (void)raise(SIGINT);
    (void)raise(SIGUSR1);
    (void)raise(SIGTERM);
    daemon_wait(&w);
    CU_ASSERT_EQUAL(s.dumps, 1);
    CU_ASSERT_EQUAL(s.looks, 4);
}

/* The disk of a control member fails while nobody sends a signal. */
static void
failure_ends_the_wait(void)
{
    struct seen s = {.last_look = 2};
    struct daemon_wait w = {
        .dump = dump, .over = over, .user = &s, .look_ms = 1};

    daemon_block_signals();
    daemon_wait(&w);
    CU_ASSERT_EQUAL(s.looks, 2);
    CU_ASSERT_EQUAL(s.dumps, 0);
}

#define ADD(test) check_add("daemon", #test, test)

void
suite_daemon(void)
{
    ADD(dump_then_stop);
    ADD(second_signal_cuts_no_stop_short);
    ADD(failure_ends_the_wait);
}
