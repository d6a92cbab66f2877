/** The slots of backend servers and their assignment to entry hosts, their homes. */
package org.siskinramp.slot;
