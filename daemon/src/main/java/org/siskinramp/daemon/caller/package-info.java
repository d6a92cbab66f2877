/** Accepts requests of callers over HTTP/1.1 and returns a complete answer or a refusal to each. */
package org.siskinramp.daemon.caller;
