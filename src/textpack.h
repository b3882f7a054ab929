/**
 * DOC: textpack - configuration texts, packed for their way to followers
 *
 * A text is packed against one that the other end has, so that a change takes
 * about as many bytes as it adds, wherever in the text it stands; without one
 * it is packed by itself.
 */
#ifndef BM_TEXTPACK_H
#define BM_TEXTPACK_H

#include "wire.h"

enum { TEXTPACK_MAX = 8 * 1024 * 1024 }; /* bytes of a text */

/** textpack_make() - @text packed against @base; NULL stands for none. Returns
 * NULL when memory is out. */
struct blob *textpack_make(const struct blob *base, const struct blob *text);

/** textpack_open() - the text, or NULL where @packed is damaged, was packed
 * against another base, or has more than TEXTPACK_MAX bytes */
struct blob *textpack_open(const struct blob *base, const struct blob *packed);

/** textpack_read_reply() - the text that a reply carries, for a follower that
 * has @have as version @have_version.  NULL where it was packed against
 * another version or its digest, by delta_digest(), differs: a text put
 * together wrongly would be in force at this follower alone, and nobody would
 * see it in the versions. */
struct blob *textpack_read_reply(const struct rec_config_reply *r,
                                 struct blob *have, uint64_t have_version);

#endif
