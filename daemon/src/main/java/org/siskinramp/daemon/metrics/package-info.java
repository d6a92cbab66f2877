/** Counters, gauges and the metrics of the JVM, exposed in the Prometheus text format. */
package org.siskinramp.daemon.metrics;
