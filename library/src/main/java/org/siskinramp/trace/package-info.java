/** Determines the outcome of a request from log lines, for hosts without a journal. */
package org.siskinramp.trace;
