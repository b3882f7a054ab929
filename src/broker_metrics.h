/**
 * DOC: broker_metrics - a broker's counters, gauges and histograms as text
 */
#ifndef BM_BROKER_METRICS_H
#define BM_BROKER_METRICS_H

#include <stdio.h>

#include "broker.h"

/** broker_metrics_print() - prints to @out in the Prometheus text format */
void broker_metrics_print(FILE *out, const struct broker *b);

#endif
