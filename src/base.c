#include "base.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static void
copy_text(char *to, size_t size, const char *text)
{
    size_t n = strnlen(text, size - 1);

    memset(to, 0, size);
    memcpy(to, text, n);
}

struct name
name_of(const char *text)
{
    struct name name;

    copy_text(name.s, sizeof(name.s), text);
    return name;
}

bool
name_equal(struct name a, struct name b)
{
    return strcmp(a.s, b.s) == 0;
}

bool
name_empty(struct name a)
{
    return a.s[0] == '\0';
}

struct address
address_of(const char *text)
{
    struct address address;

    copy_text(address.s, sizeof(address.s), text);
    return address;
}

struct key_id
key_id_of(const char *text)
{
    XXH128_hash_t h = XXH3_128bits(text, strlen(text));

    return (struct key_id){.hi = h.high64, .lo = h.low64};
}

bool
key_id_equal(struct key_id a, struct key_id b)
{
    return a.hi == b.hi && a.lo == b.lo;
}

void
key_id_format(struct key_id id, char out[33])
{
    (void)snprintf(out, 33, "%016llx%016llx", (unsigned long long)id.hi,
                   (unsigned long long)id.lo);
}

bool
resources_fit(struct resources need, struct resources have)
{
    return need.cpu_milli <= have.cpu_milli &&
           need.memory_mb <= have.memory_mb &&
           need.accelerators <= have.accelerators;
}

uint64_t
random_next(uint64_t *state)
{
    uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}
