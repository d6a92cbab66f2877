/** Structured log lines and counters, without a logging library. */
package org.siskinramp.log;
