/**
 * DOC: broker_dump - state of a broker, for operators
 *
 * The dump answers who holds the upstreams of the zone, which upstreams get
 * work, and which queues wait.  Reading it changes nothing.
 */
#ifndef BM_BROKER_DUMP_H
#define BM_BROKER_DUMP_H

#include <stdio.h>

#include "broker.h"

/** broker_dump_json() - the state as of the last step, as JSON text without
 * line breaks; freed by the caller */
char *broker_dump_json(const struct broker *b);

/** broker_dump_log() - writes that text to the log, as member "state" of a
 * line with the reason "dump", like the dumps of the other programs */
void broker_dump_log(const struct broker *b);

/** broker_dump_metrics() - prints the upstreams of each holder, and demand,
 * credit and waiting jobs of each queue, in the Prometheus text format */
void broker_dump_metrics(FILE *out, const struct broker *b);

#endif
