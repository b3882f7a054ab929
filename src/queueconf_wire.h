/**
 * DOC: queueconf_wire - binary encoding of queue configurations
 *
 * Control parses and checks a published text once.  Brokers get the
 * configuration in this encoding, which is much faster to read than the text.
 */
#ifndef BM_QUEUECONF_WIRE_H
#define BM_QUEUECONF_WIRE_H

#include "blob.h"
#include "queueconf.h"

/** queueconf_encode() - encodes a configuration; NULL if out of memory */
struct blob *queueconf_encode(const struct queueconf *c);

/** queueconf_decode() - decodes a configuration, to be freed with
 * queueconf_free().  Returns NULL and sets *@fault if @data is malformed. Does
 * not call queueconf_check(): configurations are checked before encoding. */
struct queueconf *queueconf_decode(const char *data, size_t size,
                                   enum queueconf_error *fault);

#endif
