/** The queue of requests that wait for a slot on a backend server. */
package org.siskinramp.queue;
