/** Requests that wait for a slot. */
package org.siskinramp.queue;
