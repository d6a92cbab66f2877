/** Slots of backend servers and the entry hosts that are their homes. */
package org.siskinramp.slot;
