/**
 * DOC: wirescan - bounds of a msgpack frame, before it is unpacked
 *
 * msgpack-c takes memory for as many elements as an array says it has, before
 * it looks for them: five bytes can ask for a hundred gigabytes, and the
 * process would die of a stranger's frame.  One pass over the frame finds
 * what its arrays say, and a frame that says more than it can hold, or more
 * than a message may have, is refused without taking any memory.
 */
#ifndef BM_WIRESCAN_H
#define BM_WIRESCAN_H

#include "wire.h"

enum { WIRE_ELEMENTS_MAX = 1 << 20 }; /* in all arrays of a frame */

/** wire_scan() - WIRE_OK, WIRE_TOO_LARGE, or WIRE_MALFORMED where the frame
 * is cut or has what no message has (maps, extensions) */
enum wire_error wire_scan(const void *data, size_t size);

#endif
