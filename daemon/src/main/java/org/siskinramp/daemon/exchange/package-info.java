/**
 * Sends HTTP requests over pooled connections, one at a time per connection, and tells for each
 * failure whether it is certain that the request was not sent.
 */
package org.siskinramp.daemon.exchange;
