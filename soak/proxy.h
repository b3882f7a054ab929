/**
 * DOC: proxy - connections that a soak can delay, reset, cut and silence
 *
 * Each link listens on one address and forwards to another.  A link belongs to
 * an owner, the process whose connections pass it; what comes back to one
 * owner shares its bandwidth.  One thread: proxy_run() forwards what is there.
 */
#ifndef BM_SOAK_PROXY_H
#define BM_SOAK_PROXY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    PROXY_OWNERS_MAX = 256,
    PROXY_BOTH_WAYS = 0,
    PROXY_FORTH = 1,
    PROXY_BACK = 2,
};

/**
 * enum proxy_bad - what a bad path does to what is sent on it
 * @PROXY_SLOW: all of it comes late, by the same time
 * @PROXY_LOSSY: half of it is lost and sent again, as TCP does
 * @PROXY_STALLED: half of the connections, also new ones, carry nothing
 */
enum proxy_bad { PROXY_GOOD, PROXY_SLOW, PROXY_LOSSY, PROXY_STALLED };

struct proxy;

/** proxy_new() - @bytes_per_s back to each owner; 0: no bound */
struct proxy *proxy_new(int64_t bytes_per_s);
void proxy_free(struct proxy *p);

/** proxy_add() - a link from IP:PORT to IP:PORT; false where it can't listen
 */
bool proxy_add(struct proxy *p, int owner, int target, const char *listen,
               const char *to);

/* These act on all links of an owner, or to a target. */

/** proxy_cut() - until then nothing passes; what is sent meanwhile waits */
void proxy_cut(struct proxy *p, int owner_or_target, int64_t until_us,
               unsigned int way);

/** proxy_delay() - until then what is sent waits for up to @delay_us */
void proxy_delay(struct proxy *p, int owner_or_target, int64_t until_us,
                 int64_t delay_us);

/** proxy_spoil() - paths are bad until then; what is sent meanwhile comes late
 * @late_us: of a slow path
 */
void proxy_spoil(struct proxy *p, int owner_or_target, int64_t until_us,
                 enum proxy_bad how, int64_t late_us);

/** proxy_mute() - open connections carry nothing any more; new ones work */
void proxy_mute(struct proxy *p, int owner_or_target);

/** proxy_reset() - open connections are reset */
void proxy_reset(struct proxy *p, int owner_or_target);

/** proxy_run() - forwards; never blocks */
void proxy_run(struct proxy *p, int64_t now_us);

#endif
