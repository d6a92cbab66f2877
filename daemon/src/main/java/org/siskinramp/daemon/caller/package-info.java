/** Takes requests from callers over HTTP/1.1 and gives each its whole answer or a refusal. */
package org.siskinramp.daemon.caller;
