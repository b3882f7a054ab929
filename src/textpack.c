#include "textpack.h"

#include <stdlib.h>
#include <zstd.h>

#include "delta.h"

enum {
    LEVEL = 3,
    WINDOW_LOG_MIN = 10,
    WINDOW_LOG_MAX = 24, /* holds a base and a text of TEXTPACK_MAX each */
};

/* The window has to reach back over the whole base. */
static int
window_log(size_t bytes)
{
    int log = WINDOW_LOG_MIN;

    while (log < WINDOW_LOG_MAX && (size_t)1 << log < bytes) {
        log++;
    }
    return log;
}

static struct blob *
compress(ZSTD_CCtx *zstd, const struct blob *base, const struct blob *text)
{
    size_t base_size = base != NULL ? base->size : 0;
    size_t room = ZSTD_compressBound(text->size);
    void *out = malloc(room);
    struct blob *packed = NULL;
    size_t n;

    if (out == NULL) {
        return NULL;
    }
    (void)ZSTD_CCtx_setParameter(zstd, ZSTD_c_compressionLevel, LEVEL);
    (void)ZSTD_CCtx_setParameter(zstd, ZSTD_c_windowLog,
                                 window_log(base_size + text->size));
    (void)ZSTD_CCtx_setParameter(zstd, ZSTD_c_enableLongDistanceMatching, 1);
    if (base_size > 0) {
        (void)ZSTD_CCtx_refPrefix(zstd, base->data, base_size);
    }
    n = ZSTD_compress2(zstd, out, room, text->data, text->size);
    if (!ZSTD_isError(n)) {
        packed = blob_new(out, n);
    }
    free(out);
    return packed;
}

struct blob *
textpack_make(const struct blob *base, const struct blob *text)
{
    ZSTD_CCtx *zstd = ZSTD_createCCtx();
    struct blob *packed = NULL;

    if (zstd != NULL) {
        packed = compress(zstd, base, text);
    }
    (void)ZSTD_freeCCtx(zstd);
    return packed;
}

static struct blob *
decompress(ZSTD_DCtx *zstd, const struct blob *base, const struct blob *packed,
           size_t size)
{
    void *out = malloc(size + 1);
    struct blob *text = NULL;
    size_t n;

    if (out == NULL) {
        return NULL;
    }
    (void)ZSTD_DCtx_setParameter(zstd, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
    if (base != NULL && base->size > 0) {
        (void)ZSTD_DCtx_refPrefix(zstd, base->data, base->size);
    }
    n = ZSTD_decompressDCtx(zstd, out, size, packed->data, packed->size);
    if (!ZSTD_isError(n) && n == size) {
        text = blob_new(out, size);
    }
    free(out);
    return text;
}

struct blob *
textpack_open(const struct blob *base, const struct blob *packed)
{
    /* Errors and unknown sizes are above the bound, too. */
    unsigned long long size =
        ZSTD_getFrameContentSize(packed->data, packed->size);
    ZSTD_DCtx *zstd;
    struct blob *text = NULL;

    if (size > TEXTPACK_MAX) {
        return NULL;
    }
    zstd = ZSTD_createDCtx();
    if (zstd != NULL) {
        text = decompress(zstd, base, packed, (size_t)size);
    }
    (void)ZSTD_freeDCtx(zstd);
    return text;
}

struct blob *
textpack_read_reply(const struct rec_config_reply *r, struct blob *have,
                    uint64_t have_version)
{
    struct blob *text = NULL;

    if (r->packed == 0) {
        text = blob_ref(r->config);
    }
    else if (r->from_version == 0) {
        text = textpack_open(NULL, r->config);
    }
    else if (r->from_version == have_version) {
        text = textpack_open(have, r->config);
    }
    if (text != NULL && r->digest != 0 && r->digest != delta_digest(text)) {
        blob_unref(text);
        text = NULL;
    }
    return text;
}
