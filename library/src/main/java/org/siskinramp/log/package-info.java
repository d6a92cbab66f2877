/** Structured log events, counters and request metrics, independent of any logging library. */
package org.siskinramp.log;
