/** Counters, gauges and the metrics of the JVM, given out in the Prometheus text format. */
package org.siskinramp.daemon.metrics;
