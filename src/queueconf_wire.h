/**
 * DOC: queueconf_wire - configurations of queues between processes
 *
 * What control was given is read and checked there, once.  Brokers get it in
 * this form, which takes them a small part of the time.
 */
#ifndef BM_QUEUECONF_WIRE_H
#define BM_QUEUECONF_WIRE_H

#include "blob.h"
#include "queueconf.h"

/** queueconf_encode() - NULL when memory is out */
struct blob *queueconf_encode(const struct queueconf *c);

/** queueconf_decode() - NULL with *@fault where it can't be read.  Whether it
 * can be in force was checked before it was encoded. */
struct queueconf *queueconf_decode(const char *data, size_t size,
                                   enum queueconf_fault *fault);

#endif
