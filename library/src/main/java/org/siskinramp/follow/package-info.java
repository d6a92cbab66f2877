/** Reads tables of the platform's store and their changes, and tolerates outages of the store. */
package org.siskinramp.follow;
