/**
 * Exchanges one HTTP request and answer at a time over pooled connections, and says of each failure
 * whether the request certainly was not sent.
 */
package org.siskinramp.daemon.exchange;
